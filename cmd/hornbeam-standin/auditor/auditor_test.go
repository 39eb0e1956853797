package auditor

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft/cmd/hornbeam-standin/caller"
	"hornbeamcroft/cmd/hornbeam-standin/upstream"
)

// Guards against an audit that misses a violated guarantee or reports one that was kept.
func TestAudit(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name       string
		Sends      []caller.SendRecord
		Executions []upstream.Execution
		Idempotent bool
		Want       []Breach
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			for i := range c.Executions {
				e := &c.Executions[i]
				e.Service, e.Type, e.Key, e.Marker = "cash-office", "deposit", "k1", "m1"
			}
			findings := Auditor{
				Actions:    []caller.Action{{Target: "cash-office/deposit", Marker: "m1", Key: "k1", Sends: c.Sends}},
				Executions: c.Executions,
				Idempotent: map[string]bool{"cash-office/deposit": c.Idempotent},
			}.Audit()
			var got []Breach
			for _, f := range findings {
				got = append(got, f.Breach)
			}
			is.Equal(got, c.Want)
		})
	}
}

// Guards against runs that are lost or returned twice when several processes wrote to a record file one after the
// other.
func TestReadRecord(t *testing.T) {
	is := is.New(t)
	files, _ := filepath.Glob("testdata/*.jsonl")
	is.Equal(len(files), 1)
	data, err := os.ReadFile(files[0])
	is.NoErr(err)
	runs, err := upstream.ReadRecord(data)
	is.NoErr(err)
	is.Equal(len(runs), 3)
	is.Equal(runs[0].End, int64(15)) // ended normally
	is.Equal(runs[1].End, int64(0))  // process killed during the run
	is.Equal(runs[2].Start, int64(30))
}
