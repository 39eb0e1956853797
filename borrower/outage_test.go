package borrower_test

import (
	"slices"
	"testing"
	"time"
)

// served returns the fraction of the entitled requests between from and to that were admitted, over all tenants for which ok is true.
func (f *fleet) served(from, to time.Duration, ok func(*load) bool) float64 {
	all, served := 0, 0
	for _, l := range f.loads {
		if !ok(l) {
			continue
		}
		first, _ := slices.BinarySearch(l.admitted, from)
		end, _ := slices.BinarySearch(l.admitted, to)
		n := entitled(l, from, to)
		all, served = all+n, served+min(n, end-first)
	}
	return float64(served) / float64(max(all, 1))
}

func anyTenant(*load) bool { return true }

// checkServedAgain fails the test if tenants are without permits for longer than the limit, counted from the time from: that is, until at
// least 0.9 of the entitled requests in 250 ms are admitted. It looks at the requests since the time at.
func (f *fleet) checkServedAgain(t *testing.T, from, at, limit time.Duration, ok func(*load) bool) {
	t.Helper()
	const step = 250 * time.Millisecond
	for at < f.now && f.served(at, at+step, ok) < 0.9 {
		at += step
	}
	t.Logf("without permits for %s", at-from)
	if at-from > limit {
		t.Errorf("at most %s allowed", limit)
	}
}

// TestStoreOutage guards against tenants that go without permits while the store answers nobody, although no other node can become home,
// and against homes that settle again after it.
func TestStoreOutage(t *testing.T) {
	const outage, span = 4500 * time.Millisecond, 3 * time.Second
	forSeeds(t, 2, func(t *testing.T, seed uint64) {
		f := newFleet(seed, 89, 87, 1840)
		f.run(6*time.Second + f.between(0, 3*time.Second))
		from := f.now
		f.storeDown = true
		f.run(from + outage)
		f.storeDown = false
		f.run(from + outage + span)
		start, end := f.served(from, from+span, anyTenant), f.served(from+outage, from+outage+span, anyTenant)
		t.Logf("admitted of the entitled requests: %.4f in 3 s from the start of the outage, %.4f from its end", start, end)
		if start < 0.95 || end < 0.95 {
			t.Error("less than 0.95 admitted")
		}
		checkBound(t, f, ownQuota)
	})
}

// TestHomeKilled guards against tenants that go without permits for long when the host of their home is lost. The record of the home
// lapses within 12 s, others read that within 4 s, those with a link to it within 1 s, miss it for 2 s, and the next home waits 1.2 s and
// for a list.
func TestHomeKilled(t *testing.T) {
	const limit = 17500 * time.Millisecond
	forSeeds(t, 2, func(t *testing.T, seed uint64) {
		f := newFleet(seed, 89, 87, 1840)
		f.run(6*time.Second + f.between(0, 3*time.Second))
		home := f.nodes[0].homes["tenant-0"][0]
		killed := f.nodes[slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == home })]
		homeless := func(l *load) bool { return killed.homes[l.Name][0] == home }
		from := f.now
		killed.alive = false
		f.run(from + 20*time.Second)
		f.checkServedAgain(t, from, from+2*time.Second, limit, homeless) // what was lent has ended after 2 s
		checkBound(t, f, ownQuota)
	})
}

// TestRejectedByStore guards against tenants that go without permits after the store has rejected a third of the nodes for 9 s: no node
// can have become home in their place if the records of the rejected homes outlive that time.
func TestRejectedByStore(t *testing.T) {
	const outage, span = 9 * time.Second, 6 * time.Second
	forSeeds(t, 2, func(t *testing.T, seed uint64) {
		f := newFleet(seed, 89, 87, 1840)
		f.run(6*time.Second + f.between(0, 3*time.Second))
		from := f.now
		for i, n := range f.nodes {
			n.refused = i%3 == 0
		}
		f.run(from + outage)
		for _, n := range f.nodes {
			n.refused = false
		}
		f.run(from + outage + span)
		during, after := f.served(from, from+outage, anyTenant), f.served(from+outage, from+outage+span, anyTenant)
		t.Logf("admitted of the entitled requests: %.4f in the 9 s, %.4f in the 6 s after", during, after)
		if during < 0.95 || after < 0.95 {
			t.Error("less than 0.95 admitted")
		}
		checkBound(t, f, ownQuota)
	})
}
