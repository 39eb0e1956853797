package courier

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
	"hornbeamcroft/placer"
)

const (
	// linksWanted is the number of hosts of a service to which a node keeps links. With links to all hosts their number
	// would grow with the square of the hosts; among this many, one without room can be avoided.
	linksWanted = 16
	// localLinks of them are in the own zone, if it has so many.
	localLinks = linksWanted / 2
)

// refresh passes the members to a placer and returns those to which links are wanted. The lock is held.
func (c *Courier) refresh(service string, p *placer.Placer) []hornbeamcroft.Member {
	members := c.byService[service]
	p.Update(members)
	var local, remote []hornbeamcroft.Member
	wantedLocal, wanted := localLinks, linksWanted
	for _, m := range members {
		linked := m.Name == c.Name || c.Linked(m.Name)
		p.Link(m.Name, linked)
		switch {
		case m.State != hornbeamcroft.MemberServing:
		case linked && m.Zone == c.Zone:
			wantedLocal, wanted = wantedLocal-1, wanted-1
		case linked:
			wanted--
		case m.Zone == c.Zone:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	chosen := c.choose(local, wantedLocal)
	return append(chosen, c.choose(remote, wanted-len(chosen))...)
}

// choose returns up to n of the members. Nodes choose differently, so that not all have links to the same hosts.
func (c *Courier) choose(members []hornbeamcroft.Member, n int) []hornbeamcroft.Member {
	slices.SortFunc(members, func(a, b hornbeamcroft.Member) int {
		return cmp.Compare(xxhash.Sum64String(c.Name+" "+a.Name), xxhash.Sum64String(c.Name+" "+b.Name))
	})
	return members[:max(0, min(n, len(members)))]
}
