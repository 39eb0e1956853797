package deduper_test

import (
	"fmt"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
)

func ExampleDeduper() {
	d := deduper.Deduper{}
	a := deduper.Arrival{Key: "order-17", ReceivedAt: 1_000, Serve: true}
	fmt.Println(d.Arrive(0, 1_000, a).Action == deduper.ActionRun)
	d.Finish(time.Second, 2_000, "order-17", hornbeamcroft.Answer{Code: hornbeamcroft.CodeAnswered, Status: 201}, true)
	fmt.Println(d.Arrive(2*time.Second, 3_000, a).Answer.Code)
	// Output:
	// true
	// 101 answered-from-record
}
