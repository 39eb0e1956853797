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
	// storeReadDelay is how long a starting node waits for documents from its peers before it reads the store.
	storeReadDelay = 300 * time.Millisecond
	// relayCheckInterval is the interval at which a node checks whether it is a relay and whether it should hold the
	// lease of its zone's roster.
	relayCheckInterval = 200 * time.Millisecond
)

// documents runs the distributor of the operators' document. It adds what the distributor leaves to the node: the lock,
// the reads and watches of the store by a relay, and the exchange of messages with other nodes.
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
		OnError: func(err error) { s.Log.Debug().Err(err).Msg("distributor: cannot follow the store") },
		Rand:    randomizer.Randomizer{},
	}
	return d
}

// run reads and watches the store while this node is a relay, until ctx ends. It waits storeReadDelay first, so that a
// starting node gets the document from its peers: a store that was restored from an old copy holds an older one.
func (d *documents) run(ctx context.Context) {
	if d.s.Store == nil {
		return
	}
	sleeper.Sleep(ctx, storeReadDelay)
	var stopFollowing context.CancelFunc
	for ctx.Err() == nil {
		isRelay, _ := d.s.members.relays()
		if isRelay && stopFollowing == nil {
			var followCtx context.Context
			followCtx, stopFollowing = context.WithCancel(ctx)
			go d.follower.Run(followCtx)
		}
		if !isRelay && stopFollowing != nil {
			stopFollowing()
			stopFollowing = nil
		}
		sleeper.Sleep(ctx, relayCheckInterval)
	}
	if stopFollowing != nil {
		stopFollowing()
	}
}

// onRead processes a document that was read from the store. It returns the write that repairs the store, or nil if none
// is needed.
func (d *documents) onRead(stored hornbeamcroft.StoredDocument, modRevision int64) *distributor.StoreWrite {
	actions := d.step(nil, func(time.Duration) distributor.Actions { return d.distributor.OnRead(stored, modRevision) })
	if actions.Write != nil {
		d.s.Log.Warn().Uint64("revision", actions.Write.Document.Revision).Msg("distributor: writing the newer document to the store")
	}
	return actions.Write
}

func (d *documents) onWatch(stored hornbeamcroft.StoredDocument) {
	d.step(nil, func(time.Duration) distributor.Actions { return d.distributor.OnWatch(stored) })
}

// step runs fn under the lock and performs the actions that it returns, except Write, which is left to the caller. l is
// the link over which the processed message arrived; it is nil if the document came from the store.
func (d *documents) step(l *connector.Link, fn func(now time.Duration) distributor.Actions) distributor.Actions {
	d.mu.Lock()
	actions := fn(d.s.clock.Now())
	newest := d.distributor.Newest()
	d.mu.Unlock()
	if actions.Err != nil {
		d.s.Log.Warn().Err(actions.Err).Msg("distributor: document rejected")
	}
	if actions.Accepted {
		d.s.activate(newest)
	}
	for _, m := range actions.Reply {
		sendDocumentMessage(l, m)
	}
	if len(actions.Push) > 0 {
		d.push(l, actions.Push)
	}
	if actions.ReadStore && d.s.Store != nil {
		go func() {
			if _, err := d.follower.Read(context.Background()); err != nil {
				d.s.Log.Warn().Err(err).Msg("distributor: cannot merge diverged documents in the store")
			}
		}()
	}
	return actions
}

// push sends messages to the push targets of this node, except to the peer of the link from, which already has the
// change. A node that is not a relay has no push targets.
func (d *documents) push(from *connector.Link, messages []distributor.Message) {
	for _, name := range d.s.members.pushTargets() {
		l := d.s.links.LinkTo(name)
		if l == nil || l == from || (from != nil && l.Peer.Name == from.Peer.Name) {
			continue
		}
		go func() {
			for _, m := range messages {
				sendDocumentMessage(l, m)
			}
		}()
	}
}

func sendDocumentMessage(l *connector.Link, m distributor.Message) {
	switch {
	case l == nil:
	case m.Digest != nil:
		_ = l.Send(framer.TypeDocumentDigest, m.Digest)
	case m.Delta != nil:
		_ = l.Send(framer.TypeDocumentDelta, m.Delta)
	case m.Part != nil:
		_ = l.Send(framer.TypeDocumentWhole, m.Part)
	}
}

// receive decodes and processes a document message of another node.
func (d *documents) receive(l *connector.Link, t framer.Type, payload []byte) error {
	var err error
	var fn func(now time.Duration) distributor.Actions
	switch t {
	case framer.TypeDocumentDigest:
		var m distributor.Digest
		err = framer.Decode(payload, &m)
		fn = func(now time.Duration) distributor.Actions { return d.distributor.OnDigest(now, m) }
	case framer.TypeDocumentDelta:
		var m distributor.Delta
		err = framer.Decode(payload, &m)
		fn = func(now time.Duration) distributor.Actions { return d.distributor.OnDelta(now, m) }
	default:
		var m distributor.DocumentPart
		err = framer.Decode(payload, &m)
		fn = func(now time.Duration) distributor.Actions { return d.distributor.OnPart(now, m) }
	}
	if err != nil {
		return err
	}
	go d.step(l, fn)
	return nil
}

// sendDigest sends the digest of the newest document over a link, so that the node with the older document gets the
// newer one.
func (d *documents) sendDigest(l *connector.Link) {
	d.mu.Lock()
	digest := d.distributor.Digest()
	d.mu.Unlock()
	go func() { _ = l.Send(framer.TypeDocumentDigest, &digest) }()
}

// status returns the distributor's state for GET /status.
func (d *documents) status() distributor.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.distributor.Status()
}

// activate puts a document in force. The distributor accepts only valid documents with a higher revision, but
// concurrent calls can arrive out of order, so a document that is not newer than the one in force is ignored.
func (s *Server) activate(stored hornbeamcroft.StoredDocument) {
	doc, err := parser.Parse(stored)
	if err != nil {
		s.Log.Error().Err(err).Uint64("revision", stored.Revision).Msg("distributor: accepted document cannot be parsed and is not put in force")
		return
	}
	s.activateMu.Lock()
	defer s.activateMu.Unlock()
	old := s.document.Load()
	if old != nil && old.Revision >= doc.Revision {
		return
	}
	s.document.Store(&doc)
	s.applyDocument(old, &doc)
	if old == nil {
		close(s.hasDocument)
	}
	s.members.setDocumentRevision(doc.Revision)
	s.Log.Info().Uint64("revision", doc.Revision).Msg("distributor: document in force")
}

// applyDocument passes the settings of a document to the components that keep a copy of them. old is the document that
// was in force before, or nil.
func (s *Server) applyDocument(old, doc *hornbeamcroft.Document) {
	s.forwarder.ResetBalancers(changedServices(old, doc))
	s.slo.configure(doc)
	if s.executor == nil {
		return
	}
	s.quarantine.configure(doc.Platform)
	s.arbiter.Configure(doc.Platform)
	local := doc.Services[s.Settings.Node.Service]
	if old != nil {
		previous := old.Services[local.Name]
		if previous.Slots == local.Slots && previous.QueueTime == local.QueueTime {
			return
		}
	}
	s.executor.ReplaceAdmission(s.newAdmitter(local))
}

// changedServices returns the sorted names of the services of doc whose routing settings differ from those in old, or
// of all its services if old is nil.
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
