package agent

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/enroller"
	"hornbeamcroft/lender"
)

// homeRenewInterval is the time between two renewals of the lease of a home of tenants. With 9 s of rejection by the store and 1.3 s until
// the node notices its end, it stays below lender.MaxRecordAge.
const homeRenewInterval = time.Second

// renewInterval returns the time between two renewals of the lease of this node's record.
func (a *Agent) renewInterval() time.Duration {
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	if _, tenants := a.quotas.lender.Counts(); tenants > 0 {
		return homeRenewInterval
	}
	return enroller.RenewInterval
}

// wakeListInterval is the least time between two lists of members that are made for a new home at once. The first may be ignored because
// it is older than the one before.
const wakeListInterval = 300 * time.Millisecond

// timedLister lists from the store and records when the last list began. It is used by one goroutine.
type timedLister struct {
	hornbeamcroft.StaleLister
	clock hornbeamcroft.Clock
	// asked is when the last list began.
	asked time.Duration
}

// ListStale implements hornbeamcroft.StaleLister.
func (l *timedLister) ListStale(ctx context.Context, prefix string) ([]hornbeamcroft.Entry, int64, error) {
	l.asked = l.clock.Now()
	return l.StaleLister.ListStale(ctx, prefix)
}

// onRecordRenewed tells the lender that the store holds the record of this node. See enroller.Enroller.OnHeld for the arguments.
func (a *Agent) onRecordRenewed(sent time.Duration, absent bool) {
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	a.quotas.lender.SetRecord(a.quotaNow(), sent, absent)
}

// onQuotaList tells the lender that a list of members has been applied which began at the time asked.
func (a *Agent) onQuotaList(asked time.Duration) {
	a.quotas.mu.Lock()
	a.quotas.lender.SetList(a.quotaNow(), asked)
	a.quotas.mu.Unlock()
	if a.quotas.active.Load() {
		a.settleQuotas()
	}
}

// onQuotaSuccession tells the lender whether the record of this node replaces that of an earlier process.
func (a *Agent) onQuotaSuccession(succeeds bool) {
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	a.quotas.lender.SetSucceeds(succeeds)
}

// onQuotaRestore tells the lender that the store was restored from an older copy some time ago.
func (a *Agent) onQuotaRestore(ago time.Duration) {
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	a.quotas.lender.SetRestored(a.quotaNow() - ago)
}

// onPeerEra learns from the state of a peer that the store was restored. A process that started after the restore sees no change itself.
func (a *Agent) onPeerEra(n nodeState) {
	a.membersMu.Lock()
	era := a.recordsEra
	behind := n.Era != 0 && n.Era < era && a.restoredEra != era
	if behind {
		a.restoredEra = era // a peer that the store refuses may stay behind for long, and new homes must not wait for it
	}
	a.membersMu.Unlock()
	switch {
	case behind: // the peer has not heard of the restore yet
		a.onQuotaRestore(0)
	case n.Restored > 0:
		a.onQuotaRestore(n.Restored)
	}
}

// followTenure acts on what has changed in the right of this node to lend: it updates the possible homes, lists the members at once if a
// new home waits for that or the record of a lost home has lapsed, and logs why nothing is lent.
func (a *Agent) followTenure() {
	q := a.quotas
	q.mu.Lock()
	now := a.quotaNow()
	recorded, pause := q.lender.HasRecord(now), q.lender.Pause(now)
	wake := q.borrower.TakeDueList(now) || q.lender.NeedsList(now) && now-q.woke >= wakeListInterval
	if wake {
		q.woke = now
	}
	recordAge, listAge := q.lender.Ages(now)
	_, here := q.lender.Counts()
	q.mu.Unlock()
	if recorded != q.recorded {
		q.recorded = recorded
		a.updateQuotaMembers()
	}
	if wake {
		select {
		case q.wakeList <- struct{}{}:
		default: // the poller has not taken the last one yet
		}
	}
	if pause != q.pause {
		q.pause = pause
		a.logQuotaPause(pause, recordAge, listAge, here)
	}
}

// logQuotaPause logs that lending has paused, or resumed. Here is the number of tenants whose home is this node.
func (a *Agent) logQuotaPause(pause lender.Pause, recordAge, listAge time.Duration, here int) {
	line, message := a.Log.Info(), "quotas: lending resumed"
	if pause != lender.Lending {
		line, message = a.Log.Warn(), "quotas: lending paused"
	}
	line.Str("reason", pause.String()).Int64("record-age-ms", recordAge.Milliseconds()).Int64("list-age-ms", listAge.Milliseconds()).
		Int("home-here", here).Msg(message)
}

// collectQuotas sets the gauges for quotas.
func (a *Agent) collectQuotas() {
	q := a.quotas
	if !q.active.Load() {
		return
	}
	q.mu.Lock()
	lent, here := q.lender.Counts()
	b := q.borrower.Counts()
	waiting := len(q.waits)
	now := a.quotaNow()
	pause, settling := q.lender.Pause(now), q.lender.Settling(now)
	recordAge, listAge := q.lender.Ages(now)
	q.mu.Unlock()
	m := a.metrics
	m.gauge("quotas/home-here", int64(here))
	m.gauge("quotas/pause", int64(pause))
	m.gauge("quotas/settling", int64(settling))
	m.gauge("quotas/record-age-ms", recordAge.Milliseconds())
	m.gauge("quotas/list-age-ms", listAge.Milliseconds())
	m.gauge("quotas/asked", lent.Asked)
	m.gauge("quotas/lent", lent.Lent)
	m.gauge("quotas/short", lent.Short)
	m.gauge("quotas/not-lending", lent.Undecided)
	m.gauge("quotas/taken-over", lent.Taken)
	m.gauge("quotas/admitted", b.Admitted)
	m.gauge("quotas/given-back", b.GivenBack)
	m.gauge("quotas/exceeded", b.Exceeded)
	m.gauge("quotas/undecided", b.Undecided)
	m.gauge("quotas/waited", b.Waited)
	m.gauge("quotas/waiting", int64(waiting))
	m.gauge("quotas/messages", b.Messages)
	m.gauge("quotas/resent", b.Resent)
}
