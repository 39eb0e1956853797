package agent

import (
	"context"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/replicapicker"
)

// replicaDialTimeout bounds the time for opening links to replicas. It leaves most of holdTimeout for what they have to confirm.
const replicaDialTimeout = 300 * time.Millisecond

// linkReplicas opens links to the nodes that have to hold what this node acknowledges, as far as there are none, and returns the names of those
// that are linked then. Each learns the record of this node when its link opens.
func (a *Agent) linkReplicas(ctx context.Context) []string {
	a.membersMu.Lock()
	members := a.locator.Members()
	a.membersMu.Unlock()
	replicas := replicapicker.ReplicaPicker{}.Pick(a.Settings.Agent.Name, members)
	ctx, cancel := context.WithTimeout(ctx, replicaDialTimeout)
	defer cancel()
	var dials sync.WaitGroup
	for _, m := range replicas {
		if a.links.LinkTo(m.Name) == nil {
			dials.Go(func() { a.linkReplica(ctx, m) })
		}
	}
	dials.Wait()
	var linked []string
	for _, m := range replicas {
		if a.links.LinkTo(m.Name) != nil {
			linked = append(linked, m.Name)
		}
	}
	return linked
}

// linkReplica opens a link to a replica.
func (a *Agent) linkReplica(ctx context.Context, m hornbeamcroft.Member) {
	if _, err := a.links.Link(ctx, m.Address); err != nil {
		a.Log.Info().Str("replica", m.Name).Err(err).Msg("observer: replica of a leaving not reached")
	}
}
