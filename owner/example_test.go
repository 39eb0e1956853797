package owner_test

import (
	"fmt"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/owner"
)

func ExampleOwner() {
	o := owner.Owner{Self: "a", Service: "cash-office", Incarnation: 1}
	out := o.Tick(0, 0)
	e := owner.Epoch{Service: "cash-office", Number: 1, Roster: []string{"a"}, Settled: true, PermitTime: 3 * time.Second}
	entry := hornbeamcroft.Entry{Key: out.Store[0].Key, Value: e.Encode(), ModRevision: 1}
	o.HandleStore(time.Millisecond, owner.StoreResult{ID: out.Store[0].ID, Entry: entry})
	v := o.Decide(time.Second, 1_000, "k", 5_000)
	fmt.Println(v.Serve, v.BeforeTakeover, v.PermitEnd)
	// Output: true false 3s
}
