package leaser_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/faker"
	"hornbeamcroft/leaser"
)

type fixture struct {
	*is.I
	clock *faker.Clock
	store *faker.Store
}

func newFixture(t *testing.T) fixture {
	clock := &faker.Clock{}
	return fixture{is.New(t), clock, faker.NewStore(clock)}
}

func (f fixture) runner(holder string, disabled leaser.Protection) *leaser.Runner {
	return &leaser.Runner{
		Leaser: &leaser.Leaser{Key: "lease", Holder: holder, TTL: leaser.DefaultTTL, Disabled: disabled},
		Store:  f.store, Clock: f.clock,
	}
}

// steps makes n calls to the store. After each call, it advances the clock to the time at which the next one is due.
func (f fixture) steps(r *leaser.Runner, n int) {
	for range n {
		f.clock.Advance(r.Step(context.Background()))
	}
}

// TestAcquireAndRenew guards against a lease that is not renewed, and against another holder that takes a lease before
// it expires.
func TestAcquireAndRenew(t *testing.T) {
	f := newFixture(t)
	a, b := f.runner("a", 0), f.runner("b", 0)
	f.steps(a, 3) // read, grant, claim
	for range 10 {
		_, held := a.Held()
		f.True(held)
		b.Step(t.Context())
		_, held = b.Held()
		f.True(!held)
		f.steps(a, 1)
	}
}

// TestPaused guards against a paused holder that writes after another holder has taken the lease. The check of its own
// clock prevents this, and so does the check of the epoch by the store. With both disabled, the write succeeds.
func TestPaused(t *testing.T) {
	for _, tt := range []struct {
		name     string
		disabled leaser.Protection
		// held is whether the paused holder still believes that it holds the lease, and written whether its write
		// succeeds.
		held, written bool
	}{
		{"all mechanisms", 0, false, false},
		{"without clock", leaser.CheckClock, true, false},
		{"without clock and epoch", leaser.CheckClock | leaser.CheckEpoch, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			a, b := f.runner("a", tt.disabled), f.runner("b", 0)
			f.steps(a, 3)
			f.clock.Advance(time.Minute)
			f.steps(b, 3)
			newer, held := b.Held()
			f.True(held)
			older, held := a.Held()
			f.Equal(held, tt.held)
			if held {
				f.True(older.Epoch < newer.Epoch)
				result, err := f.store.Txn(t.Context(), older.Conditions, []hornbeamcroft.Put{{Key: "roster"}})
				f.NoErr(err)
				f.Equal(result.Succeeded, tt.written)
			}
		})
	}
}

// TestSlowRenewal guards against an expiry that is counted from the answer to a renewal. The store counts from the
// request, and so its lease expires earlier.
func TestSlowRenewal(t *testing.T) {
	for _, disabled := range []leaser.Protection{0, leaser.CountFromSending} {
		f := newFixture(t)
		a := f.runner("a", disabled)
		f.steps(a, 3)
		a.Leaser.OnRenew(f.clock.Now(), f.clock.Now()+2*time.Second, nil) // the answer took 2 s
		f.clock.Advance(leaser.DefaultTTL)
		_, held := a.Held()
		f.Equal(held, disabled != 0)
	}
}

// TestLostClaim guards against a claim that succeeds although its answer is lost, after which the key has a holder that
// does not know that it holds the key.
func TestLostClaim(t *testing.T) {
	f := newFixture(t)
	a := f.runner("a", 0)
	f.steps(a, 2)
	f.store.SetFaults(faker.Faults{LoseAnswers: 1})
	f.steps(a, 1)
	_, held := a.Held()
	f.True(!held)
	f.steps(a, 2)
	_, held = a.Held()
	f.True(held)
}

// TestStoreDown guards against a lease that is given up before its expiry, or kept after it, while the store is down.
func TestStoreDown(t *testing.T) {
	f := newFixture(t)
	a := f.runner("a", 0)
	f.steps(a, 4)
	f.store.SetFaults(faker.Faults{Down: true})
	f.steps(a, 1)
	_, held := a.Held()
	f.True(held)
	f.steps(a, 10)
	_, held = a.Held()
	f.True(!held)
	f.store.SetFaults(faker.Faults{})
	f.steps(a, 4) // renewal (the lease is not found), read, grant, claim
	_, held = a.Held()
	f.True(held)
}

// TestRevokeOnStop guards against a holder that stops without a revoke and so blocks the next holder for the rest of
// the TTL.
func TestRevokeOnStop(t *testing.T) {
	f := newFixture(t)
	a, b := f.runner("a", 0), f.runner("b", 0)
	f.steps(a, 3)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.True(a.Run(ctx) != nil)
	f.steps(b, 3)
	_, held := b.Held()
	f.True(held)
}

func Example() {
	clock := &faker.Clock{}
	r := &leaser.Runner{
		Leaser: &leaser.Leaser{Key: hornbeamcroft.KeyLeasePrefix + "brest", Holder: "node-1/7", TTL: leaser.DefaultTTL},
		Store:  faker.NewStore(clock), Clock: clock,
	}
	for range 3 { // read, grant, claim
		r.Step(context.Background())
	}
	fence, held := r.Held()
	fmt.Println(held, fence.Conditions[0].Key)
	// Output: true hornbeamcroft/leases/brest
}
