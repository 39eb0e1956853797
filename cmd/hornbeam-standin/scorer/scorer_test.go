package scorer

import (
	"encoding/json"
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// readJSON decodes a JSON file into v.
func readJSON(t *testing.T, file string, v any) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		t.Fatal(file, err)
	}
}

// Guards against a recovery time that does not count from the end of the fault, or that ends at a single good window.
func TestRecovery(t *testing.T) {
	var cases []struct {
		Name                 string
		Whole                []int // successful actions per BinWidth, of 100 offered
		FaultStart, FaultEnd float64
		Want                 float64
		Recovered            bool
	}
	readJSON(t, "testdata/recovery.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			var bins []Bin
			for _, n := range c.Whole {
				bins = append(bins, Bin{Offered: 100, Succeeded: n})
			}
			got, ok := Recovery(bins, seconds(c.FaultStart), seconds(c.FaultEnd))
			is.Equal(ok, c.Recovered)
			is.Equal(got, seconds(c.Want))
		})
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against wasted work and runs per action that include ignored markers or omit repeated runs.
func TestWork(t *testing.T) {
	var cases []struct {
		Name              string
		Runs              []upstream.Execution
		Whole             []string
		Waste, Mean, Most float64
	}
	readJSON(t, "testdata/work.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			var actions []caller.Action
			for _, m := range c.Whole {
				actions = append(actions, caller.Action{Marker: m, Sends: []caller.SendRecord{{Result: caller.ResultSucceeded}}})
			}
			keep := func(m string) bool { return m != "probe" }
			is.Equal(WastedShare(c.Runs, SucceededMarkers(actions), keep), c.Waste)
			mean, most := RunsPerAction(c.Runs, "deep", keep)
			is.Equal(mean, c.Mean)
			is.Equal(most, c.Most)
		})
	}
}

// Guards against bins that omit actions or count them in the wrong bin.
func TestBins(t *testing.T) {
	is := is.New(t)
	succeeded := []caller.SendRecord{{Result: caller.ResultSucceeded}}
	bins := Bins([]caller.Action{
		{At: 0, Sends: succeeded}, {At: 249 * time.Millisecond}, {At: 250 * time.Millisecond, Sends: succeeded}, {At: time.Second, Sends: succeeded},
	}, time.Second)
	is.Equal(bins, []Bin{{2, 1}, {1, 1}, {}, {}})
	is.Equal(Goodput(bins, 0, time.Second), 2.0)
}

func TestStatistics(t *testing.T) {
	is := is.New(t)
	is.Equal(Median([]float64{3, 1, 2}), 2.0)
	is.Equal(Median([]float64{4, 1, 2, 3}), 2.5)
	is.True(math.IsNaN(Median(nil)))
	is.Equal(Slope([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11}), 2.0)
	is.True(math.IsNaN(Slope([]float64{1, 1}, []float64{5, 7})))
}
