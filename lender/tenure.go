package lender

import (
	"time"

	"hornbeamcroft"
)

// The times below follow from each other. They keep two nodes that both regard themselves as home of a tenant from lending at the same
// time, or within the life of permits of each other: docs/design/quotas.md has the proof. A home stops by its own clock, counted from its
// own calls to the store, and a new home waits until an earlier one has stopped. Neither depends on a link.
const (
	// driftDivisor sets by how much the clocks of two nodes or of the store may differ in speed: by 1/50. The kernel slews a clock by at most
	// 1/2000.
	driftDivisor = 50
	// MaxRecordAge is the time since the start of the last call that granted or renewed the lease of this node's record for which it lends.
	// A node that lends is thus in every list of members.
	MaxRecordAge = hornbeamcroft.RecordLease * (driftDivisor - 1) / driftDivisor
	// replaceTime is how long a node that has replaced a home waits. That home has lost its right to lend by then, and what it lent ends.
	replaceTime = hornbeamcroft.MaxPermitLife
	// joinTime is how long a node waits after its record came into the store: others list the members every 3 s, a list may show what was
	// 1 s before, and what an earlier home lent before it read the list ends.
	joinTime = 3*time.Second + hornbeamcroft.MaxListStaleness + hornbeamcroft.MaxPermitLife
	// firstListTime is how long a node waits after its first list. A home whose record had lapsed before has lost its right to lend, and what
	// it lent ends.
	firstListTime = hornbeamcroft.MaxPermitLife
	// MaxListAge is the time since the start of the last list of members for which a home lends, because it may not know of a new home. It
	// covers a list that was due 3 s after the one before when the store began to reject the node for 9 s.
	MaxListAge = 13 * time.Second
	// unseenTime is how long the record of a new home is in the store before it lends, unless the node next in line knows of it. Homes whose
	// lists do not show the record have stopped by then.
	unseenTime = (MaxListAge+hornbeamcroft.MaxListStaleness)*(driftDivisor+1)/driftDivisor + hornbeamcroft.MaxPermitLife
	// restoreTime is how long a new home waits after the store came back from an older copy. The copy may lack the record of a home that has
	// no contact with the store and lends until MaxRecordAge.
	restoreTime = MaxRecordAge*(driftDivisor+1)/driftDivisor + hornbeamcroft.MaxPermitLife
)

// minProofAge is the age of a proof up to which a home lends whatever the bounds are. While one reader of the store after the other fails,
// proofs do not become older.
const minProofAge = 2 * time.Second

// Pause is the reason for which a home lends nothing.
type Pause int

// The reasons. The metric quotas/pause shows their values.
const (
	// Lending means that nothing prevents lending.
	Lending Pause = iota
	// Unproven means that the quotas may have been lowered since the last proof of the configuration.
	Unproven
	// Unrecorded means that the record of this node may have lapsed, so that another node may have become home.
	Unrecorded
	// Unlisted means that a new home may have joined since the last list of members.
	Unlisted
)

// String returns the name of the reason in logs.
func (p Pause) String() string {
	names := [...]string{"none", "configuration-unproven", "record-not-renewed", "members-not-listed"}
	if p < 0 || int(p) >= len(names) {
		return "invalid"
	}
	return names[p]
}

// tenure is what a node knows of its own record in the store and of those of others. Times are the node's own.
type tenure struct {
	// renewedAt is when the call began that last granted or renewed the lease of the record, and recordedAt when the record came into the
	// store, from when on no other node can have missed it. They are valid if recorded is set.
	renewedAt, recordedAt time.Duration
	recorded              bool
	// succeeds is set if the record of this process replaced one of an earlier process of this node without a gap, and has been in the
	// store since. No other node has become home meanwhile.
	succeeds bool
	// listedAt is when the last list began, and listingSince when the first of a series began of which each list came within MaxListAge
	// of the one before. They are valid if listed is set.
	listedAt, listingSince time.Duration
	listed                 bool
	// restoredAt is when a restore of the store was last heard of, if restored is set.
	restoredAt time.Duration
	restored   bool
}

// hasRecord reports whether the lease of the record cannot have ended yet.
func (t *tenure) hasRecord(now time.Duration) bool {
	return t.recorded && now-t.renewedAt < MaxRecordAge
}

// hasList reports whether the last list is recent enough: a home that joined after it does not lend yet, unless the node next in line
// knows of it.
func (t *tenure) hasList(now time.Duration) bool { return t.listed && now-t.listedAt < MaxListAge }

// readyAt returns when the permits of the bucket may be lent. The node also needs a list that began at or after that time and still
// shows it as home.
func (t *tenure) readyAt(b *bucket) time.Duration {
	at := max(b.since+replaceTime, t.listingSince+firstListTime)
	seenAt := t.recordedAt + unseenTime
	if b.acknowledged {
		// The node next in line may have lent until it learned of this home, if it had no contact with the store.
		seenAt = min(seenAt, b.acknowledgedAt+replaceTime)
	}
	at = max(at, seenAt)
	if b.acknowledged && !t.succeeds {
		at = max(at, t.recordedAt+joinTime)
	}
	if t.restored {
		at = max(at, t.restoredAt+restoreTime)
	}
	return at
}

// SetRecord states that the store holds the record of this node. The call that granted or last renewed its lease began at the time sent;
// absent is set if the store may have been without the record since the last call of SetRecord. Others miss a record at MaxRecordAge at
// the earliest; if it was absent until then, all buckets settle again.
func (l *Lender) SetRecord(now, sent time.Duration, absent bool) {
	t := &l.tenure
	if (absent || !t.recorded) && !t.hasRecord(now) {
		t.recordedAt, t.succeeds = now, t.succeeds && !t.recorded
		if t.recorded {
			l.settle(now)
		}
	}
	if !t.recorded || sent > t.renewedAt {
		t.renewedAt, t.recorded = sent, true
	}
}

// SetSucceeds states whether the record of this node, which SetRecord states afterwards, replaces one of an earlier process of this node.
func (l *Lender) SetSucceeds(succeeds bool) { l.tenure.succeeds = succeeds && !l.tenure.recorded }

// SetList states that a list of members that began at the time asked has been applied, as far as it concerns the homes of tenants.
func (l *Lender) SetList(now, asked time.Duration) {
	t := &l.tenure
	if !t.hasList(now) {
		t.listingSince = now
		if t.listed {
			l.settle(now)
		}
	}
	if !t.listed || asked > t.listedAt {
		t.listedAt, t.listed = asked, true
	}
}

// SetRestored states that the store came back from an older copy at the time at or before.
func (l *Lender) SetRestored(at time.Duration) {
	t := &l.tenure
	if !t.restored || at > t.restoredAt {
		t.restoredAt, t.restored = at, true
	}
}

// Restored returns how long ago the store came back from an older copy, at least 1 ns; zero if that makes no new home wait any more.
func (l *Lender) Restored(now time.Duration) time.Duration {
	t := &l.tenure
	if !t.restored || now-t.restoredAt >= restoreTime {
		return 0
	}
	return max(now-t.restoredAt, 1)
}

// settle makes all buckets wait again before they lend. It is not used for the first record or list of a process: buckets that lend
// by then were handed over to it.
func (l *Lender) settle(now time.Duration) {
	for _, b := range l.buckets {
		b.reset(now)
	}
}

// HasRecord reports whether the lease of this node's record in the store cannot have ended yet, so that no other node misses the record.
func (l *Lender) HasRecord(now time.Duration) bool { return l.tenure.hasRecord(now) }

// Pause returns the reason for which nothing is lent of any tenant.
func (l *Lender) Pause(now time.Duration) Pause {
	switch {
	case !l.hasProof(now):
		return Unproven
	case !l.tenure.hasRecord(now):
		return Unrecorded
	case !l.tenure.hasList(now):
		return Unlisted
	}
	return Lending
}

// startIfReady reports whether permits of the bucket are lent. A bucket that is ready and has not started does so.
func (l *Lender) startIfReady(now time.Duration, b *bucket) bool {
	if l.Pause(now) != Lending {
		return false
	}
	if !b.started {
		ready := l.tenure.readyAt(b)
		if now < ready || l.tenure.listedAt < ready {
			return false
		}
		b.started, b.updatedAt = true, now
	}
	return true
}

// NeedsList reports whether a bucket only waits for a list of members that shows whether this node is still the home.
func (l *Lender) NeedsList(now time.Duration) bool {
	if l.Pause(now) != Lending {
		return false
	}
	for _, b := range l.buckets {
		if ready := l.tenure.readyAt(b); !b.started && now >= ready && l.tenure.listedAt < ready {
			return true
		}
	}
	return false
}

// Settling returns the number of tenants whose home is here and that are not lent yet.
func (l *Lender) Settling(now time.Duration) (n int) {
	for _, b := range l.buckets {
		if !l.startIfReady(now, b) {
			n++
		}
	}
	return n
}

// Ages returns the times since the start of the call that last renewed the record of this node, and of the last list of members; -1 ms
// if there was none.
func (l *Lender) Ages(now time.Duration) (record, list time.Duration) {
	record, list = -time.Millisecond, -time.Millisecond
	if l.tenure.recorded {
		record = now - l.tenure.renewedAt
	}
	if l.tenure.listed {
		list = now - l.tenure.listedAt
	}
	return record, list
}
