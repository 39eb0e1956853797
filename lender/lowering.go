package lender

import (
	"time"

	"hornbeamcroft"
)

// lowerMargin is how much earlier than the configuration has to be in force a lowered quota takes effect. The proofs that the time is
// counted from are stated every 100 ms.
const lowerMargin = 300 * time.Millisecond

// lowering is a lower quota that is to take effect at a later time.
type lowering struct {
	rate, capacity float64
	// at is when it takes effect; zero if there is none.
	at time.Duration
}

// setQuota applies a quota. A lower one takes effect shortly before the end of ApplyTime, counted from the last proof of the configuration
// that allowed more: the change was accepted after that proof. Until then no request is rejected that an accepted configuration allows on
// other nodes.
func (l *Lender) setQuota(now time.Duration, b *bucket, q hornbeamcroft.Quota) {
	rate, capacity := q.Rate, l.capacity(q)
	at := b.lower.at
	if at == 0 {
		at = l.provenAt + l.ApplyTime - lowerMargin
	}
	if rate >= b.rate && capacity >= b.capacity || !l.proven || at <= now || !b.started {
		b.rate, b.capacity, b.lower = rate, capacity, lowering{}
		return
	}
	b.lower = lowering{rate: rate, capacity: capacity, at: at}
	b.rate, b.capacity = max(b.rate, rate), max(b.capacity, capacity)
}

// applyLowering applies the lower quota once its time has come.
func (b *bucket) applyLowering(now time.Duration) {
	if b.lower.at > 0 && now >= b.lower.at {
		b.rate, b.capacity, b.lower = b.lower.rate, b.lower.capacity, lowering{}
	}
}

// permitLife returns the time for which permits are lent. They end when a lower quota takes effect.
func (b *bucket) permitLife(now time.Duration) time.Duration {
	if b.lower.at == 0 {
		return hornbeamcroft.MaxPermitLife
	}
	return min(hornbeamcroft.MaxPermitLife, b.lower.at-now)
}
