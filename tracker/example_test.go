package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/tracker"
)

// A node requests the roster from a peer and learns which members it can send work to.
func Example() {
	member := func(name, addr string) hornbeamcroft.Member {
		return hornbeamcroft.Member{
			Name: name, Service: "order-desk", Zone: "vannes", Address: addr, Incarnation: 1,
			State: hornbeamcroft.MemberServing,
		}
	}
	a, _ := tracker.New(0, tracker.Config{Self: member("order-desk-1", "127.0.0.1:7101")})
	b, _ := tracker.New(0, tracker.Config{
		Self: member("order-desk-2", "127.0.0.1:7102"), Peers: []string{"127.0.0.1:7101"},
	})
	r := rand.New(rand.NewPCG(1, 1))
	now := tracker.TickInterval
	for _, o := range b.Tick(now, r) { // sends a StepJoin
		for _, reply := range a.Receive(now, "order-desk-2", o.Message) {
			b.Receive(now+time.Millisecond, "order-desk-1", reply.Message)
		}
	}
	for _, v := range b.Members() {
		fmt.Println(v.Name, v.Routable())
	}
	// Output:
	// order-desk-1 true
	// order-desk-2 true
}
