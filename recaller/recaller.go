// Package recaller records the calls that arrive over links and answers queries for their outcome. A sender that lost a
// link can thus learn whether its call ran, and a call that has not arrived by then is kept from running.
package recaller

import (
	"context"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
	"hornbeamcroft/framer"
)

// Recaller wraps the table of calls with locking and with waiting for outcomes. Set the exported fields before the
// first call. It is safe for concurrent use.
type Recaller struct {
	Clock hornbeamcroft.Clock
	// Calls is the table of calls; its Incarnation must be that of this node.
	Calls *deduper.Calls

	mu sync.Mutex
	// waiters holds, by call, the channels to which End sends the outcome. The table may have no memory for it.
	waiters map[deduper.CallID][]chan hornbeamcroft.Answer
}

// Begin records the arrival of a call frame. It returns true if the call is new and must be run. Otherwise the frame is
// a duplicate, is fenced or found the table full, and the returned answer is final. For a duplicate of a running call,
// Begin waits for the outcome and returns CodeStillRunning if ctx ends first.
func (r *Recaller) Begin(ctx context.Context, id deduper.CallID, remaining time.Duration) (hornbeamcroft.Answer, bool) {
	r.mu.Lock()
	now := r.Clock.Now()
	status, answer := r.Calls.Begin(now, id, now+remaining)
	r.mu.Unlock()
	switch status {
	case deduper.CallNew:
		return hornbeamcroft.Answer{}, true
	case deduper.CallRunning:
		return r.awaitOutcome(ctx, id), false
	case deduper.CallAnswered:
		return answer, false
	}
	return hornbeamcroft.Answer{Code: status.Code()}, false
}

// End records the outcome of a call that Begin reported as new, and sends it to those that wait for it.
func (r *Recaller) End(id deduper.CallID, answer hornbeamcroft.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls.Finish(r.Clock.Now(), id, answer)
	for _, ch := range r.waiters[id] {
		ch <- answer
	}
	delete(r.waiters, id)
}

// Outcome answers an outcome query. It waits while the call runs, and returns CodeStillRunning if ctx ends first. A
// call that has not arrived is fenced: it will not run if it arrives later.
func (r *Recaller) Outcome(ctx context.Context, q framer.OutcomeQuery) hornbeamcroft.Answer {
	return r.awaitOutcome(ctx, deduper.CallID{Sender: q.Sender, Incarnation: q.Incarnation, ID: q.ID})
}

// awaitOutcome returns the outcome of a call, and waits for it while the call runs.
func (r *Recaller) awaitOutcome(ctx context.Context, id deduper.CallID) hornbeamcroft.Answer {
	r.mu.Lock()
	status, answer := r.Calls.Query(r.Clock.Now(), id, r.Calls.Incarnation)
	if status != deduper.CallRunning {
		r.mu.Unlock()
		return queryAnswer(status, answer)
	}
	ch := make(chan hornbeamcroft.Answer, 1)
	if r.waiters == nil {
		r.waiters = make(map[deduper.CallID][]chan hornbeamcroft.Answer)
	}
	r.waiters[id] = append(r.waiters[id], ch)
	r.mu.Unlock()
	select {
	case answer := <-ch:
		return answer
	case <-ctx.Done():
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeStillRunning}
	}
}

// queryAnswer returns the answer to an outcome query for a call with the status.
func queryAnswer(status deduper.CallStatus, answer hornbeamcroft.Answer) hornbeamcroft.Answer {
	switch status {
	case deduper.CallAnswered:
		return answer
	case deduper.CallFenced:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeConfirmedNotRun}
	}
	return hornbeamcroft.Answer{Code: status.Code()}
}

// Tick drops the calls whose retention period is over.
func (r *Recaller) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls.Tick(r.Clock.Now())
}

// Evict releases memory of retained answers, the oldest first, and returns the bytes released: at least the given number, or 0 if it
// cannot release as many.
func (r *Recaller) Evict(bytes int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Calls.Evict(bytes)
}

// Stats describes the table for metrics.
type Stats struct {
	// Calls is the number of entries, and Bytes their estimated memory with that of the retained answers.
	Calls, Bytes int
	// Evicted is the number of upstreams' answers that were not retained, or not for their whole time, for want of memory.
	Evicted int64
}

// Stats returns the present size of the table.
func (r *Recaller) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Calls: r.Calls.Len(), Bytes: r.Calls.Bytes(), Evicted: r.Calls.Evicted()}
}
