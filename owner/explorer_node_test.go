package owner_test

import (
	"hash/maphash"
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
	"hornbeamcroft/owner"
)

var stateSeed = maphash.MakeSeed()

// node is one process with its host's clocks.
type node struct {
	w           *world
	id          int
	name        string
	member      bool // starts in the first roster
	alive       bool
	incarnation uint64
	pausedUntil time.Duration
	rate        float64
	offset      time.Duration
	wallOffset  int64

	owner   *owner.Owner
	deduper *deduper.Deduper
	calls   *deduper.Calls
	waiting map[string][]*call // calls that wait for the outcome of a key
	nextID  uint64
	// believed is the view of the members that live, which may be wrong.
	believed map[string]bool
	drives   bool                // in a focused run: this node writes the epochs
	read     hornbeamcroft.Entry // the latest own read, for members that ask for it
	readAt   time.Duration
}

// mono is the host's monotonic clock.
func (n *node) mono() time.Duration {
	return n.offset + time.Duration(float64(n.w.now)*n.rate)
}

// wall is the host's wall clock in Unix milliseconds.
func (n *node) wall() int64 { return wallStart + n.w.now.Milliseconds() + n.wallOffset }

// boot starts the process with empty memory.
func (n *node) boot() {
	n.alive, n.pausedUntil, n.read = true, 0, hornbeamcroft.Entry{}
	n.incarnation++
	n.owner = &owner.Owner{
		Self: n.name, Service: service, Incarnation: n.incarnation, PermitTime: permitTime, ClockSkew: n.w.skew,
		KeyWindow: n.w.window,
	}
	if relax := owner.Rules[n.w.rule]; relax != nil {
		relax(n.owner)
	}
	n.deduper = &deduper.Deduper{KeyWindow: n.w.window, ClockSkew: n.w.skew}
	n.calls = &deduper.Calls{Incarnation: n.incarnation}
	n.waiting, n.believed = map[string][]*call{}, map[string]bool{}
	for _, m := range n.w.nodes {
		if m.alive || m.member && n.incarnation == 1 {
			n.believed[m.name] = true
		}
	}
	n.believed[n.name] = true
	n.do(n.w.between(0, owner.TickInterval), n.tick)
}

func (n *node) crash() {
	n.w.logf("%s: crashes", n.name)
	n.alive = false
}

// do schedules a step of this incarnation.
func (n *node) do(d time.Duration, fn func()) { n.w.schedule(d, n, n.incarnation, fn) }

func (n *node) tick() {
	live := make([]string, 0, len(n.believed))
	for name, ok := range n.believed {
		if ok {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	drive := n.drives || !n.w.focused && (live[0] == n.name || n.w.faults && n.w.chance(0.02))
	n.owner.SetTarget(live, nil, drive)
	n.apply(n.owner.Tick(n.mono(), n.wall()))
	n.deduper.Tick(n.mono())
	n.calls.Tick(n.mono())
	n.observe()
	if n.w.faults && n.w.chance(0.01) {
		n.askRelay(n.w.nodes[n.w.r.IntN(len(n.w.nodes))])
	}
	n.do(time.Duration(float64(owner.TickInterval)/n.rate), n.tick)
}

// observe counts the distinct states of the protocol that the run passes.
func (n *node) observe() {
	var h maphash.Hash
	h.SetSeed(stateSeed)
	base := uint64(0)
	if e, err := owner.DecodeEpoch(n.w.store.entry.Value); err == nil {
		base = e.Number
	}
	for _, m := range n.w.nodes {
		b := [6]byte{}
		if m.alive {
			s := m.owner.Status(m.mono(), m.wall())
			b = [6]byte{1, byte(base - s.Epoch.Number), bit(s.Epoch.Settled), bit(s.Recovering), byte(s.Permit), byte(s.Acknowledged)}
		}
		_, _ = h.Write(b[:])
	}
	_, _ = h.Write([]byte{
		bit(n.w.store.downUntil > n.w.now), bit(n.w.store.slowUntil > n.w.now), bit(n.w.store.losesUntil > n.w.now),
	})
	n.w.states[h.Sum64()] = struct{}{}
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// apply performs what the owner asks for.
func (n *node) apply(out owner.Output) {
	for _, s := range out.Send {
		to := n.w.byName[s.To]
		n.w.send(n, to, func() { to.apply(to.owner.Receive(to.mono(), n.name, s.Message)) })
	}
	for _, req := range out.Store {
		sentAt := n.mono()
		n.w.storeRequest(n, req, func(res owner.StoreResult) {
			if !req.Write && res.Err == nil {
				n.read, n.readAt = res.Entry, sentAt
			}
			n.apply(n.owner.HandleStore(n.mono(), res))
		})
	}
	if out.Adopted {
		e := n.owner.Epoch()
		n.w.logf("%s: adopts epoch %d", n.name, e.Number)
		n.export(e)
		n.do(time.Second, func() {
			if n.owner.Epoch().Number == e.Number {
				n.export(e)
			}
		})
	}
}

// export hands the records of the keys that moved away to their new homes.
func (n *node) export(e owner.Epoch) {
	homes := n.owner.Receivers()
	homeOf := func(key string) string { return owner.HomeOf(e.Roster, key) }
	parts := n.deduper.Export(n.marker(e.Number), homes, homeOf)
	for _, home := range homes {
		for _, m := range parts[home] {
			n.sendHandover(n.w.byName[home], m)
		}
	}
}

func (n *node) marker(epoch uint64) deduper.Marker {
	horizon, untimed := n.owner.Horizon(n.mono(), n.wall())
	return deduper.Marker{Epoch: epoch, Incarnation: n.incarnation, Horizon: horizon, UntimedOld: untimed}
}

func (n *node) sendHandover(to *node, m deduper.Handover) {
	n.w.send(n, to, func() {
		if to.deduper.Import(to.mono(), n.name, m) {
			to.owner.HandoverDone(n.name, m.Epoch, m.Horizon, m.UntimedOld)
		}
	})
}

// askRelay obtains an epoch from another member's latest read of the store.
func (n *node) askRelay(relay *node) {
	askedAt, inc := n.mono(), n.incarnation
	n.w.send(n, relay, func() {
		if relay.read.ModRevision == 0 {
			return
		}
		entry, age := relay.read, relay.mono()-relay.readAt
		n.w.send(relay, n, func() {
			if n.incarnation == inc {
				n.apply(n.owner.ObserveRead(n.mono(), askedAt, age, entry))
			}
		})
	})
}
