package drainer_test

import (
	"fmt"
	"time"

	"hornbeamcroft/drainer"
)

// A node with one running call refuses new calls, waits for the running one, hands over its key records and leaves
// after the linger.
func Example() {
	d, _ := drainer.New(drainer.Config{Linger: time.Second, Deadline: time.Minute, HandoverTimeout: time.Second})
	d.Begin(drainer.KindLink)
	fmt.Println(d.Start(0), d.Begin(drainer.KindLink))
	d.End(drainer.KindLink)
	fmt.Println(d.Tick(500 * time.Millisecond))
	d.HandedOver()
	fmt.Println(d.Tick(time.Second))
	// Output:
	// [announce start-epoch] false
	// [hand-over]
	// [leave]
}
