// Package arbiter decides at a node whether a non-idempotent call may run. It drives the state machines of packages
// owner and deduper: it passes them the time, messages and store results, and performs the sends and store requests
// that they return. A repeated send of a call that is still running waits for the answer of that run.
package arbiter

import (
	"context"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
	"hornbeamcroft/framer"
	"hornbeamcroft/owner"
	"hornbeamcroft/recaller"
)

const (
	// maxPermitWait is the longest time that a call waits for this node to get a permit for the call's key, for example
	// while the records of a node that leaves as planned arrive. It is far below usual deadlines.
	maxPermitWait = time.Second
	// cleanupInterval is the interval at which expired records are dropped.
	cleanupInterval = time.Second
)

// exportDelays holds the delay before each send of the records that moved with an epoch change. All records are sent
// once per entry, 0, 0.3, 1.3 and 3.8 s after the change, because a message is lost if its link fails.
var exportDelays = []time.Duration{0, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond}

// Arbiter ensures that a node runs each non-idempotent call at most once. The exported fields must be set before Run.
// It is safe for concurrent use.
type Arbiter struct {
	Clock   hornbeamcroft.Clock
	Owner   *owner.Owner
	Deduper *deduper.Deduper
	// Recaller holds the outcomes of calls. The arbiter ticks it, so that it drops expired outcomes.
	Recaller *recaller.Recaller
	// Send sends a message to a member. The message may be lost.
	Send func(to string, t framer.Type, message any)
	// Read reads the epoch of the service from the store or through a relay of the node's zone, which reads the store.
	// The relays are the live members of lowest rank, see tracker.Tracker.IsRelay. Read returns the entry and its age;
	// the age is zero if this node read the store itself.
	Read func(ctx context.Context, key string) (hornbeamcroft.Entry, time.Duration, error)
	// Store is the store for writes of epochs; nil if the node has no store.
	Store hornbeamcroft.Store
	// OnAdopted is called with each newer epoch that the owner adopts; it may be nil.
	OnAdopted func(e owner.Epoch)

	mu  sync.Mutex
	ctx context.Context
	// waiters holds, by idempotency key, the senders that wait for the answer of the running call.
	waiters map[string][]chan hornbeamcroft.Answer
	// changed is closed when the owner's state changed so that a waiting call may get another verdict; nil if no call
	// waits.
	changed     chan struct{}
	lastCleanup time.Duration
	// exportedEpoch is the newest epoch whose records were all sent to their new homes at least once.
	exportedEpoch uint64
}

// wall returns the wall-clock time in Unix milliseconds.
func wall() int64 { return time.Now().UnixMilli() }

// Run ticks the owner, the deduper and the recaller until ctx ends.
func (a *Arbiter) Run(ctx context.Context) {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	t := time.NewTicker(owner.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.step(func(now time.Duration) owner.Output {
			if now-a.lastCleanup >= cleanupInterval {
				a.lastCleanup = now
				a.Deduper.Tick(now)
				a.Recaller.Tick()
			}
			return a.Owner.Tick(now, wall())
		})
	}
}

// step calls fn under the lock, and then sends the messages and starts the store requests that fn returned.
func (a *Arbiter) step(fn func(now time.Duration) owner.Output) {
	a.mu.Lock()
	out := fn(a.Clock.Now())
	ctx := a.ctx
	epoch := a.Owner.Epoch()
	if out.Adopted || out.Settled {
		a.signalChange()
	}
	a.mu.Unlock()
	if ctx == nil {
		return
	}
	for _, send := range out.Send {
		a.Send(send.To, frameType(send.Message), send.Message)
	}
	for _, request := range out.Store {
		go a.performStoreRequest(ctx, request)
	}
	if out.Adopted {
		go a.handOver(ctx, epoch)
		if a.OnAdopted != nil {
			a.OnAdopted(epoch)
		}
	}
}

// signalChange wakes the calls that wait for a change of the owner's state. The caller must hold a.mu.
func (a *Arbiter) signalChange() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change of the owner's state. The caller must hold a.mu.
func (a *Arbiter) nextChange() chan struct{} {
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

func frameType(m owner.Message) framer.Type {
	switch m.(type) {
	case owner.EpochOffer:
		return framer.TypeEpochOffer
	case owner.EpochAck:
		return framer.TypeEpochAck
	case owner.PermitQuery:
		return framer.TypePermitQuery
	}
	return framer.TypePermitReply
}

// performStoreRequest performs one store request of the owner and passes the result to the owner.
func (a *Arbiter) performStoreRequest(ctx context.Context, request owner.StoreRequest) {
	if !request.Write {
		sentAt := a.Clock.Now()
		entry, age, err := a.Read(ctx, request.Key)
		a.step(func(now time.Duration) owner.Output {
			if err != nil || age == 0 {
				return a.Owner.HandleStore(now, owner.StoreResult{ID: request.ID, Entry: entry, Err: err})
			}
			return a.Owner.ObserveRead(now, sentAt, age, entry)
		})
		a.mu.Lock()
		a.signalChange()
		a.mu.Unlock()
		return
	}
	result := owner.StoreResult{ID: request.ID, Err: hornbeamcroft.ErrStoreUnreachable}
	if a.Store != nil {
		result.Txn, result.Err = a.Store.Txn(ctx,
			[]hornbeamcroft.Compare{{Key: request.Key, ModRevision: request.ModRevision}},
			[]hornbeamcroft.Put{{Key: request.Key, Value: request.Value}})
	}
	a.step(func(now time.Duration) owner.Output { return a.Owner.HandleStore(now, result) })
}

// Receive decodes and handles a message from another member of the service. A type other than those of package owner is
// handled as a handover.
func (a *Arbiter) Receive(from string, t framer.Type, payload []byte) error {
	switch t {
	case framer.TypeEpochOffer:
		return receiveMessage[owner.EpochOffer](a, from, payload)
	case framer.TypeEpochAck:
		return receiveMessage[owner.EpochAck](a, from, payload)
	case framer.TypePermitQuery:
		return receiveMessage[owner.PermitQuery](a, from, payload)
	case framer.TypePermitReply:
		return receiveMessage[owner.PermitReply](a, from, payload)
	}
	var m deduper.Handover
	if err := framer.Decode(payload, &m); err != nil {
		return err
	}
	a.importRecords(from, m)
	return nil
}

func receiveMessage[T owner.Message](a *Arbiter, from string, payload []byte) error {
	var m T
	if err := framer.Decode(payload, any(&m).(framer.Checker)); err != nil {
		return err
	}
	a.step(func(now time.Duration) owner.Output { return a.Owner.Receive(now, from, m) })
	return nil
}

// SetTarget passes the live members of the service to the owner, see owner.Owner.SetTarget.
func (a *Arbiter) SetTarget(names, stopped []string, mayPropose bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Owner.SetTarget(names, stopped, mayPropose)
}

// Configure applies the permit time, the clock skew and the key window of the document.
func (a *Arbiter) Configure(p hornbeamcroft.Platform) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Owner.PermitTime, a.Owner.ClockSkew, a.Owner.KeyWindow = p.PermitTime, p.ClockSkew, p.KeyWindow
	a.Deduper.ClockSkew, a.Deduper.KeyWindow = p.ClockSkew, p.KeyWindow
}

// Status returns the state of the owner and the statistics of the table of keys.
func (a *Arbiter) Status() (owner.Status, deduper.Stats) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Owner.Status(a.Clock.Now(), wall()), a.Deduper.Stats()
}

// Ready reports whether a read of the store from after the node's start has arrived. A node that joins the roster
// earlier must treat the keys that it gains as from before the takeover.
func (a *Arbiter) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Owner.Status(a.Clock.Now(), wall()).StoreRead
}

// HasLeft reports whether this node is not in the roster of the newest epoch and has sent its records to their new
// homes. It is also true if the node knows no epoch.
func (a *Arbiter) HasLeft() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.Owner.Epoch()
	if e.Number == 0 {
		return true
	}
	for _, name := range e.Roster {
		if name == a.Owner.Self {
			return false
		}
	}
	return a.exportedEpoch >= e.Number
}
