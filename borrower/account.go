package borrower

import (
	"math"
	"time"

	"hornbeamcroft"
)

const (
	// renewTime is the time from one request for a tenant to the next while the permits suffice.
	renewTime = time.Second
	// aheadTime is the least time between two requests that ask for more ahead of need.
	aheadTime = 50 * time.Millisecond
	// slowTime and fastTime are the time constants of the two estimates of the request rate.
	slowTime = 4 * time.Second
	fastTime = 500 * time.Millisecond
	// minRate is the number of requests a second from which on permits are held ahead of need. Below it, renewals would cost more
	// messages than asking for each request.
	minRate = 0.4
	// maxSilent is the maximum time for which a home that does not lend is not asked again: as long as callers are told to wait. It may
	// start earlier than it said, when the previous home hands over.
	maxSilent = undecidedRetry
	// maxLendWait bounds the time that callers are told until the home starts lending.
	maxLendWait = 2 * time.Second
	// maxWant is the maximum number of permits asked for.
	maxWant = 1 << 16
	// renewDivisor divides the number of permits to hold: more are asked for when only that part is left.
	renewDivisor = 3
)

// account holds the permits of one tenant.
type account struct {
	tenant, home string
	// used is the number of permits that were used, and limit the number that may be used until expires; used <= limit.
	used, limit uint64
	expires     time.Duration
	// askedAt is the time of the last request, grantedAt that of the request that the last accepted grant answered, and floor that of
	// the last request that gave permits back. Grants that answer earlier requests are void.
	askedAt, grantedAt, floor time.Duration
	// reportedAt is the time of the last request, which reported what was used until then. It differs from that of every earlier account
	// of the tenant. It is zero while no permit can be given back.
	reportedAt time.Duration
	// answeredAt is when the home last answered, short whether it granted too little, and over whether the demand of all nodes is above
	// the quota; a tenant within its quota may be short for some milliseconds by chance.
	answeredAt  time.Duration
	short, over bool
	// shortUntil is when it is useful to ask for more, silentUntil when to ask a home that does not lend, and lendsAt when that home
	// expects to lend.
	shortUntil, silentUntil, lendsAt time.Duration
	// share is the number of permits per second to expect. promisedRetry is when the last refused caller may try again.
	share         float64
	promisedRetry time.Duration
	waiting       []waiter
	// slow and fast are estimates of the requests per second at the time countedAt.
	slow, fast float64
	countedAt  time.Duration
}

// waiter is a request that waits for a permit.
type waiter struct {
	id    uint64
	until time.Duration
}

// newAccount returns an account without permits. Grants that answer requests before the time floor are void: they count for an earlier
// account of the tenant.
func newAccount(now, floor time.Duration, tenant, home string) *account {
	return &account{tenant: tenant, home: home, countedAt: now, floor: floor}
}

// count adds a request to the estimates of the rate.
func (a *account) count(now time.Duration) {
	a.decay(now)
	a.slow += 1 / slowTime.Seconds()
	a.fast += 1 / fastTime.Seconds()
}

func (a *account) decay(now time.Duration) {
	dt := (now - a.countedAt).Seconds()
	a.slow *= math.Exp(-dt / slowTime.Seconds())
	a.fast *= math.Exp(-dt / fastTime.Seconds())
	a.countedAt = now
}

// rate returns the estimated requests per second: the slow estimate, or the fast one less a margin for chance if that
// is higher.
func (a *account) rate(now time.Duration) float64 {
	a.decay(now)
	return max(a.slow, a.fast-2*math.Sqrt(a.fast/fastTime.Seconds()))
}

// use takes one permit if there is one.
func (a *account) use(now time.Duration) bool {
	a.expire(now)
	if a.used >= a.limit {
		return false
	}
	a.used++
	return true
}

// expire gives up the permits whose life has passed.
func (a *account) expire(now time.Duration) {
	if now >= a.expires {
		a.limit = a.used
	}
}

// want returns how many permits to hold: those of the waiting requests, and the need until the next renewal plus about the standard
// deviation of the number of requests in that time.
func (a *account) want(rate float64) int {
	ahead := 0.0
	if rate >= minRate {
		ahead = math.Ceil(rate*renewTime.Seconds() + math.Sqrt(rate) + 0.5)
	}
	return int(min(float64(len(a.waiting))+ahead, maxWant))
}

// isDue reports whether permits should be asked for.
func (a *account) isDue(now time.Duration) bool {
	a.expire(now)
	if now < a.shortUntil || now < a.silentUntil {
		return false
	}
	if len(a.waiting) > 0 {
		return true
	}
	if a.limit == a.used && a.slow < minRate && a.fast < minRate {
		return false
	}
	held, rate := int(a.limit-a.used), a.rate(now)
	want := a.want(rate)
	since := now - a.askedAt
	switch {
	case held == 0 && want == 0:
		return false
	case since >= renewTime:
		return true
	}
	return since >= aheadTime && held <= want/renewDivisor
}

// demand returns what to ask for. Permits above what is wanted are given back.
func (a *account) demand(asked time.Duration) hornbeamcroft.PermitDemand {
	rate := a.rate(asked)
	want := a.want(rate)
	d := hornbeamcroft.PermitDemand{Tenant: a.tenant, Used: a.used, Limit: hornbeamcroft.PermitsKept, Want: uint32(want), Rate: rate}
	if a.limit > a.used+uint64(want) {
		a.limit, a.floor = a.used+uint64(want), asked
		d.Limit = a.limit
	}
	a.askedAt, a.reportedAt = asked, asked
	return d
}

// accept applies permits that answer the request of the time asked. It reports whether they are newer than those before.
func (a *account) accept(now, asked time.Duration, p hornbeamcroft.Permits) bool {
	if asked <= a.grantedAt || asked < a.floor {
		return false
	}
	a.grantedAt, a.answeredAt = asked, now
	if p.Undecided {
		a.short, a.over, a.silentUntil, a.lendsAt = false, false, now+min(p.Retry, maxSilent), now+min(p.Retry, maxLendWait)
		return true
	}
	if p.Limit < a.used {
		a.reportedAt = 0 // what was used since is of an earlier grant, and cannot be given back under this one
	}
	a.limit, a.expires = max(p.Limit, a.used), asked+p.Life
	a.short, a.over = p.Retry > 0, p.Retry >= hornbeamcroft.MinOverQuota
	a.share, a.shortUntil, a.silentUntil = p.Share, 0, 0
	if a.short {
		a.shortUntil = now + p.Retry
	} else {
		a.promisedRetry = 0
	}
	a.expire(now)
	return true
}

// undecidedRetryAfter returns when a caller whose request is undecided may find a permit. The home's bucket is empty when it starts
// lending, so each caller is given a later time than the one before, at the rate of the requests.
func (a *account) undecidedRetryAfter(now time.Duration) time.Duration {
	lendsAt := max(a.lendsAt, now+undecidedRetry)
	step := time.Duration(min(1/max(a.rate(now), minRate), undecidedRetry.Seconds()) * float64(time.Second))
	a.promisedRetry = min(max(a.promisedRetry+step, lendsAt), lendsAt+undecidedRetry)
	return a.promisedRetry - now
}

// retryAfter returns when a refused caller may find a permit. Each refused caller is given a later time than the one before, at the
// rate at which permits come.
func (a *account) retryAfter(now time.Duration) time.Duration {
	step := maxRetryAfter
	if a.share > 0 {
		step = time.Duration(min(1/a.share, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	a.promisedRetry = min(max(a.promisedRetry, a.shortUntil, now+minRetryAfter)+step, now+maxRetryAfter)
	return a.promisedRetry - now
}
