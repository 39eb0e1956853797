package agent

import (
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/inquirer"
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
	// done is closed when calls may run, and nil from then on.
	done chan struct{}
}

// startInquiry lets calls at the local upstream wait until peers have told what they know.
func (a *Agent) startInquiry() {
	a.inquiry.done = make(chan struct{})
	a.runner.Ready = a.inquiry.done
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
		return
	}
	close(q.done)
	q.done = nil
	a.Log.Info().Int("peers", q.inquirer.Count()).Msg("agent: peers heard, calls run")
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

// tickInquiry opens links to peers while further ones are needed. It begins with those that follow this node in the order of the
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
	var ask []string
	a.updateInquiry(func(i *inquirer.Inquirer, now time.Duration) { ask = i.Ask(now, names) })
	for _, name := range ask {
		if a.links.LinkTo(name) == nil {
			a.dial(byName[name])
		}
	}
}
