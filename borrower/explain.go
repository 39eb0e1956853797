package borrower

import (
	"time"

	"hornbeamcroft"
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"admitted", "exceeded", "undecided", "waiting"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Explain returns the decision that Take would make on a request of the tenant, and what it follows from. It takes no permit and
// changes nothing. Rate, Burst and HomeLinked are left to the caller.
func (b *Borrower) Explain(now time.Duration, tenant string) hornbeamcroft.PlacementQuota {
	if b.accounts[tenant] == nil {
		return hornbeamcroft.PlacementQuota{Verdict: Admitted.String()}
	}
	a := *b.accounts[tenant]
	a.expire(now)
	q := hornbeamcroft.PlacementQuota{Limited: true, Home: a.home, Permits: int64(a.limit - a.used)}
	if q.Permits > 0 {
		q.ExpireMs = (a.expires - now).Milliseconds()
	}
	if a.grantedAt > 0 {
		ageMs := (now - a.answeredAt).Milliseconds()
		q.AnswerAgeMs = &ageMs
	}
	d := b.predict(now, a)
	q.Verdict, q.RetryAfterMs = d.Verdict.String(), d.RetryAfter.Milliseconds()
	return q
}

// predict returns the decision that Take would make. The account is a copy, because the retry delay of a refused caller is that of
// the next one too.
func (b *Borrower) predict(now time.Duration, a account) Decision {
	switch {
	case a.use(now):
		return Decision{Verdict: Admitted}
	case a.over && now < a.shortUntil:
		return Decision{Verdict: Exceeded, RetryAfter: a.retryAfter(now)}
	case now+decideTime < a.silentUntil || b.waiting >= maxWaiting || a.home == "":
		return Decision{Verdict: Undecided, RetryAfter: a.undecidedRetryAfter(now)}
	}
	return Decision{Verdict: Waiting}
}
