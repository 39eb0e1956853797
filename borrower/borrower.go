// Package borrower obtains permits of tenants' quotas from their homes, and decides which requests may run.
package borrower

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"
)

const (
	// decideTime is the maximum time until a request is decided.
	decideTime = 150 * time.Millisecond
	// undecidedRetry is the retry delay given to callers of undecided requests.
	undecidedRetry = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay given to callers of requests above the quota.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxWaiting is the maximum number of requests that wait for permits, of all tenants together.
	maxWaiting = 4096
)

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts. A waiting request is decided by a later call of Receive or Tick.
const (
	Admitted Verdict = iota
	Exceeded
	Undecided
	Waiting
)

// Decision is the verdict on one request.
type Decision struct {
	// ID is the number of a request that waits or has waited.
	ID      uint64
	Verdict Verdict
	// RetryAfter is set if the request may not run.
	RetryAfter time.Duration
	// PermitEpoch identifies the report of used permits before the one that this request took, for GiveBack; zero without a permit.
	PermitEpoch time.Duration
}

// Message is a request to the home of tenants.
type Message struct {
	Home    string
	Request hornbeamcroft.PermitRequest
}

// Borrower holds the permits that this node may use. Set the exported fields before the first use. It is not safe for concurrent
// use.
type Borrower struct {
	// Home returns the name of a tenant's home; empty if there is none.
	Home func(tenant string) string

	accounts map[string]*account
	// ordered holds the accounts by name of the tenant.
	ordered []*account
	// homes holds the requests in flight by home.
	homes map[string]*home
	// unlinkedSince is the time since which a home has had no link, for homes that had one.
	unlinkedSince map[string]time.Duration
	// lastAsked is the time of asking of the last request; it rises with each.
	lastAsked time.Duration
	lastID    uint64
	// waiting is the number of requests that wait.
	waiting int
	counts  Counts
}

// Counts are numbers since the start for the metrics.
type Counts struct {
	// Admitted, Exceeded and Undecided count the decided requests. Waited counts those that had to wait for a permit.
	Admitted, Exceeded, Undecided, Waited int64
	// GivenBack counts the permits of admitted requests that did not run.
	GivenBack int64
	// Messages counts the requests for permits, Resent those of them whose predecessor was not answered.
	Messages, Resent int64
}

// Counts returns the counts.
func (b *Borrower) Counts() Counts { return b.counts }

// SetTenants states the tenants of the configuration. Requests of tenants that are not among them, or have no quota, are admitted.
func (b *Borrower) SetTenants(now time.Duration, tenants []hornbeamcroft.Tenant) []Decision {
	limited := make(map[string]bool, len(tenants))
	for _, t := range tenants {
		if t.Quota.Rate > 0 {
			limited[t.Name] = true
		}
	}
	if b.accounts == nil {
		b.accounts, b.homes = make(map[string]*account), make(map[string]*home)
	}
	for name := range limited {
		if b.accounts[name] == nil {
			b.accounts[name] = newAccount(now, b.lastAsked+1, name, b.Home(name))
		}
	}
	var decided []Decision
	for _, a := range b.ordered {
		if !limited[a.tenant] {
			a.reportedAt = 0 // no permit is taken
			decided = append(decided, b.admit(a, len(a.waiting))...)
			delete(b.accounts, a.tenant)
		}
	}
	b.ordered = b.ordered[:0]
	for _, a := range b.accounts {
		b.ordered = append(b.ordered, a)
	}
	slices.SortFunc(b.ordered, func(a, other *account) int { return strings.Compare(a.tenant, other.tenant) })
	return decided
}

// UpdateHomes looks up the homes of all tenants again. Permits of earlier homes may be used until they end.
func (b *Borrower) UpdateHomes() {
	inUse := make(map[string]bool)
	for _, a := range b.ordered {
		if h := b.Home(a.tenant); h != a.home {
			a.home, a.askedAt, a.shortUntil, a.silentUntil, a.lendsAt = h, 0, 0, 0, 0
		}
		inUse[a.home] = true
	}
	for name := range b.homes {
		if !inUse[name] {
			delete(b.homes, name)
		}
	}
	for name := range b.unlinkedSince {
		if !inUse[name] {
			delete(b.unlinkedSince, name)
		}
	}
}

// Take decides on a request of the tenant. If the request has to wait, the decision has an ID, and Due may have a message to send.
func (b *Borrower) Take(now time.Duration, tenant string) Decision {
	a := b.accounts[tenant]
	if a == nil {
		return Decision{Verdict: Admitted}
	}
	a.count(now)
	if a.use(now) {
		b.counts.Admitted++
		return Decision{Verdict: Admitted, PermitEpoch: a.reportedAt}
	}
	if a.over && now < a.shortUntil {
		b.counts.Exceeded++
		return Decision{Verdict: Exceeded, RetryAfter: a.retryAfter(now)}
	}
	if now+decideTime < a.silentUntil || b.waiting >= maxWaiting || a.home == "" {
		b.counts.Undecided++
		return Decision{Verdict: Undecided, RetryAfter: a.undecidedRetryAfter(now)}
	}
	b.lastID++
	b.waiting++
	b.counts.Waited++
	a.waiting = append(a.waiting, waiter{id: b.lastID, until: now + decideTime})
	return Decision{ID: b.lastID, Verdict: Waiting}
}

// GiveBack makes the permit of a request that was admitted, but did not run, available again. It returns the waiting requests that are
// decided by it. The permit is lost if its use was reported to the home or its life has passed: the home counts it as used then, and
// may have lent another one in its place.
func (b *Borrower) GiveBack(now time.Duration, tenant string, epoch time.Duration) []Decision {
	a := b.accounts[tenant]
	if a == nil || epoch == 0 || epoch != a.reportedAt || now >= a.expires {
		return nil
	}
	a.used--
	b.counts.GivenBack++
	if len(a.waiting) > 0 && a.use(now) {
		return b.admit(a, 1)
	}
	return nil
}

// Cancel ends the wait of a request whose caller has gone. It reports whether the request was still waiting.
func (b *Borrower) Cancel(tenant string, id uint64) bool {
	a := b.accounts[tenant]
	if a == nil {
		return false
	}
	for i, w := range a.waiting {
		if w.id == id {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			b.waiting--
			return true
		}
	}
	return false
}

// Receive applies a grant of a home, and returns the requests that are decided by it.
func (b *Borrower) Receive(now time.Duration, from string, g hornbeamcroft.PermitGrant) []Decision {
	if g.Asked > b.lastAsked {
		return nil
	}
	if h := b.homes[from]; h != nil && g.Asked >= h.asked {
		h.inFlight = false
	}
	var decided []Decision
	for _, p := range g.Permits {
		a := b.accounts[p.Tenant]
		if a == nil || a.home != from || !a.accept(now, g.Asked, p) {
			continue
		}
		n := 0
		for n < len(a.waiting) && a.use(now) {
			n++
		}
		decided = append(decided, b.admit(a, n)...)
		switch {
		case len(a.waiting) == 0:
		case a.over:
			decided = append(decided, b.refuse(now, a, len(a.waiting), Exceeded)...)
		case now+decideTime < a.silentUntil:
			decided = append(decided, b.refuse(now, a, len(a.waiting), Undecided)...)
		}
	}
	return decided
}

// Tick decides the requests that have waited for too long. The tenant's quota is exceeded if the home answered that it is short;
// otherwise the request is undecided.
func (b *Borrower) Tick(now time.Duration) []Decision {
	var decided []Decision
	for _, a := range b.ordered {
		n := 0
		for n < len(a.waiting) && a.waiting[n].until <= now {
			n++
		}
		v := Undecided
		if a.short && now-a.answeredAt < decideTime {
			v = Exceeded
		}
		decided = append(decided, b.refuse(now, a, n, v)...)
	}
	return decided
}

// admit admits the first n waiting requests of an account.
func (b *Borrower) admit(a *account, n int) []Decision {
	decided := make([]Decision, 0, n)
	for _, w := range a.waiting[:n] {
		decided = append(decided, Decision{ID: w.id, Verdict: Admitted, PermitEpoch: a.reportedAt})
	}
	b.counts.Admitted += int64(n)
	b.drop(a, n)
	return decided
}

// refuse rejects the first n waiting requests of an account.
func (b *Borrower) refuse(now time.Duration, a *account, n int, v Verdict) []Decision {
	decided := make([]Decision, 0, n)
	for _, w := range a.waiting[:n] {
		d := Decision{ID: w.id, Verdict: v}
		if v == Exceeded {
			d.RetryAfter = a.retryAfter(now)
			b.counts.Exceeded++
		} else {
			d.RetryAfter = a.undecidedRetryAfter(now)
			b.counts.Undecided++
		}
		decided = append(decided, d)
	}
	b.drop(a, n)
	return decided
}

func (b *Borrower) drop(a *account, n int) {
	a.waiting = a.waiting[n:]
	if len(a.waiting) == 0 {
		a.waiting = nil
	}
	b.waiting -= n
}
