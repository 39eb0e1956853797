// Package inquirer decides whether a node that has started has heard enough from its peers to run requests. What its earlier process
// acknowledged or learned may be known to them only: that the upstream has left, and which requests crash it.
package inquirer

import (
	"slices"
	"time"
)

const (
	// sufficientPeers is the number of peers that a node needs to hear, or all of them if there are fewer, so that one that has not heard
	// which requests crash upstreams does not decide.
	sufficientPeers = 3
	// linkedLimit is how long a node waits for further peers once a link is open and a configuration in force.
	linkedLimit = time.Second
	// unlinkedLimit is how long a node waits once a configuration is in force, whether there are peers or not. It is
	// not counted from the start: without the store, both the configuration and the peers come much later, and close together.
	unlinkedLimit = 2 * time.Second
	// maxAsked is the number of peers to which links are opened at a time, and askInterval the time until further ones
	// are tried, and the replicas that were not heard once more. Opening a link to a distant zone takes several round trips.
	maxAsked    = 4
	askInterval = 300 * time.Millisecond
)

// Inquirer tracks from which peers the node has heard since its start. It is not safe for concurrent use.
type Inquirer struct {
	heard map[string]bool
	// replicas are the nodes that may hold what an earlier process acknowledged; nil until they are known.
	replicas []string
	// announced is true once the upstream has sent a heartbeat to this process that does not say that it leaves.
	announced bool
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

// SetReplicas sets the nodes that hold what an earlier process of this node acknowledged, which are chosen from the known members.
func (i *Inquirer) SetReplicas(names []string) { i.replicas = names }

// Replicas returns how many replicas were heard, and how many there are.
func (i *Inquirer) Replicas() (heard, all int) {
	for _, name := range i.replicas {
		if i.heard[name] {
			heard++
		}
	}
	return heard, len(i.replicas)
}

// Announced records that the upstream has sent a heartbeat to this process that does not say that it leaves.
func (i *Inquirer) Announced() { i.announced = true }

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

// Done reports whether the node may run requests. It remains so. Peers suffice only if more than half of the replicas are among them: others
// may never have heard of what the earlier process acknowledged. A node that does not reach the replicas needs a heartbeat of its upstream, which
// sends none once it has left; only one that was delayed since before then misleads it.
func (i *Inquirer) Done(now time.Duration) bool {
	switch {
	case i.done:
	case i.heardPeers() && i.heardReplicas():
		i.done = true
	case i.announced && i.Waited(now):
		i.done = true
	}
	return i.done
}

// heardPeers reports whether enough peers were heard.
func (i *Inquirer) heardPeers() bool {
	return i.listed && len(i.heard) >= min(i.peers, sufficientPeers) || len(i.heard) >= sufficientPeers
}

// heardReplicas reports whether more than half of the replicas were heard.
func (i *Inquirer) heardReplicas() bool {
	heard, all := i.Replicas()
	return all > 0 && 2*heard > all
}

// Waited reports whether the node has waited for peers for as long as calls may wait with it.
func (i *Inquirer) Waited(now time.Duration) bool {
	if !i.configured {
		return false
	}
	return i.linked && now-max(i.configuredAt, i.linkedAt) >= linkedLimit || now-i.configuredAt >= unlinkedLimit
}

// Ask returns those of the named nodes to which a link should be opened now: the replicas, again and again until they are heard, and then the
// others, once each.
func (i *Inquirer) Ask(now time.Duration, names []string) []string {
	if i.done {
		return nil
	}
	due := len(i.asked) == 0 || now-i.askedAt >= askInterval
	var ask []string
	for _, name := range i.replicas {
		if (due || !i.asked[name]) && !i.heard[name] {
			ask = append(ask, name)
		}
	}
	for _, name := range names {
		if due && len(ask) < maxAsked && !i.asked[name] && !i.heard[name] && !slices.Contains(ask, name) {
			ask = append(ask, name)
		}
	}
	if i.asked == nil {
		i.asked = make(map[string]bool)
	}
	for _, name := range ask {
		i.asked[name], i.askedAt = true, now
	}
	return ask
}
