package rotator

import (
	"fmt"

	"hornbeamcroft"
)

func ExampleRotator() {
	var b Rotator
	b.Update(0, []hornbeamcroft.Member{
		{Name: "stock-1", State: hornbeamcroft.MemberServing},
		{Name: "stock-2", State: hornbeamcroft.MemberDraining},
		{Name: "stock-3", State: hornbeamcroft.MemberServing},
	})
	for range 3 {
		name, ok := b.Pick(0, nil, nil)
		fmt.Println(name, ok)
	}
	// Output:
	// stock-1 true
	// stock-3 true
	// stock-1 true
}
