package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/distributor"
	"hornbeamcroft/framer"
	"hornbeamcroft/parser"
)

const (
	// storeRetryPause is the wait after the store could not be reached.
	storeRetryPause = time.Second
	// watchRetryPause is the wait after a watch has ended.
	watchRetryPause = 50 * time.Millisecond
	// relayCheckInterval is how often a node looks whether it became a relay.
	relayCheckInterval = 200 * time.Millisecond
)

// documents drives the distributor: relays read and watch the store, and all nodes pass changes on.
type documents struct {
	s *Server

	mu          sync.Mutex
	distributor distributor.Distributor
	lastContact time.Duration
}

func newDocuments(s *Server) *documents {
	check := func(stored hornbeamcroft.StoredDocument) error {
		_, err := parser.Parse(stored)
		return err
	}
	return &documents{s: s, distributor: distributor.Distributor{Check: check}}
}

// run reads and watches the store while this node is a relay, until ctx ends.
func (d *documents) run(ctx context.Context) {
	if d.s.Store == nil {
		return
	}
	for ctx.Err() == nil {
		if isRelay, _ := d.s.members.relays(); !isRelay {
			pause(ctx, relayCheckInterval)
			continue
		}
		entry, err := d.s.Store.Get(ctx, hornbeamcroft.KeyDocument)
		if err != nil {
			d.s.Log.Debug().Err(err).Msg("distributor: store cannot be read")
			pause(ctx, storeRetryPause)
			continue
		}
		d.read(ctx, entry)
		err = d.s.Store.Watch(ctx, hornbeamcroft.KeyDocument, entry.ModRevision+1, func(e hornbeamcroft.Event) {
			d.watched(ctx, e)
		})
		if err != nil && ctx.Err() == nil {
			d.s.Log.Debug().Err(err).Msg("distributor: watch ended")
			pause(ctx, watchRetryPause)
		}
	}
}

func (d *documents) read(ctx context.Context, entry hornbeamcroft.Entry) {
	var stored hornbeamcroft.StoredDocument
	if len(entry.Value) > 0 {
		var err error
		if stored, err = parser.Decode(entry.Value); err != nil {
			d.s.Log.Error().Err(err).Msg("distributor: stored document is malformed")
			return
		}
	}
	d.step(ctx, nil, func(time.Duration) distributor.Actions { return d.distributor.OnRead(stored, entry.ModRevision) })
}

func (d *documents) watched(ctx context.Context, e hornbeamcroft.Event) {
	if e.Deleted {
		return
	}
	stored, err := parser.Decode(e.Entry.Value)
	if err != nil {
		d.s.Log.Error().Err(err).Msg("distributor: stored document is malformed")
		return
	}
	d.step(ctx, nil, func(time.Duration) distributor.Actions { return d.distributor.OnWatch(stored) })
}

// step runs fn under the lock and carries out what it returns. The link is the one that the message came over, or nil.
func (d *documents) step(ctx context.Context, l *connector.Link, fn func(now time.Duration) distributor.Actions) {
	d.mu.Lock()
	a := fn(d.s.clock.Now())
	newest := d.distributor.Newest()
	d.mu.Unlock()
	if a.Err != nil {
		d.s.Log.Warn().Err(a.Err).Msg("distributor: document not accepted")
	}
	if a.Accepted {
		d.s.accept(newest)
	}
	for _, m := range a.Reply {
		sendDocument(l, m)
	}
	if len(a.Push) > 0 {
		d.push(l, a.Push)
	}
	if a.Write != nil {
		go d.repair(ctx, *a.Write)
	}
}

// repair writes the newest document to a store that holds an older one.
func (d *documents) repair(ctx context.Context, w distributor.Write) {
	value, err := parser.Encode(w.Document)
	if err != nil {
		return
	}
	d.s.Log.Warn().Uint64("revision", w.Document.Revision).Msg("distributor: store is behind, writing the newer document")
	_, err = d.s.Store.Txn(ctx,
		[]hornbeamcroft.Compare{{Key: hornbeamcroft.KeyDocument, ModRevision: w.ModRevision}},
		[]hornbeamcroft.Put{{Key: hornbeamcroft.KeyDocument, Value: value}})
	if err != nil {
		d.s.Log.Warn().Err(err).Msg("distributor: store not repaired")
	}
}

// push sends messages from a relay to the nodes of its zone and the relays of other zones.
func (d *documents) push(from *connector.Link, messages []distributor.Message) {
	for _, name := range d.s.members.pushTargets() {
		l := d.s.links.Peer(name)
		if l == nil || l == from || (from != nil && l.Peer.Name == from.Peer.Name) {
			continue
		}
		go func() {
			for _, m := range messages {
				sendDocument(l, m)
			}
		}()
	}
}

func sendDocument(l *connector.Link, m distributor.Message) {
	switch {
	case l == nil:
	case m.Offer != nil:
		_ = l.Send(framer.TypeDocumentDigest, m.Offer)
	case m.Delta != nil:
		_ = l.Send(framer.TypeDocumentDelta, m.Delta)
	case m.Whole != nil:
		_ = l.Send(framer.TypeDocumentWhole, m.Whole)
	}
}

// receive handles a document message of another node.
func (d *documents) receive(l *connector.Link, t framer.Type, payload []byte) error {
	var err error
	var fn func(now time.Duration) distributor.Actions
	switch t {
	case framer.TypeDocumentDigest:
		var m distributor.Offer
		err = framer.Decode(payload, &m)
		fn = func(now time.Duration) distributor.Actions { return d.distributor.OnOffer(now, m) }
	case framer.TypeDocumentDelta:
		var m distributor.Delta
		err = framer.Decode(payload, &m)
		fn = func(now time.Duration) distributor.Actions { return d.distributor.OnDelta(now, m) }
	default:
		var m distributor.Whole
		err = framer.Decode(payload, &m)
		fn = func(now time.Duration) distributor.Actions { return d.distributor.OnWhole(now, m) }
	}
	if err != nil {
		return err
	}
	go d.step(context.Background(), l, fn)
	return nil
}

// offer sends the digest over a link, so that the end that is behind catches up.
func (d *documents) offer(l *connector.Link) {
	d.mu.Lock()
	o := d.distributor.Offer()
	d.mu.Unlock()
	go func() { _ = l.Send(framer.TypeDocumentDigest, &o) }()
}

// status returns the state for the status page.
func (d *documents) status() distributor.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.distributor.Status()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// accept takes a document into force. The distributor passes only newer and valid ones.
func (s *Server) accept(stored hornbeamcroft.StoredDocument) {
	doc, err := parser.Parse(stored)
	if err != nil {
		return
	}
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	old := s.document.Load()
	if old != nil && old.Revision >= doc.Revision {
		return
	}
	s.document.Store(&doc)
	s.applyDocument(old, &doc)
	s.members.setVersions(doc.Revision)
	s.Log.Info().Uint64("revision", doc.Revision).Msg("distributor: document in force")
}

// applyDocument passes changed limits to the parts that keep a copy.
func (s *Server) applyDocument(old, doc *hornbeamcroft.Document) {
	s.forwarder.Reconfigure(changedServices(old, doc))
	s.slo.configure(doc)
	if s.executor == nil {
		return
	}
	s.quarantine.configure(doc.Platform)
	s.arbiter.Configure(doc.Platform)
	own := doc.Services[s.Settings.Node.Service]
	if old != nil {
		before := old.Services[own.Name]
		if before.Slots == own.Slots && before.QueueTime == own.QueueTime {
			return
		}
	}
	s.executor.Replace(s.newAdmitter(own))
}

// changedServices returns the services whose routing settings differ.
func changedServices(old, doc *hornbeamcroft.Document) []string {
	var names []string
	for name, service := range doc.Services {
		if old == nil || old.Services[name].ZoneDelay != service.ZoneDelay ||
			old.Services[name].SlowStart != service.SlowStart || old.Platform.MaxEjected != doc.Platform.MaxEjected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
