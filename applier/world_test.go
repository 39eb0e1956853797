package applier_test

import (
	"context"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/applier"
	"hornbeamcroft/distributor"
	"hornbeamcroft/editor"
	"hornbeamcroft/faker"
	"hornbeamcroft/parser"
)

// world is a simulation of a store, nodes and operators on a virtual clock. events are the documents that the store's
// watches deliver, in order, and off the disabled mechanisms.
type world struct {
	*faker.Store
	clock  *faker.Clock
	nodes  map[string]*node
	order  []string
	events []hornbeamcroft.StoredDocument
	off    mechanisms
	// beforeWrite and afterWrite run once, around the next transaction.
	beforeWrite, afterWrite []func()
}

// node is a distributor of a simulated node. cut is true while its links are cut, and watched is the number of events
// that its watch has delivered.
type node struct {
	*distributor.Distributor
	cut     bool
	watched int
}

// mechanisms are the protections that are disabled in a run.
type mechanisms struct {
	editor        editor.Mechanism
	distributor   distributor.Mechanism
	unconditional bool
}

var mechanismNames = map[string]mechanisms{
	"":                   {},
	"compare-writer":     {editor: editor.CompareWriter},
	"compare-generation": {editor: editor.CompareGeneration},
	"detect-conflict":    {editor: editor.DetectConflict},
	"compare-highest":    {editor: editor.CompareHighest},
	"mark-removed":       {editor: editor.MarkRemoved},
	"compare-and-swap":   {unconditional: true},
	"higher-only":        {distributor: distributor.HigherOnly},
	"compare-hash":       {distributor: distributor.CompareHash},
	"repair":             {distributor: distributor.Repair},
	"compare-digest":     {distributor: distributor.CompareDigest},
	"merge-diverged":     {distributor: distributor.MergeDiverged},
}

func newWorld(off mechanisms) *world {
	clock := &faker.Clock{}
	return &world{Store: faker.NewStore(clock), clock: clock, nodes: map[string]*node{}, off: off}
}

// Txn runs the hooks before and after the transaction, and adds the written document to the events.
func (w *world) Txn(ctx context.Context, conditions []hornbeamcroft.Compare, puts []hornbeamcroft.Put) (hornbeamcroft.TxnResult, error) {
	before, after := w.beforeWrite, w.afterWrite
	w.beforeWrite, w.afterWrite = nil, nil
	for _, fn := range before {
		fn()
	}
	result, err := w.Store.Txn(ctx, conditions, puts)
	w.addEvent(puts)
	for _, fn := range after {
		fn()
	}
	return result, err
}

// addEvent adds the document in the store to the events if it is the one that the transaction wrote.
func (w *world) addEvent(puts []hornbeamcroft.Put) {
	current := w.current()
	if written, err := parser.Decode(puts[0].Value); err == nil && distributor.HashOf(written) == distributor.HashOf(current) {
		w.events = append(w.events, current)
	}
}

// current returns the document in the store, regardless of the injected faults.
func (w *world) current() hornbeamcroft.StoredDocument {
	faults := w.Faults()
	w.SetFaults(faker.Faults{})
	stored, _, err := applier.Fetch(context.Background(), w.Store)
	w.SetFaults(faults)
	if err != nil {
		panic(err)
	}
	return stored
}

// apply applies an edit as hornbeamctl does: it first finds out the highest revision that the reachable nodes hold.
func (w *world) apply(edit editor.Edit, repeat bool) editor.Result {
	e := &editor.Editor{Edit: edit, Check: applier.Check, Disabled: w.off.editor}
	for _, n := range w.nodes {
		if !n.cut {
			e.HighestRevision = max(e.HighestRevision, n.Newest().Revision)
		}
	}
	a := &applier.Applier{
		Store: w, Attempts: 5, Unconditional: w.off.unconditional,
		Now:  func() time.Time { return time.UnixMilli(0) },
		Wait: func(_ context.Context, d time.Duration) error { w.clock.Advance(d); return nil },
	}
	return a.Apply(context.Background(), e, repeat)
}

// start starts a node, or restarts it with an empty distributor.
func (w *world) start(name string) {
	if w.nodes[name] == nil {
		w.order = append(w.order, name)
	}
	w.nodes[name] = &node{
		Distributor: &distributor.Distributor{Check: applier.Check, Disabled: w.off.distributor},
		watched:     len(w.events),
	}
}

// read lets a node act as a relay: it reads the store, and writes its document to the store if the store is behind.
func (w *world) read(name string) {
	stored, modRevision, err := applier.Fetch(context.Background(), w.Store)
	if err != nil {
		return
	}
	actions := w.nodes[name].OnRead(stored, modRevision)
	w.push(name, actions.Push)
	if actions.Write == nil {
		return
	}
	puts, err := applier.Puts(actions.Write.Document, editor.HistoryEntry{Revision: actions.Write.Document.Revision, Writer: "repair"})
	if err != nil {
		panic(err)
	}
	conditions := []hornbeamcroft.Compare{{Key: hornbeamcroft.KeyDocument, ModRevision: actions.Write.ModRevision}}
	if w.off.unconditional {
		conditions = nil
	}
	_, _ = w.Txn(context.Background(), conditions, puts)
}

// watch delivers the next n events of the store to a node.
func (w *world) watch(name string, n int) {
	for ; n > 0 && w.nodes[name].watched < len(w.events); n-- {
		event := w.events[w.nodes[name].watched]
		w.nodes[name].watched++
		actions := w.nodes[name].OnWatch(event)
		w.push(name, actions.Push)
		w.readIfRequested(name, actions)
	}
}

// push sends messages from a node to all nodes that are linked to it.
func (w *world) push(from string, messages []distributor.Message) {
	for _, to := range w.order {
		if to != from && !w.nodes[to].cut && !w.nodes[from].cut {
			w.send(from, to, messages)
		}
	}
}

// send delivers messages, then the replies to them, until there are no more replies.
func (w *world) send(from, to string, messages []distributor.Message) {
	for _, m := range messages {
		var actions distributor.Actions
		switch {
		case m.Digest != nil:
			actions = w.nodes[to].OnDigest(w.clock.Now(), *m.Digest)
		case m.Delta != nil:
			actions = w.nodes[to].OnDelta(w.clock.Now(), *m.Delta)
		case m.Part != nil:
			actions = w.nodes[to].OnPart(w.clock.Now(), *m.Part)
		}
		w.send(to, from, actions.Reply)
		w.readIfRequested(to, actions)
	}
}

// readIfRequested lets a node read the store if its actions ask for it, because documents have diverged.
func (w *world) readIfRequested(name string, actions distributor.Actions) {
	if actions.ReadStore {
		w.read(name)
	}
}

// digests advances the clock by 2 s, the interval of the digests, and lets each pair of linked nodes exchange digests.
func (w *world) digests() {
	w.clock.Advance(2 * time.Second)
	for _, a := range w.order {
		digest := w.nodes[a].Digest()
		w.push(a, []distributor.Message{{Digest: &digest}})
	}
}
