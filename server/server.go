// Package server is the node: it puts the cores, the links and the HTTP endpoints together and runs them until a planned
// stop is over.
package server

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/admitter"
	"hornbeamcroft/arbiter"
	"hornbeamcroft/balancer"
	"hornbeamcroft/connector"
	"hornbeamcroft/deduper"
	"hornbeamcroft/dispatcher"
	"hornbeamcroft/drainer"
	"hornbeamcroft/executor"
	"hornbeamcroft/filer"
	"hornbeamcroft/forwarder"
	"hornbeamcroft/framer"
	"hornbeamcroft/loader"
	"hornbeamcroft/logger"
	"hornbeamcroft/receiver"
	"hornbeamcroft/registrar"
	"hornbeamcroft/rotator"
)

// Defaults that apply until a document is accepted.
const (
	defaultMaxBody     = 1 << 20
	defaultSlots       = 100
	defaultConnections = 200
)

// perHopAttempts is the number of attempts at each hop in the per-hop baseline.
const perHopAttempts = 3

// Server is one node. Set the exported fields before Run.
type Server struct {
	Settings loader.Settings
	Store    hornbeamcroft.Store
	Log      logger.Logger

	clock       clock
	incarnation uint64
	acceptTLS   *tls.Config
	document    atomic.Pointer[hornbeamcroft.Document]
	hasDocument chan struct{}
	acceptMu    sync.Mutex

	calls      *registrar.Registrar
	links      *connector.Connector
	dispatcher *dispatcher.Dispatcher
	executor   *executor.Executor
	forwarder  *forwarder.Forwarder
	receiver   *receiver.Receiver
	members    *membership
	epochs     *epochReader
	arbiter    *arbiter.Arbiter
	documents  *documents
	quarantine *quarantine
	drain      *drain
	slo        *sloCounts
	metrics    *metricSet
}

// Run serves until ctx ends or a drain is asked for over the operators' endpoint, then stops gracefully.
func (s *Server) Run(ctx context.Context) error {
	if err := s.build(); err != nil {
		return err
	}
	// Background work outlives ctx until the planned stop is over.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ends := make(chan error, 2)
	public, err := s.listenPublic(ends)
	if err != nil {
		return err
	}
	operators, err := s.listenOperators(ends)
	if err != nil {
		return err
	}
	go s.links.Run(work)
	go s.members.run(work)
	go s.documents.run(work)
	go s.writeRoster(work)
	go s.slo.run(work)
	if s.Settings.Node.Upstream != "" {
		go s.watchUpstream(work)
		go s.arbiter.Run(work)
		go s.quarantine.run(work)
	}
	s.Log.Info().Str("name", s.Settings.Node.Name).Str("listen", s.Settings.Node.Listen).Msg("server: started")
	select {
	case err := <-ends:
		return err
	case <-ctx.Done():
	case <-s.drain.start:
	}
	s.drain.run(public)
	shutdown, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	operators(shutdown)
	s.Log.Info().Msg("server: stopped")
	return nil
}

func (s *Server) build() error {
	cfg := s.Settings
	s.clock = newClock()
	s.hasDocument = make(chan struct{})
	s.incarnation = uint64(time.Now().UnixMilli())
	s.slo = newSLOCounts(s)
	drain, err := newDrain(s)
	if err != nil {
		return errors.Wrap(err, "server")
	}
	s.drain = drain
	s.metrics = newMetricSet()
	perHop := 0
	if cfg.Policy.Retries == "per-hop" {
		perHop = perHopAttempts
	}
	accept, dial, err := tlsConfigs(cfg.Security)
	if err != nil {
		return errors.Wrap(err, "server")
	}
	s.acceptTLS = accept
	s.calls = registrar.New(s.clock, perHop)
	s.links = &connector.Connector{
		Self:      s.hello,
		Key:       []byte(cfg.Security.ClusterKey),
		TLS:       dial,
		MaxBody:   s.maxBody,
		OnCall:    s.onCall,
		OnOutcome: s.onOutcome,
		OnMessage: s.onMessage,
		OnUp:      func(l *connector.Link) { s.members.linkUp(l) },
		Log:       s.Log.Logger,
	}
	s.epochs = &epochReader{s: s}
	s.documents = newDocuments(s)
	if s.members, err = newMembership(s); err != nil {
		return errors.Wrap(err, "server")
	}
	if cfg.Node.Upstream != "" {
		s.buildExecutor()
		s.buildArbiter()
		if s.quarantine, err = newQuarantine(s); err != nil {
			return errors.Wrap(err, "server")
		}
	}
	s.forwarder = &forwarder.Forwarder{
		Clock:       s.clock,
		Name:        cfg.Node.Name,
		Incarnation: s.incarnation,
		Calls:       s.calls,
		Links:       s.links,
		Local:       s.execute,
		Home:        s.home,
		Lookup:      s.target,
		NewBalancer: s.newBalancer,
		ShedEarly:   cfg.Policy.Admission == "adaptive",
	}
	s.receiver = &receiver.Receiver{
		Clock:    s.clock,
		Calls:    s.calls,
		Document: s.document.Load, HasDocument: s.hasDocument,
		Draining:  s.drain.refuses,
		Forward:   s.forwarder.Forward,
		DeriveKey: deduper.DeriveKey,
		OnAnswer:  s.onAnswer,
	}
	return nil
}

func (s *Server) buildExecutor() {
	s.dispatcher = &dispatcher.Dispatcher{
		Address: s.Settings.Node.Upstream, Connections: defaultConnections, MaxBody: s.maxBody,
	}
	s.dispatcher.Open()
	s.executor = &executor.Executor{
		Clock: s.clock, Calls: s.calls, Dispatcher: s.dispatcher, Admission: s.newAdmitter(hornbeamcroft.Service{}),
		OnCrash: s.onCrash,
	}
}

func (s *Server) newAdmitter(service hornbeamcroft.Service) hornbeamcroft.Admitter {
	slots := service.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	name := s.Settings.Node.Service
	switch s.Settings.Policy.Admission {
	case "fixed":
		return &filer.Filer{Service: name, Slots: slots}
	case "none":
		return &filer.Filer{Service: name}
	}
	return &admitter.Admitter{Service: name, Slots: slots, QueueTime: service.QueueTime}
}

func (s *Server) newBalancer(service string) hornbeamcroft.Balancer {
	if s.Settings.Policy.Balancer == "round-robin" {
		return &rotator.Rotator{}
	}
	b := &balancer.Balancer{Zone: s.Settings.Node.Zone}
	if doc := s.document.Load(); doc != nil {
		b.ZoneDelay = doc.Services[service].ZoneDelay
		b.SlowStart = doc.Services[service].SlowStart
	}
	return b
}

func (s *Server) hello() framer.Hello {
	n := s.Settings.Node
	return framer.Hello{
		Name: n.Name, Incarnation: s.incarnation, Zone: n.Zone, Service: n.Service, Address: n.Listen,
		Credit: connector.DefaultCredit,
	}
}

func (s *Server) maxBody() int {
	if doc := s.document.Load(); doc != nil {
		return doc.Platform.MaxBody
	}
	return defaultMaxBody
}

// onCall runs a call that another node sent.
func (s *Server) onCall(ctx context.Context, peer framer.Hello, call hornbeamcroft.Call) hornbeamcroft.Answer {
	switch {
	case call.Service != s.Settings.Node.Service || s.executor == nil:
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUnknownService, UnspentRetries: call.RetryBudget}
	case call.Idempotent:
		return s.execute(ctx, call)
	}
	return s.onRemoteOnce(ctx, peer, call)
}

// execute runs a call at the own upstream.
func (s *Server) execute(ctx context.Context, call hornbeamcroft.Call) hornbeamcroft.Answer {
	var a hornbeamcroft.Answer
	if call.Idempotent {
		if !s.drain.begin(drainer.KindLink) {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeDraining, UnspentRetries: call.RetryBudget}
		}
		defer s.drain.end(drainer.KindLink)
		a = s.quarantine.execute(ctx, call, func(isolated bool) hornbeamcroft.Answer {
			return s.executor.Execute(ctx, call, executor.Options{Isolated: isolated})
		})
	} else {
		a = s.executeOnce(ctx, call)
	}
	if len(a.AdmissionLevels) == 0 {
		a.AdmissionLevels = []hornbeamcroft.AdmissionLevel{s.executor.AdmissionLevel()}
	}
	return a
}

// onOutcome answers a query about a non-idempotent call whose link was lost.
func (s *Server) onOutcome(ctx context.Context, q framer.OutcomeQuery) hornbeamcroft.Answer {
	if s.arbiter == nil {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	}
	return s.arbiter.Recaller.Outcome(ctx, q)
}

// onMessage passes a control frame to the part that handles it.
func (s *Server) onMessage(l *connector.Link, t framer.Type, payload []byte) error {
	switch t {
	case framer.TypeEpochQuery, framer.TypeEpochReply:
		return s.epochs.receive(l, t, payload)
	case framer.TypeEpochOffer, framer.TypeEpochAck, framer.TypePermitQuery, framer.TypePermitReply,
		framer.TypeHandover:
		if s.arbiter == nil {
			return nil
		}
		return s.arbiter.Receive(l.Peer.Name, t, payload)
	case framer.TypeSLOCounts:
		return s.slo.receive(l, payload)
	case framer.TypeDocumentDigest, framer.TypeDocumentDelta, framer.TypeDocumentWhole:
		return s.documents.receive(l, t, payload)
	case framer.TypeCrashSuspects, framer.TypeCleared, framer.TypeIsolatedRun:
		if s.quarantine == nil {
			return nil
		}
		return s.quarantine.receive(l, t, payload)
	}
	return s.members.receive(l, t, payload)
}

// onAnswer counts a finished request of an outside caller.
func (s *Server) onAnswer(call hornbeamcroft.Call, a hornbeamcroft.Answer, took time.Duration) {
	s.metrics.answered(call, a, took)
	s.slo.record(call, a, took)
}

func (s *Server) onCrash(running []hornbeamcroft.Call) {
	s.Log.Warn().Int("running", len(running)).Msg("server: upstream crashed")
	s.quarantine.crash(running)
	s.members.announce(hornbeamcroft.MemberStarting)
}
