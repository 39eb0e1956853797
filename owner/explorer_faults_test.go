package owner_test

import (
	"slices"
	"time"

	"hornbeamcroft/owner"
)

// injectFault injects a random fault of 100 ms to 12 s and schedules the next one.
func (sim *simulation) injectFault() {
	n := sim.nodes[sim.rand.IntN(len(sim.nodes))]
	d := sim.randomDuration(100*time.Millisecond, 12*time.Second)
	switch sim.rand.IntN(12) {
	case 0:
		if n.alive {
			n.pause(d)
		}
	case 1, 2:
		sim.crashAndRestart(n, d)
	case 3:
		sim.logf("store: down for %s", d)
		sim.store.downUntil = max(sim.store.downUntil, sim.now+d)
	case 4:
		sim.logf("store: slow for %s", d)
		sim.store.slowUntil = max(sim.store.slowUntil, sim.now+d)
	case 5:
		sim.logf("store: loses answers for %s", d)
		sim.store.losesAnswersUntil = max(sim.store.losesAnswersUntil, sim.now+d)
	case 6, 7:
		sim.partition(d)
	case 8:
		sim.logf("%s: cut off from the store for %s", n.name, d)
		sim.cutLink(n.id, storeID, d)
	case 9:
		other := sim.nodes[sim.rand.IntN(len(sim.nodes))]
		sim.setLiveView(other, !sim.chance(0.6), sim.chance(0.5))
	case 10:
		if !n.alive {
			n.boot()
			sim.setLiveView(n, true, true)
		}
	case 11:
		sim.isolate(n, d)
	}
	sim.after(sim.randomDuration(0, sim.maxFaultInterval), sim.injectFault)
}

// changeMembers changes the nodes' views of one member, so that rosters change often because of joins, planned leaves
// and false suspicions, and schedules the next change.
func (sim *simulation) changeMembers() {
	m := sim.nodes[sim.rand.IntN(len(sim.nodes))]
	if !m.alive && sim.chance(0.3) {
		m.boot()
	}
	sim.setLiveView(m, sim.chance(0.5), sim.chance(0.7))
	sim.after(sim.randomDuration(0, sim.maxViewInterval), sim.changeMembers)
}

// setLiveView changes whether the nodes, all of them or each with probability 0.5, take a member for live. A member
// that does not run is never taken for live, and a node always takes itself for live.
func (sim *simulation) setLiveView(m *node, alive, allNodes bool) {
	sim.logf("members: %s alive=%v all-nodes=%v", m.name, alive, allNodes)
	for _, n := range sim.nodes {
		if n.alive && (allNodes || sim.chance(0.5)) {
			n.liveView[m.name] = alive && m.alive || n == m
		}
	}
}

// crashAndRestart stops a node and starts it again after d, or sometimes within 200 ms. The other nodes may notice
// neither.
func (sim *simulation) crashAndRestart(n *node, d time.Duration) {
	if !n.alive {
		return
	}
	n.crash()
	if sim.chance(0.5) {
		sim.after(sim.randomDuration(time.Second, 2*time.Second), func() { sim.setLiveView(n, n.alive, true) })
	}
	if sim.chance(0.3) {
		d = sim.randomDuration(0, 200*time.Millisecond)
	}
	sim.after(d, func() {
		if n.alive {
			return
		}
		sim.logf("%s: restarts", n.name)
		n.boot()
		if sim.chance(0.7) {
			sim.after(sim.randomDuration(0, time.Second), func() { sim.setLiveView(n, true, true) })
		}
	})
}

// partition splits the nodes into two sides for the duration d. The store is reachable from one side, or from both.
func (sim *simulation) partition(d time.Duration) {
	sides := make([]bool, len(sim.nodes))
	storeSide, storeOnBoth := sim.chance(0.5), sim.chance(0.3)
	for i := range sides {
		sides[i] = sim.chance(0.5)
	}
	sim.logf("network: sides %v for %s, store on side %v, on both=%v", sides, d, storeSide, storeOnBoth)
	for i := range sides {
		for j := range i {
			if sides[i] != sides[j] {
				sim.cutLink(i, j, d)
			}
		}
		if !storeOnBoth && sides[i] != storeSide {
			sim.cutLink(i, storeID, d)
		}
	}
	if sim.chance(0.7) { // each side takes the other for dead after 1 to 2 s
		sim.after(sim.randomDuration(time.Second, 2*time.Second), func() {
			for i, a := range sim.nodes {
				for j, b := range sim.nodes {
					if a.alive && sim.linkIsCut(a.id, b.id) && sides[i] != sides[j] {
						a.liveView[b.name] = false
					}
				}
			}
		})
		sim.after(d+sim.randomDuration(0, time.Second), func() {
			for _, n := range sim.nodes {
				sim.setLiveView(n, n.alive, true)
			}
		})
	}
}

// partitionTakeover partitions the network while the members acknowledge a new epoch. The writer and the store are on
// one side, the removed members on the other, and the rest on random sides. Up to three times, a single member then
// changes sides and may restart. Meanwhile new keys are sent through all nodes every 50 ms for 10 s.
func (sim *simulation) partitionTakeover(e owner.Epoch) {
	writer := sim.nodesByName[e.Writer]
	sides, removed := make([]bool, len(sim.nodes)), make([]bool, len(sim.nodes))
	for i, n := range sim.nodes {
		removed[i] = slices.Contains(e.Previous, n.name) && !slices.Contains(e.Roster, n.name)
		sides[i] = i != writer.id && (removed[i] || sim.chance(0.5))
	}
	healAfter := sim.randomDuration(5*time.Second, 15*time.Second)
	at := time.Duration(0)
	sim.setSides(sides, healAfter)
	for range sim.rand.IntN(4) {
		at += sim.randomDuration(0, 2500*time.Millisecond)
		sim.after(at, func() {
			m := sim.nodes[sim.rand.IntN(len(sim.nodes))]
			if m == writer || removed[m.id] {
				return
			}
			sides[m.id] = !sides[m.id]
			sim.setSides(sides, healAfter)
			if m.alive && sim.chance(0.6) {
				m.crash()
				sim.after(sim.randomDuration(0, 50*time.Millisecond), func() {
					if !m.alive {
						m.boot()
					}
				})
			}
		})
	}
	for d := time.Duration(0); d < 10*time.Second; d += 50 * time.Millisecond {
		sim.after(d, sim.sendThroughAllNodes)
	}
}

// startTakeover lets all other nodes take one member of the first roster for dead, and one of them propose the epoch
// without it.
func (sim *simulation) startTakeover() {
	removed, writer := sim.nodes[sim.rand.IntN(sim.rosterSize)], sim.nodes[sim.rand.IntN(len(sim.nodes))]
	if removed == writer {
		writer = sim.nodes[(removed.id+1)%len(sim.nodes)]
	}
	if !writer.alive {
		writer.boot()
	}
	for _, n := range sim.nodes {
		n.writesEpochs = n == writer
		if n.alive {
			n.liveView[removed.name] = n == removed
		}
	}
}

// setSides cuts the links between the two sides for the duration d and restores all others. The store is on the side
// with the value false.
func (sim *simulation) setSides(sides []bool, d time.Duration) {
	sim.logf("takeover: sides %v for %s", sides, d)
	for i := range sides {
		sim.linksCutUntil[[2]int{storeID, i}] = 0
		if sides[i] {
			sim.cutLink(i, storeID, d)
		}
		for j := range i {
			sim.linksCutUntil[[2]int{j, i}] = 0
			if sides[i] != sides[j] {
				sim.cutLink(i, j, d)
			}
		}
	}
}

// sendThroughAllNodes sends one new key through every node, each at a random time within 3 s.
func (sim *simulation) sendThroughAllNodes() {
	key, issued := sim.newKey(true)
	req := &request{key: key, issued: issued, at: sim.now}
	sim.requests = append(sim.requests, req)
	for _, n := range sim.nodes {
		sim.after(sim.randomDuration(0, 3*time.Second), func() { sim.sendThrough(req, n) })
	}
}

// isolate cuts the links of a node to all others for the duration d, and with probability 0.5 also its link to the
// store. With probability 0.5 the others take it for dead after 1 s.
func (sim *simulation) isolate(n *node, d time.Duration) {
	sim.logf("%s: cut off from the members for %s", n.name, d)
	for _, m := range sim.nodes {
		if m != n {
			sim.cutLink(n.id, m.id, d)
		}
	}
	if sim.chance(0.5) {
		sim.cutLink(n.id, storeID, d)
	}
	if sim.chance(0.5) {
		sim.after(time.Second, func() {
			for _, m := range sim.nodes {
				if m != n && m.alive {
					m.liveView[n.name] = false
				}
			}
		})
	}
}
