package courier

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
	"hornbeamcroft/placer"
)

const (
	// targetLinks is the number of hosts of a service to which a node keeps links. With links to all hosts, the number
	// of links would grow with the square of the number of hosts; with this many, a host without capacity can still be
	// avoided.
	targetLinks = 16
	// targetLocalLinks is the part of targetLinks that leads to hosts in the zone of the node, if the zone has so many.
	targetLocalLinks = targetLinks / 2
)

// updatePlacer passes the members of the service and the state of their links to the placer, and returns the members to
// dial. The caller must hold c.mu.
func (c *Courier) updatePlacer(service string, p *placer.Placer) []hornbeamcroft.Member {
	members := c.byService[service]
	p.Update(members)
	var local, remote []hornbeamcroft.Member
	missingLocal, missing := targetLocalLinks, targetLinks
	for _, m := range members {
		linked := m.Name == c.Name || c.Linked(m.Name)
		p.SetLinked(m.Name, linked)
		switch {
		case m.State != hornbeamcroft.MemberServing:
		case linked && m.Zone == c.Zone:
			missingLocal, missing = missingLocal-1, missing-1
		case linked:
			missing--
		case m.Zone == c.Zone:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	selected := c.selectMembers(local, missingLocal)
	return append(selected, c.selectMembers(remote, missing-len(selected))...)
}

// selectMembers returns up to n of the members. It orders them by a hash that includes the name of this node, so that
// nodes select different hosts.
func (c *Courier) selectMembers(members []hornbeamcroft.Member, n int) []hornbeamcroft.Member {
	slices.SortFunc(members, func(a, b hornbeamcroft.Member) int {
		return cmp.Compare(xxhash.Sum64String(c.Name+" "+a.Name), xxhash.Sum64String(c.Name+" "+b.Name))
	})
	return members[:max(0, min(n, len(members)))]
}

// Placements returns, by service, how the calls of this node were placed.
func (c *Courier) Placements() map[string]placer.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	placements := make(map[string]placer.Stats, len(c.placers))
	for service, p := range c.placers {
		placements[service] = p.Stats(c.Clock.Now())
	}
	return placements
}
