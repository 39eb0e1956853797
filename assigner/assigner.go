// Package assigner chooses the node that lends the permits of a tenant's quota.
package assigner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
)

// Assigner chooses the home of each tenant by rendezvous hashing, so that a member that joins or leaves moves only the tenants that
// it wins or loses. All nodes with the same members choose the same home.
type Assigner struct{}

// Home returns the name of the tenant's home, and of the member that is next in line. Members that stop or have left are not
// eligible. A name is empty if there is no such member.
func (Assigner) Home(tenant string, members []hornbeamcroft.Member) (home, next string) {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(tenant))
	var best, second uint64
	for _, m := range members {
		if !Eligible(m) {
			continue
		}
		binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(m.Name))
		switch score := xxhash.Sum64(buf[:]); {
		case home == "" || score > best:
			second, next = best, home
			best, home = score, m.Name
		case next == "" || score > second:
			second, next = score, m.Name
		}
	}
	return home, next
}

// Eligible reports whether a member may be the home of tenants.
func Eligible(m hornbeamcroft.Member) bool {
	return !m.Stopping && m.State != hornbeamcroft.MemberLeft && m.State != hornbeamcroft.MemberDead
}
