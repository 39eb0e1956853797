package owner_test

import (
	"hash/maphash"
	"slices"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/deduper"
	"hornbeamcroft/owner"
)

// stateSeed is common to all simulations, so that equal states have equal hashes.
var stateSeed = maphash.MakeSeed()

// node is one process and the clocks of its host.
type node struct {
	sim         *simulation
	id          int
	name        string
	member      bool // is in the first roster
	alive       bool
	incarnation uint64
	pausedUntil time.Duration
	clockRate   float64 // of the monotonic clock, relative to simulated time
	monoOffset  time.Duration
	wallOffset  int64 // of the wall clock from simulated time, in milliseconds

	owner        *owner.Owner
	deduper      *deduper.Deduper
	calls        *deduper.Calls
	waitingCalls map[string][]*call // calls that wait for the outcome of a key
	nextCallID   uint64
	// liveView holds the members that the node takes for live; it may be wrong.
	liveView     map[string]bool
	writesEpochs bool                // proposes epochs although it is not the first live member
	lastRead     hornbeamcroft.Entry // latest successful read of the store, for members that use this node as relay
	lastReadAt   time.Duration
}

// mono returns the time of the host's monotonic clock.
func (n *node) mono() time.Duration {
	return n.monoOffset + time.Duration(float64(n.sim.now)*n.clockRate)
}

// wall returns the time of the host's wall clock in Unix milliseconds.
func (n *node) wall() int64 { return wallStart + n.sim.now.Milliseconds() + n.wallOffset }

// boot starts the process as a new incarnation, without the state of the earlier ones.
func (n *node) boot() {
	n.alive, n.pausedUntil, n.lastRead = true, 0, hornbeamcroft.Entry{}
	n.incarnation++
	n.owner = &owner.Owner{
		Self: n.name, Service: service, Incarnation: n.incarnation, PermitTime: permitTime, ClockSkew: n.sim.clockSkew,
		KeyWindow: n.sim.keyWindow,
	}
	if mutate := owner.Rules[n.sim.rule]; mutate != nil {
		mutate(n.owner)
	}
	n.deduper = &deduper.Deduper{KeyWindow: n.sim.keyWindow, ClockSkew: n.sim.clockSkew}
	n.calls = &deduper.Calls{Incarnation: n.incarnation}
	n.waitingCalls, n.liveView = map[string][]*call{}, map[string]bool{}
	for _, m := range n.sim.nodes {
		if m.alive || m.member && n.incarnation == 1 {
			n.liveView[m.name] = true
		}
	}
	n.liveView[n.name] = true
	n.after(n.sim.randomDuration(0, owner.TickInterval), n.tick)
}

func (n *node) crash() {
	n.sim.logf("%s: crashes", n.name)
	n.alive = false
}

// after schedules a step of the node, which is skipped if the node restarts before.
func (n *node) after(d time.Duration, fn func()) { n.sim.schedule(d, n, n.incarnation, fn) }

// tick runs the periodic work of the Owner, the Deduper and the Calls every TickInterval of the host's clock. The first
// live member by name proposes epochs; with random faults, another member sometimes does so at the same time.
func (n *node) tick() {
	live := make([]string, 0, len(n.liveView))
	for name, ok := range n.liveView {
		if ok {
			live = append(live, name)
		}
	}
	slices.Sort(live)
	drive := n.writesEpochs || !n.sim.singleTakeover && (live[0] == n.name || n.sim.randomFaults && n.sim.chance(0.02))
	n.owner.SetTarget(live, nil, drive)
	n.apply(n.owner.Tick(n.mono(), n.wall()))
	n.deduper.Tick(n.mono())
	n.calls.Tick(n.mono())
	n.recordState()
	if n.sim.randomFaults && n.sim.chance(0.01) {
		n.readThroughRelay(n.sim.nodes[n.sim.rand.IntN(len(n.sim.nodes))])
	}
	n.after(time.Duration(float64(owner.TickInterval)/n.clockRate), n.tick)
}

// recordState adds a hash of the present state of the protocol to the distinct states.
func (n *node) recordState() {
	var h maphash.Hash
	h.SetSeed(stateSeed)
	base := uint64(0)
	if e, err := owner.DecodeEpoch(n.sim.store.entry.Value); err == nil {
		base = e.Number
	}
	for _, m := range n.sim.nodes {
		b := [6]byte{}
		if m.alive {
			s := m.owner.Status(m.mono(), m.wall())
			b = [6]byte{
				1, byte(base - s.Epoch.Number), bit(s.Epoch.Settled), bit(s.Recovering), byte(s.Permit), byte(s.Acknowledged),
			}
		}
		_, _ = h.Write(b[:])
	}
	_, _ = h.Write([]byte{
		bit(n.sim.store.downUntil > n.sim.now), bit(n.sim.store.slowUntil > n.sim.now),
		bit(n.sim.store.losesAnswersUntil > n.sim.now),
	})
	n.sim.distinctStates[h.Sum64()] = struct{}{}
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// apply sends the messages and performs the store requests that the Owner asks for. After a newer epoch was adopted, it
// sends the records of the keys that moved, and once more after 1 s, since messages may be lost.
func (n *node) apply(out owner.Output) {
	for _, s := range out.Send {
		to := n.sim.nodesByName[s.To]
		n.sim.deliver(n, to, func() { to.apply(to.owner.Receive(to.mono(), n.name, s.Message)) })
	}
	for _, req := range out.Store {
		sentAt := n.mono()
		n.sim.storeRequest(n, req, func(res owner.StoreResult) {
			if !req.Write && res.Err == nil {
				n.lastRead, n.lastReadAt = res.Entry, sentAt
			}
			n.apply(n.owner.HandleStore(n.mono(), res))
		})
	}
	if out.Adopted {
		e := n.owner.Epoch()
		n.sim.logf("%s: adopts epoch %d", n.name, e.Number)
		n.sendRecords(e)
		n.after(time.Second, func() {
			if n.owner.Epoch().Number == e.Number {
				n.sendRecords(e)
			}
		})
	}
}

// sendRecords sends the records of the keys that moved away to their new homes.
func (n *node) sendRecords(e owner.Epoch) {
	homes := n.owner.HandoverReceivers()
	homeOf := func(key string) string { return owner.HomeOf(e.Roster, key) }
	parts := n.deduper.Export(n.handoverMarker(e.Number), homes, homeOf)
	for _, home := range homes {
		for _, m := range parts[home] {
			n.sendHandover(n.sim.nodesByName[home], m)
		}
	}
}

// handoverMarker returns what a handover states besides its records.
func (n *node) handoverMarker(epoch uint64) deduper.ExportHeader {
	horizon, untimed := n.owner.Horizon(n.mono(), n.wall())
	return deduper.ExportHeader{Epoch: epoch, Incarnation: n.incarnation, Horizon: horizon, UntimedBeforeTakeover: untimed}
}

// sendHandover sends one message of a handover. The receiver tells its Owner when the handover is complete.
func (n *node) sendHandover(to *node, m deduper.Handover) {
	n.sim.deliver(n, to, func() {
		if to.deduper.Import(to.mono(), n.name, m) {
			to.owner.RecordHandover(n.name, m.Epoch, m.Horizon, m.UntimedBeforeTakeover)
		}
	})
}

// readThroughRelay requests another member's latest read of the store and passes it to the Owner.
func (n *node) readThroughRelay(relay *node) {
	askedAt, inc := n.mono(), n.incarnation
	n.sim.deliver(n, relay, func() {
		if relay.lastRead.ModRevision == 0 {
			return
		}
		entry, age := relay.lastRead, relay.mono()-relay.lastReadAt
		n.sim.deliver(relay, n, func() {
			if n.incarnation == inc {
				n.apply(n.owner.ObserveRead(n.mono(), askedAt, age, entry))
			}
		})
	})
}
