package lender

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

const (
	// pooledPart is the part of the capacity that borrowers hold ahead of need; the rest is for those that need a permit at once.
	pooledPart = 0.8
	// freePart is the part of the capacity above which a borrower gets what it wants, whatever its share.
	freePart = 0.25
	// borrowerTime is the time without a request after which a borrower no longer counts for the shares.
	borrowerTime = 2 * time.Second
	// shareTime is the time for which a borrower's unused share of the rate is kept for it.
	shareTime = time.Second
	// minRetry and maxRetry bound when a borrower that got too little asks again, while the demand is below the quota.
	minRetry = 5 * time.Millisecond
	maxRetry = hornbeamcroft.MinOverQuota / 2
	// maxOverRetry is the maximum while the demand is above the quota. It is at least MinOverQuota then, so that messages stay few.
	maxOverRetry = 250 * time.Millisecond
)

// bucket holds the permits of one tenant. The sum of tokens and of all outstanding permits is at most capacity, or falls to it within
// the life of permits after the capacity was lowered.
type bucket struct {
	rate, capacity, tokens float64
	updatedAt              time.Duration
	// lower is the lower quota that will replace rate and capacity, if any.
	lower lowering
	// since is when this node became home or had to settle again, and started is set when it lends from then on.
	since   time.Duration
	started bool
	// next holds the members that were next in line since settling began, the present one at the end.
	next []string
	// acknowledged is set once all of next know this home; acknowledgedAt is when that became true.
	acknowledged   bool
	acknowledgedAt time.Duration
	// loans holds what is lent, ordered by borrower.
	loans []*loan
	// wants and rates are the sums over the borrowers.
	wants, rates float64
}

// loan is what one borrower holds: limit - used permits until expires. The counts are the borrower's.
type loan struct {
	borrower    string
	used, limit uint64
	expires     time.Duration
	// asked is the time of asking of the last request, on the borrower's clock, and seen when it came, on this node's.
	asked, seen time.Duration
	// granted is the time up to which the borrower has received its share of the refill while the quota is exceeded. It is not later
	// than now.
	granted time.Duration
	// want and rate are those of the last demand.
	want uint32
	rate float64
}

// reset empties the bucket and lets it settle.
func (b *bucket) reset(now time.Duration) {
	b.tokens, b.updatedAt, b.since, b.started, b.acknowledged = 0, now, now, false, false
	b.loans = nil
}

// refill ends the loans whose life has passed and adds the tokens of the time since the last call. Before the start, it adds none.
func (b *bucket) refill(now time.Duration) {
	b.wants, b.rates = 0, 0
	b.loans = slices.DeleteFunc(b.loans, func(o *loan) bool { return now-o.seen >= borrowerTime })
	for _, o := range b.loans {
		if now >= o.expires {
			o.limit = o.used // the borrower may have used all of them: nothing is given back
		}
		b.wants += float64(o.want)
		b.rates += o.rate
	}
	if since := now - b.updatedAt; b.started && since > 0 {
		b.tokens += b.rate * since.Seconds()
	}
	b.applyLowering(now)
	b.updatedAt = now
	b.clamp()
}

// clamp limits the tokens to the part of the capacity that is not lent.
func (b *bucket) clamp() { b.tokens = max(0, min(b.tokens, b.capacity-b.lent())) }

// lent returns the number of permits that may still be used.
func (b *bucket) lent() float64 {
	n := uint64(0)
	for _, o := range b.loans {
		n += o.limit - o.used
	}
	return float64(n)
}

// loan returns the loan of a borrower, or adds one with nothing lent. It returns nil if there are too many.
func (b *bucket) loan(borrower string, used uint64) *loan {
	i, found := slices.BinarySearchFunc(b.loans, borrower, func(o *loan, name string) int { return strings.Compare(o.borrower, name) })
	if found {
		return b.loans[i]
	}
	if len(b.loans) >= maxBorrowers {
		return nil
	}
	o := &loan{borrower: borrower, used: used, limit: used, asked: -1}
	b.loans = slices.Insert(b.loans, i, o)
	return o
}

// report records what the borrower used and takes back what it gave up. A borrower that counts from a lower number than before has
// forgotten what it held, which is lost.
func (b *bucket) report(o *loan, d hornbeamcroft.PermitDemand) {
	b.wants += float64(d.Want) - float64(o.want)
	b.rates += d.Rate - o.rate
	if d.Used < o.used {
		o.used, o.limit = d.Used, d.Used
		return
	}
	limit := max(min(o.limit, d.Limit), d.Used)
	if o.limit > limit {
		b.tokens += float64(o.limit - limit)
	}
	o.used, o.limit = d.Used, limit
	b.clamp()
}

// isOver reports whether the demand of all borrowers exceeds the quota.
func (b *bucket) isOver() bool { return b.rates > b.rate }

// allowed returns how many permits the borrower may get more than it holds. Borrowers share the capacity by what they want and, while
// the quota is exceeded, the refill by their demand.
func (b *bucket) allowed(now time.Duration, o *loan) float64 {
	n := float64(o.want)
	if pool := pooledPart * b.capacity; b.wants > pool {
		n = max(1, pool*n/b.wants)
	}
	n -= float64(o.limit - o.used)
	if b.isOver() && b.tokens < freePart*b.capacity {
		since := min(now-o.granted, shareTime)
		n = min(n, max(1, b.rate*o.rate/b.rates*since.Seconds()))
	}
	return n
}

// countGrant takes a grant from what the borrower's share of the rate amounts to since the time granted.
func (b *bucket) countGrant(now time.Duration, o *loan, permits float64) {
	if b.rates <= 0 || o.rate <= 0 {
		o.granted = now
		return
	}
	o.granted = min(now, max(o.granted, now-shareTime)+seconds(permits*b.rates/(o.rate*b.rate)))
}

// retry returns when the borrower should ask again for the missing permits, and its share of the rate.
func (b *bucket) retry(o *loan, missing float64) (after time.Duration, share float64) {
	share = b.rate
	if b.rates > 0 {
		share = max(share*o.rate/b.rates, b.rate/maxBorrowers)
	}
	next := seconds(min(missing, 1) / share)
	if b.isOver() {
		return min(max(next, hornbeamcroft.MinOverQuota), maxOverRetry), share
	}
	return min(max(next, minRetry), maxRetry), share
}

// seconds returns the duration of s seconds, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
