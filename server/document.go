package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/distributor"
	"hornbeamcroft/follower"
	"hornbeamcroft/framer"
	"hornbeamcroft/parser"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/signer"
	"hornbeamcroft/sleeper"
)

const (
	// peersFirstTime is how long a starting node lets its peers offer a document before it reads the store.
	peersFirstTime = 300 * time.Millisecond
	// relayCheckInterval is how often a node looks whether it became a relay.
	relayCheckInterval = 200 * time.Millisecond
)

// documents drives the distributor: relays read and watch the store, and all nodes pass changes on.
type documents struct {
	s        *Server
	follower *follower.Follower

	mu          sync.Mutex
	distributor distributor.Distributor
}

func newDocuments(s *Server) *documents {
	signer := signer.Signer{Key: []byte(s.Settings.Security.OperatorsKey)}
	d := &documents{s: s}
	d.distributor.Sign = signer.Sign
	d.distributor.Check = func(stored hornbeamcroft.StoredDocument) error {
		if err := signer.Check(stored); err != nil {
			return err
		}
		_, err := parser.Parse(stored)
		return err
	}
	d.follower = &follower.Follower{
		Store:   s.Store,
		OnRead:  d.onRead,
		OnWatch: d.onWatch,
		OnError: func(err error) { s.Log.Debug().Err(err).Msg("distributor: store cannot be followed") },
		Rand:    randomizer.Randomizer{},
	}
	return d
}

// run follows the store while this node is a relay, until ctx ends. A node asks its peers first: a store that was
// restored from an old copy would give it an older document than theirs.
func (d *documents) run(ctx context.Context) {
	if d.s.Store == nil {
		return
	}
	sleeper.Sleep(ctx, peersFirstTime)
	var stop context.CancelFunc
	for ctx.Err() == nil {
		isRelay, _ := d.s.members.relays()
		if isRelay && stop == nil {
			var following context.Context
			following, stop = context.WithCancel(ctx)
			go d.follower.Run(following)
		}
		if !isRelay && stop != nil {
			stop()
			stop = nil
		}
		sleeper.Sleep(ctx, relayCheckInterval)
	}
	if stop != nil {
		stop()
	}
}

// onRead takes a document that was read from the store and returns the repair to write, or nil.
func (d *documents) onRead(stored hornbeamcroft.StoredDocument, modRevision int64) *distributor.Write {
	a := d.step(nil, func(time.Duration) distributor.Actions { return d.distributor.OnRead(stored, modRevision) })
	if a.Write != nil {
		d.s.Log.Warn().Uint64("revision", a.Write.Document.Revision).Msg("distributor: writing the newer document to the store")
	}
	return a.Write
}

func (d *documents) onWatch(stored hornbeamcroft.StoredDocument) {
	d.step(nil, func(time.Duration) distributor.Actions { return d.distributor.OnWatch(stored) })
}

// step runs fn under the lock and carries out what it returns, but for a write. The link is the one that the message
// came over, or nil.
func (d *documents) step(l *connector.Link, fn func(now time.Duration) distributor.Actions) distributor.Actions {
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
	if a.ReadStore && d.s.Store != nil {
		go func() {
			if _, err := d.follower.Read(context.Background()); err != nil {
				d.s.Log.Warn().Err(err).Msg("distributor: diverged documents not merged in the store")
			}
		}()
	}
	return a
}

// push sends messages from a relay to the nodes of its zone and the relays of other zones.
func (d *documents) push(from *connector.Link, messages []distributor.Message) {
	for _, name := range d.s.members.pushTargets() {
		l := d.s.links.LinkTo(name)
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
	go d.step(l, fn)
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

// accept takes a document into force. The distributor passes only newer and valid ones.
func (s *Server) accept(stored hornbeamcroft.StoredDocument) {
	doc, err := parser.Parse(stored)
	if err != nil {
		s.Log.Error().Err(err).Uint64("revision", stored.Revision).Msg("distributor: document is wrong and not taken")
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
	if old == nil {
		close(s.hasDocument)
	}
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
