package attester

import (
	"time"

	"hornbeamcroft"
)

const (
	// localLinks and remoteLinks are the numbers of nodes in the zone of the node and in other zones to which it needs a link. Nodes
	// that pass on no requests have no links otherwise, and would all ask the store.
	localLinks  = 4
	remoteLinks = 2
	// linkInterval is the time between two checks of the links.
	linkInterval = 500 * time.Millisecond
)

// linking decides to which nodes further links are opened.
type linking struct {
	members  []hornbeamcroft.Member
	lastLink time.Duration
}

// Links returns the members to which links are to be opened, because there are too few. They are drawn at random, so that the links
// of all nodes connect them and another member is tried if one does not answer.
func (a *Attester) Links(now time.Duration, peers func() []Peer) []hornbeamcroft.Member {
	if !a.active || now-a.lastLink < linkInterval {
		return nil
	}
	a.lastLink = now
	linked := make(map[string]bool)
	local, remote := localLinks, remoteLinks
	for _, p := range peers() {
		linked[p.Name] = true
		if p.Zone == a.Zone {
			local--
		} else {
			remote--
		}
	}
	if local <= 0 && remote <= 0 {
		return nil
	}
	var others []Peer
	byName := make(map[string]hornbeamcroft.Member)
	for _, m := range a.members {
		if m.Name != a.Name && !linked[m.Name] && !m.Stopping {
			others = append(others, Peer{Name: m.Name, Zone: m.Zone})
			byName[m.Name] = m
		}
	}
	drawn := a.draw(others, local, remote)
	members := make([]hornbeamcroft.Member, len(drawn))
	for i, p := range drawn {
		members[i] = byName[p.Name]
	}
	return members
}
