// Package inquirer decides whether a node that has started has heard enough from its peers to run requests. What its earlier process
// acknowledged or learned may be known to them only: that the upstream has left, and which requests crash it.
package inquirer

import "time"

const (
	// sufficientPeers is the number of peers that a node needs to hear, or all of them if there are fewer. A leaving is
	// acknowledged when more than half of the linked nodes hold it, so that one peer may not have heard of it.
	sufficientPeers = 3
	// linkedLimit is how long a node waits for further peers once a link is open and a configuration in force.
	linkedLimit = time.Second
	// unlinkedLimit is how long a node waits once a configuration is in force, whether there are peers or not. It is
	// not counted from the start: without the store, both the configuration and the peers come much later, and close together.
	unlinkedLimit = 2 * time.Second
	// maxAsked is the number of peers to which links are opened at a time, and askInterval the time until further ones
	// are tried. Opening a link to a distant zone takes several round trips.
	maxAsked    = 4
	askInterval = 300 * time.Millisecond
)

// Inquirer tracks from which peers the node has heard since its start. It is not safe for concurrent use.
type Inquirer struct {
	heard map[string]bool
	// asked holds the peers to which a link was to be opened, the last ones at the time askedAt.
	asked   map[string]bool
	askedAt time.Duration
	// peers is the number of other nodes in the last list of the store; it counts only if listed is set.
	peers  int
	listed bool
	// configuredAt and linkedAt are the times at which the first configuration came into force and the first link opened.
	configuredAt, linkedAt time.Duration
	configured, linked     bool
	done                   bool
}

// Heard records that a peer has sent what it knows, after it had read what the store holds.
func (i *Inquirer) Heard(peer string) {
	if i.heard == nil {
		i.heard = make(map[string]bool)
	}
	i.heard[peer] = true
}

// Count returns the number of peers that were heard.
func (i *Inquirer) Count() int { return len(i.heard) }

// Linked records that a link was opened.
func (i *Inquirer) Linked(now time.Duration) {
	if !i.linked {
		i.linked, i.linkedAt = true, now
	}
}

// Configured records that a configuration is in force.
func (i *Inquirer) Configured(now time.Duration) {
	if !i.configured {
		i.configured, i.configuredAt = true, now
	}
}

// Listed records the number of other nodes that the store lists. If the store has told all that the earlier process left there, there is
// nothing to wait for: a new host would lose the calls that it delays. If it was unreachable since the start or has not told all yet
// (incomplete), records may have expired, so that a list without other nodes does not show that there are none.
func (i *Inquirer) Listed(peers int, incomplete bool) {
	i.listed = peers > 0 || !incomplete
	i.peers = peers
	i.done = i.done || !incomplete
}

// Done reports whether the node may run requests. It remains so.
func (i *Inquirer) Done(now time.Duration) bool {
	switch {
	case i.done:
	case i.listed && len(i.heard) >= min(i.peers, sufficientPeers), len(i.heard) >= sufficientPeers:
		i.done = true
	case i.configured && i.linked && now-max(i.configuredAt, i.linkedAt) >= linkedLimit, i.configured && now-i.configuredAt >= unlinkedLimit:
		i.done = true
	}
	return i.done
}

// Ask returns those of the named nodes to which a link should be opened now. It names each node once.
func (i *Inquirer) Ask(now time.Duration, names []string) []string {
	if i.done || len(i.asked) > 0 && now-i.askedAt < askInterval {
		return nil
	}
	if i.asked == nil {
		i.asked = make(map[string]bool)
	}
	var ask []string
	for _, name := range names {
		if len(ask) < maxAsked && !i.asked[name] && !i.heard[name] {
			i.asked[name], i.askedAt = true, now
			ask = append(ask, name)
		}
	}
	return ask
}
