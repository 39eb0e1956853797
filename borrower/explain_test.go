package borrower

import (
	"testing"

	"github.com/matryer/is"
)

// take takes a permit. It guards against an explanation that differs from the decision that follows, or that changes the account.
func (s *scenario) take(t *testing.T, tenant string) Decision {
	t.Helper()
	is := is.New(t)
	var before account
	a := s.b.accounts[tenant]
	if a != nil {
		before = *a
	}
	counts := s.b.counts
	e := s.b.Explain(s.now, tenant)
	if a != nil {
		is.Equal(*a, before)
	}
	is.Equal(s.b.counts, counts)
	d := s.b.Take(s.now, tenant)
	is.Equal(e.Verdict, d.Verdict.String())
	is.Equal(e.RetryAfterMs, d.RetryAfter.Milliseconds())
	is.Equal(e.Limited && e.Permits > 0, a != nil && d.Verdict == Admitted)
	return d
}
