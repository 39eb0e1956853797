package upstream

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Execution records one run of a request.
type Execution struct {
	// Run numbers the runs of one process from 0.
	Run     int    `json:"run"`
	Service string `json:"service"`
	Type    string `json:"type"`
	Key     string `json:"key,omitempty"`
	Marker  string `json:"marker"`
	// Start and End are Unix times in nanoseconds; End is 0 while the request runs.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
	// Work is the time spent on own work, without child calls, in nanoseconds.
	Work int64 `json:"work"`
	// Cancelled is true if the run was cut short by its caller or by its deadline.
	Cancelled bool `json:"cancelled,omitempty"`
	// Status is the HTTP status of the answer; 0 if there was none.
	Status int `json:"status"`
}

// maxExecutions bounds the memory of the record to about 300 MB; later runs are counted as lost.
const maxExecutions = 1_000_000

// recorder keeps the executions of one upstream.
type recorder struct {
	mu   sync.Mutex
	runs []Execution
	lost int
	// file is nil if no file is kept.
	file *os.File
}

// openRecord opens the file for appending; an empty name gives nil.
func openRecord(name string) (*os.File, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	return f, nil
}

// write appends e. The line reaches the kernel before the request goes on, so a killed process loses nothing.
func (r *recorder) write(e Execution) {
	if r.file == nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = r.file.Write(append(line, '\n'))
	}
	if err != nil {
		r.lost++
	}
}

// start records that a run begins and returns its number.
func (r *recorder) start(e Execution) int {
	e.Start = time.Now().UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.runs) >= maxExecutions {
		r.lost++
		return -1
	}
	e.Run = len(r.runs)
	r.runs = append(r.runs, e)
	r.write(e)
	return len(r.runs) - 1
}

// end completes the record of run n.
func (r *recorder) end(n int, work time.Duration, cancelled bool, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n < 0 {
		return
	}
	e := &r.runs[n]
	e.End = time.Now().UnixNano()
	e.Work, e.Cancelled, e.Status = int64(work), cancelled, status
	r.write(*e)
}

// list returns a copy of the record and the number of runs that it could not hold.
func (r *recorder) list() ([]Execution, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution{}, r.runs...), r.lost
}

// ReadRecord reads a file of executions. A run that started and did not end, because its process was killed, has End 0.
// Several processes may have written to the file one after the other.
func ReadRecord(data []byte) ([]Execution, error) {
	type run struct {
		number int
		start  int64
	}
	var runs []Execution
	known := make(map[run]int)
	for dec := json.NewDecoder(bytes.NewReader(data)); dec.More(); {
		var e Execution
		if err := dec.Decode(&e); err != nil {
			return nil, errors.Wrap(err, "record")
		}
		id := run{e.Run, e.Start}
		if n, ok := known[id]; ok {
			runs[n] = e
			continue
		}
		known[id] = len(runs)
		runs = append(runs, e)
	}
	return runs, nil
}
