package upstream

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Execution is the record of one run of a request.
type Execution struct {
	// Run is the number of the run in its process, from 0.
	Run     int    `json:"run"`
	Service string `json:"service"`
	Type    string `json:"type"`
	Key     string `json:"key,omitempty"`
	// Marker is that of the request body.
	Marker string `json:"marker"`
	// Start and End are Unix times in nanoseconds; End is 0 while the request runs.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
	// Work is the time spent on the request itself, without child calls, in nanoseconds.
	Work int64 `json:"work"`
	// Cancelled is true if the caller cancelled the request or its deadline passed before the run ended.
	Cancelled bool `json:"cancelled,omitempty"`
	// Status is the HTTP status of the answer; 0 if none was sent.
	Status int `json:"status"`
}

// maxExecutions bounds the number of recorded runs, and so their memory to about 300 MB. Further runs are only counted
// as lost.
const maxExecutions = 1_000_000

// recorder keeps the executions of one upstream in memory and appends them to a file.
type recorder struct {
	// mu guards all fields.
	mu   sync.Mutex
	runs []Execution
	// lost counts runs beyond maxExecutions and failed writes to the file.
	lost int
	// file is nil if the executions are kept in memory only.
	file *os.File
}

// openRecordFile opens the file for appending and creates it if needed. It returns nil for an empty name.
func openRecordFile(name string) (*os.File, error) {
	if name == "" {
		return nil, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open record file")
	}
	return f, nil
}

// appendLine appends e to the file as a line of JSON. It does not buffer: the line is in the kernel before the request
// proceeds, so that nothing is lost if the process is killed. The caller must hold mu.
func (r *recorder) appendLine(e Execution) {
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

// start records that a run starts and returns its number, or -1 if the run is not recorded because the record is full.
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
	r.appendLine(e)
	return len(r.runs) - 1
}

// end completes the record of run n. It does nothing if n is -1.
func (r *recorder) end(n int, work time.Duration, cancelled bool, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n < 0 {
		return
	}
	e := &r.runs[n]
	e.End = time.Now().UnixNano()
	e.Work, e.Cancelled, e.Status = int64(work), cancelled, status
	r.appendLine(*e)
}

// snapshot returns a copy of the executions and the lost count.
func (r *recorder) snapshot() ([]Execution, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution{}, r.runs...), r.lost
}

// ReadRecord decodes the content of a record file, which several processes may have written one after the other. The
// lines for the start and the end of a run become one Execution. Its End is 0 if the process was killed during the run.
func ReadRecord(data []byte) ([]Execution, error) {
	type runID struct {
		number int
		start  int64
	}
	var runs []Execution
	indexes := make(map[runID]int)
	for dec := json.NewDecoder(bytes.NewReader(data)); dec.More(); {
		var e Execution
		if err := dec.Decode(&e); err != nil {
			return nil, errors.Wrap(err, "decode record file")
		}
		id := runID{e.Run, e.Start}
		if n, ok := indexes[id]; ok {
			runs[n] = e
			continue
		}
		indexes[id] = len(runs)
		runs = append(runs, e)
	}
	return runs, nil
}
