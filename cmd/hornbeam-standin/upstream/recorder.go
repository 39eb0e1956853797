package upstream

import (
	"sync"
	"time"
)

// Execution records one run of a request.
type Execution struct {
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
	r.runs = append(r.runs, e)
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
}

// list returns a copy of the record and the number of runs that it could not hold.
func (r *recorder) list() ([]Execution, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution{}, r.runs...), r.lost
}
