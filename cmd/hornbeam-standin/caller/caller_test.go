package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"hornbeamcroft/cmd/hornbeam-standin/exchange"
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

// Guards against a report that counts failed or damaged answers as successes, or answers in the wrong second. Each
// file describes its case.
func TestReport(t *testing.T) {
	files, _ := filepath.Glob("testdata/account/*.json")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			var s struct {
				Actions []Action
				Want    Count
			}
			readJSON(t, file, &s)
			got := NewReport(Settings{Mix: []Mix{{Target: "sizing/size", Share: 1}}}, s.Actions).Total
			got.histogram = nil
			is.Equal(got, s.Want)
		})
	}
	is.New(t).True(len(files) > 0)
}

// Guards against a truncated answer, or one to another request, that is classified as a success.
func TestClassify(t *testing.T) {
	is := is.New(t)
	var cases []struct {
		Name, Claim, Body string
		Status            int
		Want              Result
	}
	readJSON(t, "testdata/classify/cases.json", &cases)
	is.True(len(cases) > 0)
	for _, c := range cases {
		got, _ := classify(SendRecord{Claim: c.Claim, Status: c.Status}, exchange.Request{Marker: "m1", AnswerBytes: 3}, []byte(c.Body))
		is.Equal(c.Name+" "+string(got), c.Name+" "+string(c.Want))
	}
}

// Guards against resends that use another key, a wrong send number or follow a success, and against actions that are
// missing from the report.
func TestRun(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	sendNumbers := make(map[string][]string)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		key := r.Header.Get("Idempotency-Key")
		sendNumbers[key] = append(sendNumbers[key], r.Header.Get("Hornbeam-Attempt"))
		n := len(sendNumbers[key])
		mu.Unlock()
		if n == 1 {
			w.Header().Set("Hornbeam-Code", "200")
			w.Header().Set("Hornbeam-Claim", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var request exchange.Request
		_ = json.NewDecoder(r.Body).Decode(&request)
		w.Header().Set("Hornbeam-Claim", "ran")
		_ = json.NewEncoder(w).Encode(exchange.NewReply(request, "sizing", "size", ""))
	}))
	defer node.Close()
	c := Caller{Settings: Settings{
		Nodes: []string{strings.TrimPrefix(node.URL, "http://")}, Rate: 200, Length: 200 * time.Millisecond, Seed: 7, MaxSends: 3,
		Timeout: time.Minute, Mix: []Mix{{Target: "sizing/size", Share: 1}},
	}}
	report, err := c.Run(t.Context())
	is.NoErr(err)
	is.True(report.Total.Offered > 0)
	is.Equal(report.Total.Succeeded, report.Total.Offered)
	is.Equal(report.Total.Sends, 2*report.Total.Offered)
	is.Equal(len(sendNumbers), report.Total.Offered)
	for key, got := range sendNumbers {
		is.Equal(uuid.MustParse(key).Version(), uuid.Version(7))
		is.True(slices.Equal(got, []string{"1", "2"}))
	}
}

// Guards against loads that differ although the seed is the same: a comparison of two builds needs equal arrivals.
func TestArrivalsAreSeeded(t *testing.T) {
	is := is.New(t)
	var times [2]time.Duration
	for i := range times {
		cfg := Settings{Rate: 10, Seed: 3, Phases: []Phase{{At: time.Second, Factor: 10}}}
		for n := 0; n < 100; n++ {
			c := Caller{Settings: cfg}
			c.seedRand()
			times[i] += c.drawInterval(times[i])
		}
	}
	is.Equal(times[0], times[1])
	is.Equal(Settings{Rate: 10, Phases: []Phase{{At: time.Second, Factor: 3}}}.rateAt(time.Second), 30.0)
}
