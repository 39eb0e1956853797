// Package replicapicker chooses the nodes that hold what a node has acknowledged of its upstream. The choice depends on names only, so that the
// next process of the node, and its peers, make the same one.
package replicapicker

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
)

// Replicas is the number of nodes that are chosen, or all others if there are fewer. More than half of them must hold a leaving, and more than
// half must be heard after a restart, so that at least one of those heard holds it.
const Replicas = 5

// ReplicaPicker chooses by rendezvous hashing: a member that joins or is gone changes the choice of one replica at most.
type ReplicaPicker struct{}

// scored is a member with the hash that ranks it for one node.
type scored struct {
	member hornbeamcroft.Member
	score  uint64
}

// Pick returns the replicas of the named node among the members, in no particular order. The node itself is not one of them.
func (ReplicaPicker) Pick(name string, members []hornbeamcroft.Member) []hornbeamcroft.Member {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(name))
	list := make([]scored, 0, len(members))
	for _, m := range members {
		if m.Name == name {
			continue
		}
		binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(m.Name))
		list = append(list, scored{member: m, score: xxhash.Sum64(buf[:])})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	replicas := make([]hornbeamcroft.Member, 0, Replicas)
	for _, s := range list[:min(len(list), Replicas)] {
		replicas = append(replicas, s.member)
	}
	return replicas
}
