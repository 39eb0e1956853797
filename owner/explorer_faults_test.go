package owner_test

import (
	"slices"
	"time"

	"hornbeamcroft/owner"
)

// disturb injects a random fault and plans the next.
func (w *world) disturb() {
	n := w.nodes[w.r.IntN(len(w.nodes))]
	d := w.between(100*time.Millisecond, 12*time.Second)
	switch w.r.IntN(12) {
	case 0:
		if n.alive {
			n.pause(d)
		}
	case 1, 2:
		w.crashAndRestart(n, d)
	case 3:
		w.logf("store: down for %s", d)
		w.store.downUntil = max(w.store.downUntil, w.now+d)
	case 4:
		w.logf("store: slow for %s", d)
		w.store.slowUntil = max(w.store.slowUntil, w.now+d)
	case 5:
		w.logf("store: loses answers for %s", d)
		w.store.losesUntil = max(w.store.losesUntil, w.now+d)
	case 6, 7:
		w.partition(d)
	case 8:
		w.logf("%s: cut off from the store for %s", n.name, d)
		w.cutFor(n.id, storeID, d)
	case 9:
		other := w.nodes[w.r.IntN(len(w.nodes))]
		w.believe(other, !w.chance(0.6), w.chance(0.5))
	case 10:
		if !n.alive {
			n.boot()
			w.believe(n, true, true)
		}
	case 11:
		w.isolate(n, d)
	}
	w.after(w.between(0, w.calm), w.disturb)
}

// churn changes the views of the members, so that rosters change often: joins, planned leaves, false suspicions.
func (w *world) churn() {
	m := w.nodes[w.r.IntN(len(w.nodes))]
	if !m.alive && w.chance(0.3) {
		m.boot()
	}
	w.believe(m, w.chance(0.5), w.chance(0.7))
	w.after(w.between(0, w.change), w.churn)
}

// believe changes the view of some or all nodes about one member, right or wrong.
func (w *world) believe(m *node, lives, all bool) {
	w.logf("members: %s lives=%v all=%v", m.name, lives, all)
	for _, n := range w.nodes {
		if n.alive && (all || w.chance(0.5)) {
			n.believed[m.name] = lives && m.alive || n == m
		}
	}
}

func (w *world) crashAndRestart(n *node, d time.Duration) {
	if !n.alive {
		return
	}
	n.crash()
	if w.chance(0.5) {
		w.after(w.between(time.Second, 2*time.Second), func() { w.believe(n, n.alive, true) })
	}
	if w.chance(0.3) {
		d = w.between(0, 200*time.Millisecond)
	}
	w.after(d, func() {
		if n.alive {
			return
		}
		w.logf("%s: restarts", n.name)
		n.boot()
		if w.chance(0.7) {
			w.after(w.between(0, time.Second), func() { w.believe(n, true, true) })
		}
	})
}

// partition cuts the nodes into two sides; the store is on one of them, or on both.
func (w *world) partition(d time.Duration) {
	sides := make([]bool, len(w.nodes))
	storeSide, storeBoth := w.chance(0.5), w.chance(0.3)
	for i := range sides {
		sides[i] = w.chance(0.5)
	}
	w.logf("network: sides %v for %s, store on %v, both=%v", sides, d, storeSide, storeBoth)
	for i := range sides {
		for j := range i {
			if sides[i] != sides[j] {
				w.cutFor(i, j, d)
			}
		}
		if !storeBoth && sides[i] != storeSide {
			w.cutFor(i, storeID, d)
		}
	}
	if w.chance(0.7) { // each side takes the other for dead after a while
		w.after(w.between(time.Second, 2*time.Second), func() {
			for i, a := range w.nodes {
				for j, b := range w.nodes {
					if a.alive && w.cut(a.id, b.id) && sides[i] != sides[j] {
						a.believed[b.name] = false
					}
				}
			}
		})
		w.after(d+w.between(0, time.Second), func() {
			for _, n := range w.nodes {
				w.believe(n, n.alive, true)
			}
		})
	}
}

// strike hits the members while they acknowledge a new epoch: the network falls into two sides, the writer and the
// store on one of them; then single members change sides, some of them restarting on the way.
func (w *world) strike(e owner.Epoch) {
	writer := w.byName[e.Writer]
	sides, removed := make([]bool, len(w.nodes)), make([]bool, len(w.nodes))
	for i, n := range w.nodes {
		removed[i] = slices.Contains(e.Previous, n.name) && !slices.Contains(e.Roster, n.name)
		sides[i] = i != writer.id && (removed[i] || w.chance(0.5))
	}
	last := w.between(5*time.Second, 15*time.Second)
	at := time.Duration(0)
	w.split(sides, last)
	for range w.r.IntN(4) {
		at += w.between(0, 2500*time.Millisecond)
		w.after(at, func() {
			m := w.nodes[w.r.IntN(len(w.nodes))]
			if m == writer || removed[m.id] {
				return
			}
			sides[m.id] = !sides[m.id]
			w.split(sides, last)
			if m.alive && w.chance(0.6) {
				m.crash()
				w.after(w.between(0, 50*time.Millisecond), func() {
					if !m.alive {
						m.boot()
					}
				})
			}
		})
	}
	for d := time.Duration(0); d < 10*time.Second; d += 50 * time.Millisecond {
		w.after(d, w.hammer)
	}
}

// takeFrom lets all nodes but the one take it for dead, and one of them write the epoch without it.
func (w *world) takeFrom() {
	lost, writer := w.nodes[w.r.IntN(w.roster)], w.nodes[w.r.IntN(len(w.nodes))]
	if lost == writer {
		writer = w.nodes[(lost.id+1)%len(w.nodes)]
	}
	if !writer.alive {
		writer.boot()
	}
	for _, n := range w.nodes {
		n.drives = n == writer
		if n.alive {
			n.believed[lost.name] = n == lost
		}
	}
}

// split cuts the links between the two sides and heals all others. The store is on the side of false.
func (w *world) split(sides []bool, d time.Duration) {
	w.logf("strike: sides %v for %s", sides, d)
	for i := range sides {
		w.cuts[[2]int{storeID, i}] = 0
		if sides[i] {
			w.cutFor(i, storeID, d)
		}
		for j := range i {
			w.cuts[[2]int{j, i}] = 0
			if sides[i] != sides[j] {
				w.cutFor(i, j, d)
			}
		}
	}
}

// hammer sends one new key through every node, at different times.
func (w *world) hammer() {
	key, issued := w.newKey(true)
	req := &request{key: key, issued: issued, at: w.now}
	w.requests = append(w.requests, req)
	for _, n := range w.nodes {
		w.after(w.between(0, 3*time.Second), func() { w.attemptVia(req, n) })
	}
}

// isolate cuts a node off from all others, with or without the store.
func (w *world) isolate(n *node, d time.Duration) {
	w.logf("%s: cut off from the members for %s", n.name, d)
	for _, m := range w.nodes {
		if m != n {
			w.cutFor(n.id, m.id, d)
		}
	}
	if w.chance(0.5) {
		w.cutFor(n.id, storeID, d)
	}
	if w.chance(0.5) {
		w.after(time.Second, func() {
			for _, m := range w.nodes {
				if m != n && m.alive {
					m.believed[n.name] = false
				}
			}
		})
	}
}
