package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Faults are the fault switches. PUT /control/faults replaces them as a whole.
type Faults struct {
	// Down closes each connection without an answer and applies nothing.
	Down bool `json:"down"`
	// Delay, in milliseconds, passes before a call is applied.
	Delay int `json:"delay"`
	// LoseAnswers is the number of writes that are applied but not answered; -1 loses all.
	LoseAnswers int `json:"lose-answers"`
	// ThenDown sets Down as soon as an answer was lost.
	ThenDown bool `json:"then-down"`
	// StaleCopy names a saved copy from which reads are answered; empty means the current data.
	StaleCopy string `json:"stale-copy"`
	// HoldWatches stops the delivery of events while it is set; the events are not lost.
	HoldWatches bool `json:"hold-watches"`
}

// control holds the switches and the counts of calls.
type control struct {
	mu     sync.Mutex
	faults Faults
	counts map[string]int
	// changed is closed and replaced when the switches change.
	changed chan struct{}
}

func newControl() *control {
	return &control{counts: map[string]int{}, changed: make(chan struct{})}
}

func (c *control) get() (Faults, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults, c.changed
}

func (c *control) set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	close(c.changed)
	c.changed = make(chan struct{})
}

// count records one call.
func (c *control) count(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[path]++
	c.counts["all"]++
}

// loseAnswer reports whether the answer of a write that was just applied is lost.
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

// before counts a call and applies the switches that act before it.
func (c *control) before(r *http.Request) {
	c.count(r.URL.Path)
	f, _ := c.get()
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

// abort closes the connection without an answer; net/http knows this value and logs nothing.
func abort() { panic(http.ErrAbortHandler) }

// snapshot returns the counts of calls by path; "all" is their sum.
func (c *control) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

func (c *control) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.snapshot())
}

func (c *control) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	f, _ := c.get()
	writeJSON(w, http.StatusOK, f)
}

func (c *control) handlePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, status{Error: err.Error()})
		return
	}
	c.set(f)
	writeJSON(w, http.StatusOK, f)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
