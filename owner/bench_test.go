package owner

import (
	"fmt"
	"testing"
)

// BenchmarkHome measures finding the home of one key in a roster of 22 members, the average size that is planned for.
func BenchmarkHome(b *testing.B) {
	var names []string
	for i := range 22 {
		names = append(names, fmt.Sprintf("order-desk-%d", i))
	}
	r := newRoster(names)
	b.ReportAllocs()
	for range b.N {
		r.home("018bcfe5-8b37-7000-bdd2-94ae1767f8eb")
	}
}
