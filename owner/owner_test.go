package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestHomesAreBalancedAndStable guards against a hash that gives one member more keys than others, or that moves keys
// between members that stay in the roster.
func TestHomesAreBalancedAndStable(t *testing.T) {
	is := is.New(t)
	four, three := newRoster([]string{"a", "b", "c", "d"}), newRoster([]string{"a", "b", "c"})
	count := map[string]int{}
	for i := range 40_000 {
		key := fmt.Sprint("key-", i)
		home := four.home(key)
		count[home]++
		if home != "d" {
			is.Equal(three.home(key), home)
		}
	}
	for _, n := range count {
		is.True(n > 9_500 && n < 10_500)
	}
}

// TestFirstEpochNeedsStoreRead guards against a node that serves before it has read the epoch, which it wrote itself,
// from the store.
func TestFirstEpochNeedsStoreRead(t *testing.T) {
	is := is.New(t)
	o := Owner{Self: "a", Service: "s", Incarnation: 1}
	o.SetTarget([]string{"a"}, nil, true)
	out := o.Tick(0, 0)
	is.Equal(len(out.Store), 1)
	is.True(!o.Decide(0, 0, "k", 0).Serve)
	out = o.HandleStore(time.Millisecond, StoreResult{ID: out.Store[0].ID})
	is.True(out.Store[0].Write)
	value := out.Store[0].Value
	out = o.HandleStore(2*time.Millisecond, StoreResult{
		ID: out.Store[0].ID, Txn: hornbeamcroft.TxnResult{Succeeded: true, Revision: 7},
	})
	is.True(out.Adopted && out.Settled)
	is.True(!o.Decide(0, 0, "k", 0).Serve)
	o.ObserveRead(1200*time.Millisecond, 1100*time.Millisecond, 0, hornbeamcroft.Entry{Value: value, ModRevision: 7})
	v := o.Decide(1200*time.Millisecond, 1200, "k", 0)
	is.True(v.Serve && v.BeforeTakeover)
	is.Equal(v.PermitEnd, 2100*time.Millisecond) // the read was sent at 1.1 s, and the default permit time is 1 s
	_, ok := o.MayDispatch(2100*time.Millisecond, "k")
	is.True(!ok)
}
