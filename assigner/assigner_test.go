package assigner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// TestHome guards against tenants whose home changes although it is still a member, a home that stops or has left, and homes that
// are spread unevenly.
func TestHome(t *testing.T) {
	is := is.New(t)
	const nodes, tenants = 89, 2000
	var members []hornbeamcroft.Member
	for i := range nodes {
		members = append(members, hornbeamcroft.Member{Name: fmt.Sprintf("node-%d", i), State: hornbeamcroft.MemberServing})
	}
	stopped := append([]hornbeamcroft.Member(nil), members...)
	stopped[3].Stopping, stopped[50].State = true, hornbeamcroft.MemberLeft
	count := map[string]int{}
	for i := range tenants {
		tenant := fmt.Sprintf("tenant-%d", i)
		home, next := Assigner{}.Home(tenant, members)
		count[home]++
		is.True(home != next && next != "")
		after, _ := Assigner{}.Home(tenant, stopped)
		is.True(after != "node-3" && after != "node-50")
		if home != "node-3" && home != "node-50" {
			is.Equal(after, home)
		} else if next != "node-3" && next != "node-50" {
			is.Equal(after, next) // the member next in line takes over
		}
	}
	for _, n := range count {
		is.True(n < 3*tenants/nodes)
	}
	home, next := Assigner{}.Home("tenant-1", nil)
	is.Equal(home+next, "")
}
