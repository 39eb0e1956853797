package agent

import (
	"maps"
	"slices"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/inquirer"
	"hornbeamcroft/replicapicker"
)

// inquiry holds the calls of a node that has started until it has heard from peers what its earlier process knew.
type inquiry struct {
	mu       sync.Mutex
	inquirer inquirer.Inquirer
	// storeLost is true if the store has been unreachable since the start.
	storeLost bool
	// others is the number of other nodes in the last list of the store, if listed is set.
	others int
	listed bool
	// members are the members in lists of the store and in what peers have sent with the configuration, by name.
	members map[string]hornbeamcroft.Member
	// done is closed when calls may run, and nil from then on. waited is closed when they are not to wait for it any longer, and nil from
	// then on.
	done, waited chan struct{}
}

// startInquiry lets calls at the local upstream wait until peers have told what they know.
func (a *Agent) startInquiry() {
	a.inquiry.done, a.inquiry.waited = make(chan struct{}), make(chan struct{})
	a.runner.Ready, a.runner.Unready = a.inquiry.done, a.inquiry.waited
}

// pending reports whether calls still wait.
func (q *inquiry) pending() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.done != nil
}

// updateInquiry applies a change to the inquirer and lets calls run once it is done. Later changes are not applied.
func (a *Agent) updateInquiry(change func(i *inquirer.Inquirer, now time.Duration)) {
	q := &a.inquiry
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.done == nil {
		return
	}
	now := a.clock.Now()
	change(&q.inquirer, now)
	if !q.inquirer.Done(now) {
		a.endWait(now)
		return
	}
	close(q.done)
	q.done = nil
	if q.waited == nil {
		go a.broadcastNodeState() // peers have heard that the node takes no calls
	}
	heard, replicas := q.inquirer.Replicas()
	a.Log.Info().Int("peers", q.inquirer.Count()).Int("replicas-heard", heard).Int("replicas", replicas).
		Bool("leavings-read", a.leavingsRead.Load()).Msg("agent: peers heard, calls run")
}

// endWait refuses calls from now on until they may run, if they have waited for long enough. The caller must hold the lock of the inquiry.
func (a *Agent) endWait(now time.Duration) {
	q := &a.inquiry
	if q.waited == nil || !q.inquirer.Waited(now) {
		return
	}
	close(q.waited)
	q.waited = nil
	heard, replicas := q.inquirer.Replicas()
	a.Log.Warn().Int("peers", q.inquirer.Count()).Int("replicas-heard", heard).Int("replicas", replicas).
		Msg("agent: peers not heard, calls wait for a heartbeat")
}

// onListed tells the inquirer how many other nodes a list of the store shows.
func (a *Agent) onListed(members []hornbeamcroft.Member) {
	others := 0
	for _, m := range members {
		if m.Name != a.Settings.Agent.Name {
			others++
		}
	}
	a.updateInquiry(func(i *inquirer.Inquirer, _ time.Duration) {
		a.inquiry.others, a.inquiry.listed = others, true
		a.tellListed(i)
	})
	a.learnMembers(members)
}

// learnMembers tells the inquirer which replicas follow from further members, and opens links to them.
func (a *Agent) learnMembers(members []hornbeamcroft.Member) {
	if !a.inquiry.pending() {
		return
	}
	a.updateInquiry(func(i *inquirer.Inquirer, _ time.Duration) {
		known := a.inquiry.members
		if known == nil {
			known = make(map[string]hornbeamcroft.Member, len(members))
			a.inquiry.members = known
		}
		for _, m := range members {
			known[m.Name] = m
		}
		var names []string
		for _, m := range (replicapicker.ReplicaPicker{}).Pick(a.Settings.Agent.Name, slices.Collect(maps.Values(known))) {
			names = append(names, m.Name)
		}
		i.SetReplicas(names)
	})
	a.tickInquiry()
}

// relist tells the inquirer of the last list again, after the leavings were read.
func (a *Agent) relist() {
	a.updateInquiry(func(i *inquirer.Inquirer, _ time.Duration) {
		if a.inquiry.listed {
			a.tellListed(i)
		}
	})
}

// tellListed tells the inquirer of the last list. The list of the records may be a second old, so that the store has not told all before the
// leavings were read as well. The caller must hold the lock of the inquiry.
func (a *Agent) tellListed(i *inquirer.Inquirer) {
	i.Listed(a.inquiry.others, a.inquiry.storeLost || !a.leavingsRead.Load())
}

// tickInquiry opens links to peers while further ones are needed: to the replicas, and then to those that follow this node in the order of the
// names, so that nodes that start together ask different peers.
func (a *Agent) tickInquiry() {
	if !a.inquiry.pending() {
		return
	}
	rank, _ := a.rank()
	a.membersMu.Lock()
	members := a.locator.Members()
	a.membersMu.Unlock()
	byName := make(map[string]hornbeamcroft.Member, len(members))
	var names []string
	for i := range members {
		m := members[(rank+i)%len(members)]
		byName[m.Name] = m
		if m.Name != a.Settings.Agent.Name {
			names = append(names, m.Name)
		}
	}
	var ask []hornbeamcroft.Member
	a.updateInquiry(func(i *inquirer.Inquirer, now time.Duration) {
		for _, name := range i.Ask(now, names) {
			m, located := byName[name]
			if !located {
				m = a.inquiry.members[name]
			}
			ask = append(ask, m)
		}
	})
	for _, m := range ask {
		if a.links.LinkTo(m.Name) == nil {
			a.dial(m)
		}
	}
}
