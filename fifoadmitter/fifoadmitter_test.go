package fifoadmitter

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestIsolation guards against a FIFOAdmitter that admits other tickets beside an isolated run, or none after it.
func TestIsolation(t *testing.T) {
	is := is.New(t)
	f := FIFOAdmitter{Slots: 2}
	is.Equal(len(f.Arrive(0, hornbeamcroft.Ticket{ID: 1})), 1)
	is.Equal(len(f.Arrive(0, hornbeamcroft.Ticket{ID: 2, Isolated: true})), 0)
	is.Equal(len(f.Arrive(0, hornbeamcroft.Ticket{ID: 3})), 0)
	is.Equal(f.Finish(0, 1, hornbeamcroft.Sample{})[0].ID, uint64(2))
	is.Equal(f.Finish(0, 2, hornbeamcroft.Sample{})[0].ID, uint64(3))
}

func ExampleFIFOAdmitter() {
	f := FIFOAdmitter{Slots: 1, MaxQueue: 1}
	for id := range uint64(3) {
		fmt.Println(f.Arrive(0, hornbeamcroft.Ticket{ID: id}))
	}
	fmt.Println(f.Finish(0, 0, hornbeamcroft.Sample{}))
	// Output:
	// [{0 true 0 undefined 0s}]
	// []
	// [{2 false 200 overloaded 0s}]
	// [{1 true 0 undefined 0s}]
}
