package arbiter

import (
	"context"
	"time"

	"hornbeamcroft/deduper"
	"hornbeamcroft/framer"
	"hornbeamcroft/owner"
)

// handOver sends the records of the keys that moved away in epoch e to their new homes, once for each entry of
// exportDelays. It stops when a newer epoch is adopted.
func (a *Arbiter) handOver(ctx context.Context, e owner.Epoch) {
	for _, delay := range exportDelays {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		a.mu.Lock()
		if a.Owner.Epoch().Number != e.Number {
			a.mu.Unlock()
			return
		}
		receivers := a.Owner.HandoverReceivers()
		messages := a.Deduper.Export(a.exportHeader(), receivers, func(key string) string { return owner.HomeOf(e.Roster, key) })
		a.mu.Unlock()
		for to, list := range messages {
			for _, m := range list {
				a.Send(to, framer.TypeHandover, m)
			}
		}
		a.mu.Lock()
		a.exportedEpoch = max(a.exportedEpoch, e.Number)
		a.mu.Unlock()
	}
}

// exportHeader returns the part of a handover that is the same for all its messages. The caller must hold a.mu.
func (a *Arbiter) exportHeader() deduper.ExportHeader {
	horizon, untimed := a.Owner.Horizon(a.Clock.Now(), wall())
	return deduper.ExportHeader{
		Epoch: a.Owner.Epoch().Number, Incarnation: a.Recaller.Calls.Incarnation, Horizon: horizon, UntimedBeforeTakeover: untimed,
	}
}

// importRecords merges the records of a message from a previous home into the table of keys. Once all messages of the
// handover have arrived, it reports the handover to the owner.
func (a *Arbiter) importRecords(from string, m deduper.Handover) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Deduper.Import(a.Clock.Now(), from, m) {
		a.Owner.RecordHandover(from, m.Epoch, m.Horizon, m.UntimedBeforeTakeover)
		a.signalChange()
	}
}

// sendLateOutcome sends the outcome of a call that finished after its key had moved to the key's new home. The caller
// must hold a.mu.
func (a *Arbiter) sendLateOutcome(key string) {
	if m, ok := a.Deduper.ExportLateOutcome(key, a.exportHeader()); ok {
		home, _ := a.Owner.Home(key)
		go a.Send(home, framer.TypeHandover, m)
	}
}
