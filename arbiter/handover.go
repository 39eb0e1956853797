package arbiter

import (
	"context"
	"time"

	"hornbeamcroft/deduper"
	"hornbeamcroft/framer"
	"hornbeamcroft/owner"
)

// handOver sends the records of the keys that moved away to their new homes, several times because links can be lost.
func (a *Arbiter) handOver(ctx context.Context, e owner.Epoch) {
	for _, d := range exportDelays {
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		}
		a.mu.Lock()
		if a.Owner.Epoch().Number != e.Number {
			a.mu.Unlock()
			return
		}
		homes := a.Owner.HandoverReceivers()
		messages := a.Deduper.Export(a.header(), homes, func(key string) string { return owner.HomeOf(e.Roster, key) })
		a.mu.Unlock()
		for to, list := range messages {
			for _, m := range list {
				a.Send(to, framer.TypeHandover, m)
			}
		}
		a.mu.Lock()
		a.exported = max(a.exported, e.Number)
		a.mu.Unlock()
	}
}

// exportHeader returns what the node's handovers say besides the records. The lock is held.
func (a *Arbiter) header() deduper.ExportHeader {
	horizon, untimed := a.Owner.Horizon(a.Clock.Now(), wall())
	return deduper.ExportHeader{
		Epoch: a.Owner.Epoch().Number, Incarnation: a.Recaller.Calls.Incarnation, Horizon: horizon, UntimedBeforeTakeover: untimed,
	}
}

// importRecords takes in records of a previous home.
func (a *Arbiter) importRecords(from string, m deduper.Handover) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Deduper.Import(a.Clock.Now(), from, m) {
		a.Owner.RecordHandover(from, m.Epoch, m.Horizon, m.UntimedBeforeTakeover)
		a.notify()
	}
}

// sendLate sends the outcome of a call that finished after its key had moved. The lock is held.
func (a *Arbiter) sendLate(key string) {
	if m, ok := a.Deduper.ExportLateOutcome(key, a.header()); ok {
		home, _ := a.Owner.Home(key)
		go a.Send(home, framer.TypeHandover, m)
	}
}
