package quarantiner_test

import (
	"fmt"
	"time"

	"hornbeamcroft/quarantiner"
)

// After a request has crashed its upstream, its next send is an isolated run. After the second crash it is refused.
func Example() {
	q, _ := quarantiner.New(0, quarantiner.Config{Node: "stock-1", Crashes: 2, RefuseTime: 10 * time.Minute})
	r := quarantiner.Request{ID: 1, Key: "k1", Fingerprint: 77}
	q.Crash(0, []quarantiner.Request{r})
	again := q.Arrive(time.Second, r)
	fmt.Println(again.Verdict == quarantiner.VerdictWait, again.Isolated)
	q.Crash(2*time.Second, []quarantiner.Request{r})
	fmt.Println(q.Arrive(3*time.Second, r).Verdict == quarantiner.VerdictRefuse)
	// Output:
	// true [1]
	// true
}
