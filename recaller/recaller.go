// Package recaller remembers the calls that came over links and answers for their outcome, so that a sender which lost a
// link learns whether a call ran, and a call that has not arrived yet is kept from running.
package recaller

import (
	"context"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
	"hornbeamcroft/framer"
)

// Recaller holds the table of calls. Set the exported fields before the first call. It is safe for concurrent use.
type Recaller struct {
	Clock hornbeamcroft.Clock
	// Calls is the table; its Incarnation is that of this node.
	Calls *deduper.Calls

	mu      sync.Mutex
	queries map[deduper.CallID][]chan struct{}
}

// Begin records the arrival of a call frame. If the result is false, the frame is a repeat or is fenced, and the answer
// is final.
func (r *Recaller) Begin(ctx context.Context, id deduper.CallID, remaining time.Duration) (hornbeamcroft.Answer, bool) {
	r.mu.Lock()
	now := r.Clock.Now()
	status, answer := r.Calls.Begin(now, id, now+remaining)
	r.mu.Unlock()
	switch status {
	case deduper.CallNew:
		return hornbeamcroft.Answer{}, true
	case deduper.CallRunning:
		return r.await(ctx, id), false
	case deduper.CallAnswered:
		return answer, false
	}
	return hornbeamcroft.Answer{Code: status.Code()}, false
}

// End records the outcome of a call that Begin reported as new.
func (r *Recaller) End(id deduper.CallID, answer hornbeamcroft.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls.Finish(r.Clock.Now(), id, answer)
	for _, ch := range r.queries[id] {
		close(ch)
	}
	delete(r.queries, id)
}

// Outcome answers an outcome query; it waits while the call runs.
func (r *Recaller) Outcome(ctx context.Context, q framer.OutcomeQuery) hornbeamcroft.Answer {
	return r.await(ctx, deduper.CallID{Sender: q.Sender, Incarnation: q.Incarnation, ID: q.ID})
}

func (r *Recaller) await(ctx context.Context, id deduper.CallID) hornbeamcroft.Answer {
	for {
		r.mu.Lock()
		status, answer := r.Calls.Query(r.Clock.Now(), id, r.Calls.Incarnation)
		if status != deduper.CallRunning {
			r.mu.Unlock()
			return outcome(status, answer)
		}
		ch := make(chan struct{})
		if r.queries == nil {
			r.queries = make(map[deduper.CallID][]chan struct{})
		}
		r.queries[id] = append(r.queries[id], ch)
		r.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeStillRunning}
		}
	}
}

func outcome(status deduper.CallStatus, answer hornbeamcroft.Answer) hornbeamcroft.Answer {
	switch status {
	case deduper.CallAnswered:
		return answer
	case deduper.CallFenced:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeConfirmedNotRun}
	}
	return hornbeamcroft.Answer{Code: status.Code()}
}

// Tick drops calls whose time is over.
func (r *Recaller) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls.Tick(r.Clock.Now())
}
