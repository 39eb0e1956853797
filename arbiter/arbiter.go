// Package arbiter decides at a node whether a non-idempotent call may run. It drives the cores owner and deduper: it
// passes time, messages and store results in, sends what they return, and lets resends wait for the running call.
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
	// holdTime bounds the wait of a call for its home to begin to serve, for example while the records of a planned
	// leave arrive. It is far below usual deadlines.
	holdTime = time.Second
	// dedupeTick is how often old records are dropped.
	dedupeTick = time.Second
)

// exportDelays are the times after an epoch change at which records are sent again, in case a link was lost.
var exportDelays = []time.Duration{0, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond}

// Arbiter is the at-most-once part of a node. Set the exported fields before Run. It is safe for concurrent use.
type Arbiter struct {
	Clock   hornbeamcroft.Clock
	Owner   *owner.Owner
	Deduper *deduper.Deduper
	// Recaller holds the outcomes of calls; the arbiter lets its time pass.
	Recaller *recaller.Recaller
	// Send sends a message to a member; loss is allowed.
	Send func(to string, t framer.Type, message any)
	// Read reads the epoch of the service, from the store or through a relay. It returns the entry and its age.
	Read func(ctx context.Context, key string) (hornbeamcroft.Entry, time.Duration, error)
	// Store is used for writes; nil if the node has no store.
	Store hornbeamcroft.Store
	// OnAdopted is told of a newer epoch; it may be nil.
	OnAdopted func(e owner.Epoch)

	mu      sync.Mutex
	ctx     context.Context
	joined  map[string][]chan hornbeamcroft.Answer
	changed chan struct{}
	ticked  time.Duration
	// exported is the epoch whose records were sent completely at least once.
	exported uint64
}

// wall returns the wall clock in Unix milliseconds.
func wall() int64 { return time.Now().UnixMilli() }

// Run ticks the cores until ctx ends.
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
			if now-a.ticked >= dedupeTick {
				a.ticked = now
				a.Deduper.Tick(now)
				a.Recaller.Tick()
			}
			return a.Owner.Tick(now, wall())
		})
	}
}

// step runs fn under the lock and carries out what it returns.
func (a *Arbiter) step(fn func(now time.Duration) owner.Output) {
	a.mu.Lock()
	out := fn(a.Clock.Now())
	ctx := a.ctx
	epoch := a.Owner.Epoch()
	if out.Adopted || out.Settled {
		a.notify()
	}
	a.mu.Unlock()
	if ctx == nil {
		return
	}
	for _, s := range out.Send {
		a.Send(s.To, frameType(s.Message), s.Message)
	}
	for _, q := range out.Store {
		go a.store(ctx, q)
	}
	if out.Adopted {
		go a.handOver(ctx, epoch)
		if a.OnAdopted != nil {
			a.OnAdopted(epoch)
		}
	}
}

// notify wakes calls that wait for a change. The lock is held.
func (a *Arbiter) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// change returns a channel that is closed at the next change. The lock is held.
func (a *Arbiter) change() chan struct{} {
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

// store carries out one store request of the owner.
func (a *Arbiter) store(ctx context.Context, q owner.StoreRequest) {
	if !q.Write {
		sentAt := a.Clock.Now()
		entry, age, err := a.Read(ctx, q.Key)
		a.step(func(now time.Duration) owner.Output {
			if err != nil || age == 0 {
				return a.Owner.HandleStore(now, owner.StoreResult{ID: q.ID, Entry: entry, Err: err})
			}
			return a.Owner.ObserveRead(now, sentAt, age, entry)
		})
		a.mu.Lock()
		a.notify()
		a.mu.Unlock()
		return
	}
	res := owner.StoreResult{ID: q.ID, Err: hornbeamcroft.ErrStoreUnreachable}
	if a.Store != nil {
		res.Txn, res.Err = a.Store.Txn(ctx,
			[]hornbeamcroft.Compare{{Key: q.Key, ModRevision: q.ModRevision}},
			[]hornbeamcroft.Put{{Key: q.Key, Value: q.Value}})
	}
	a.step(func(now time.Duration) owner.Output { return a.Owner.HandleStore(now, res) })
}

// Receive handles a message of another member of the service.
func (a *Arbiter) Receive(from string, t framer.Type, payload []byte) error {
	switch t {
	case framer.TypeEpochOffer:
		return receive[owner.EpochOffer](a, from, payload)
	case framer.TypeEpochAck:
		return receive[owner.EpochAck](a, from, payload)
	case framer.TypePermitQuery:
		return receive[owner.PermitQuery](a, from, payload)
	case framer.TypePermitReply:
		return receive[owner.PermitReply](a, from, payload)
	}
	var m deduper.Handover
	if err := framer.Decode(payload, &m); err != nil {
		return err
	}
	a.importRecords(from, m)
	return nil
}

func receive[T owner.Message](a *Arbiter, from string, payload []byte) error {
	var m T
	if err := framer.Decode(payload, any(&m).(framer.Checker)); err != nil {
		return err
	}
	a.step(func(now time.Duration) owner.Output { return a.Owner.Receive(now, from, m) })
	return nil
}

// SetTarget passes the live members of the service.
func (a *Arbiter) SetTarget(names, stopped []string, drive bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Owner.SetTarget(names, stopped, drive)
}

// Configure takes over times from the document.
func (a *Arbiter) Configure(p hornbeamcroft.Platform) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Owner.PermitTime, a.Owner.ClockSkew, a.Owner.KeyWindow = p.PermitTime, p.ClockSkew, p.KeyWindow
	a.Deduper.ClockSkew, a.Deduper.KeyWindow = p.ClockSkew, p.KeyWindow
}

// Status returns the state of the owner and the size of the table.
func (a *Arbiter) Status() (owner.Status, deduper.Stats) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Owner.Status(a.Clock.Now(), wall()), a.Deduper.Stats()
}

// Ready reports whether the store was read after the start, so that the node can join the roster without treating the
// keys that it gains as from before the takeover.
func (a *Arbiter) Ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Owner.Status(a.Clock.Now(), wall()).StoreRead
}

// Left reports whether the newest epoch is without this node and its records were handed over.
func (a *Arbiter) Left() bool {
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
	return a.exported >= e.Number
}
