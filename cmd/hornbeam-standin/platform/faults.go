package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults that the stand-in injects. The zero value injects none. PUT /control/faults replaces all of them.
type Faults struct {
	// Down closes the connection of each call and of each open watch without an answer. No call is applied.
	Down bool `json:"down"`
	// Delay is the time in milliseconds by which each call is delayed before it is applied.
	Delay int `json:"delay"`
	// LoseAnswers is the number of further writes, including calls about leases, that are applied but not answered: the
	// connection is closed instead. A negative number means all writes. The stand-in counts a positive number down.
	LoseAnswers int `json:"lose-answers"`
	// ThenDown sets Down as soon as LoseAnswers has lost an answer.
	ThenDown bool `json:"then-down"`
	// StaleSnapshot is the name of the snapshot that reads are answered from. If it is empty or there is no such snapshot, reads
	// are answered from the current data.
	StaleSnapshot string `json:"stale-copy"`
	// HoldWatches delays the delivery of events to watches until it is unset. Events are dropped only by compaction.
	HoldWatches bool `json:"hold-watches"`
}

// control holds the injected faults and the number of calls. The paths below /control/ read and change it.
type control struct {
	mu     sync.Mutex
	faults Faults
	// counts holds the number of calls by path, and their sum under "all".
	counts map[string]int
	// changed is closed and replaced when the faults are replaced.
	changed chan struct{}
}

func newControl() *control {
	return &control{counts: map[string]int{}, changed: make(chan struct{})}
}

// currentFaults returns the faults, and the channel that is closed when they are replaced.
func (c *control) currentFaults() (Faults, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults, c.changed
}

// setFaults replaces the faults and wakes the watches.
func (c *control) setFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	close(c.changed)
	c.changed = make(chan struct{})
}

// countCall adds one to the number of calls.
func (c *control) countCall(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[path]++
	c.counts["all"]++
}

// loseAnswer reports whether the answer to a write that has just been applied must be lost. It counts LoseAnswers down, and
// sets Down after a loss if ThenDown is set.
func (c *control) loseAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.LoseAnswers == 0 {
		return false
	}
	if c.faults.LoseAnswers > 0 {
		c.faults.LoseAnswers--
	}
	c.faults.Down = c.faults.Down || c.faults.ThenDown
	return true
}

// beginCall counts a call and injects the faults Down and Delay.
func (c *control) beginCall(r *http.Request) {
	c.countCall(r.URL.Path)
	f, _ := c.currentFaults()
	if f.Down {
		abort()
	}
	if f.Delay > 0 {
		select {
		case <-time.After(time.Duration(f.Delay) * time.Millisecond):
		case <-r.Context().Done():
			abort()
		}
	}
}

// abort closes the connection of the request that the goroutine handles, without an answer. net/http recovers this panic
// value without logging it.
func abort() { panic(http.ErrAbortHandler) }

// callCounts returns the number of calls by path, and their sum under "all".
func (c *control) callCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

func (c *control) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.callCounts())
}

func (c *control) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	f, _ := c.currentFaults()
	writeJSON(w, http.StatusOK, f)
}

func (c *control) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
		return
	}
	c.setFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
