package replicapicker

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

// pick returns the names of the replicas of the node.
func pick(name string, members []hornbeamcroft.Member) map[string]bool {
	names := map[string]bool{}
	for _, m := range (ReplicaPicker{}).Pick(name, members) {
		names[m.Name] = true
	}
	return names
}

// TestReplicasOfNextProcess guards against replicas that the next process of a node, whose view of the members differs by one or in their order
// and states, does not hear.
func TestReplicasOfNextProcess(t *testing.T) {
	is := is.New(t)
	var members []hornbeamcroft.Member
	for i := range 40 {
		members = append(members, hornbeamcroft.Member{Name: fmt.Sprint("node-", i)})
	}
	for i := range members {
		name := members[i].Name
		before := pick(name, members)
		is.Equal(len(before), Replicas)
		is.True(!before[name])
		var later []hornbeamcroft.Member
		for j := range members {
			m := members[len(members)-1-j]
			m.State, m.Stopping = hornbeamcroft.MemberLeft, true
			if m.Name != members[(i+1)%len(members)].Name {
				later = append(later, m)
			}
		}
		common := 0
		for replica := range pick(name, later) {
			if before[replica] {
				common++
			}
		}
		is.True(common >= Replicas-1)
	}
	is.Equal(len(pick("node-0", members[:3])), 2)
	is.Equal(len(pick("node-0", nil)), 0)
}
