// Package server implements a node. It connects the packages that decide about calls, members, documents and stops with
// the links, the store, the local upstream and the HTTP endpoints, and runs them until a planned stop is over.
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
	"hornbeamcroft/executor"
	"hornbeamcroft/fifoadmitter"
	"hornbeamcroft/forwarder"
	"hornbeamcroft/framer"
	"hornbeamcroft/loader"
	"hornbeamcroft/logger"
	"hornbeamcroft/receiver"
	"hornbeamcroft/registrar"
	"hornbeamcroft/rotator"
)

const (
	// defaultMaxBody is the maximum size of a body in bytes until the first document is in force.
	defaultMaxBody = 1 << 20
	// defaultSlots is the number of calls that run at the local upstream at the same time until the first document is in
	// force, and afterwards if the document sets no number for the service.
	defaultSlots = 100
	// defaultConnections is the maximum number of open connections to the local upstream. A document cannot change it.
	defaultConnections = 200
)

// defaultSendsPerHop is the number of sends at each hop with the policy setting retries = per-hop, the baseline that
// retry budgets are compared with.
const defaultSendsPerHop = 3

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
	activateMu  sync.Mutex

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
	slo        *sloCounter
	metrics    *metricSet
}

// Run serves until ctx ends or POST /drain requests a planned stop, and then carries out the stop. It returns an error
// if the node cannot start or a listener fails.
func (s *Server) Run(ctx context.Context) error {
	if err := s.build(); err != nil {
		return err
	}
	// The background work goes on after the end of ctx, until the planned stop is over.
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	serveErrs := make(chan error, 2)
	closePublic, err := s.listenPublic(serveErrs)
	if err != nil {
		return err
	}
	closeOperators, err := s.listenOperators(serveErrs)
	if err != nil {
		return err
	}
	go s.links.Run(background)
	go s.members.run(background)
	go s.documents.run(background)
	go s.writeRoster(background)
	go s.slo.run(background)
	if s.Settings.Node.Upstream != "" {
		go s.watchUpstream(background)
		go s.arbiter.Run(background)
		go s.quarantine.run(background)
	}
	s.Log.Info().Str("name", s.Settings.Node.Name).Str("listen", s.Settings.Node.Listen).Msg("server: started")
	select {
	case err := <-serveErrs:
		return err
	case <-ctx.Done():
	case <-s.drain.requested:
	}
	s.drain.run(closePublic)
	closeCtx, cancel := context.WithTimeout(context.Background(), minCloseTimeout)
	defer cancel()
	closeOperators(closeCtx)
	s.Log.Info().Msg("server: stopped")
	return nil
}

// build makes the components of the node from the settings.
func (s *Server) build() error {
	cfg := s.Settings
	s.clock = newClock()
	s.hasDocument = make(chan struct{})
	s.incarnation = uint64(time.Now().UnixMilli())
	s.slo = newSLOCounter(s)
	drain, err := newDrain(s)
	if err != nil {
		return errors.Wrap(err, "server")
	}
	s.drain = drain
	s.metrics = newMetricSet()
	sendsPerHop := 0
	if cfg.Policy.Retries == "per-hop" {
		sendsPerHop = defaultSendsPerHop
	}
	accept, dial, err := tlsConfigs(cfg.Security)
	if err != nil {
		return errors.Wrap(err, "server")
	}
	s.acceptTLS = accept
	s.calls = registrar.New(s.clock, sendsPerHop)
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
		Refuses:   s.drain.refuses,
		Forward:   s.forwarder.Forward,
		DeriveKey: deduper.DeriveKey,
		OnAnswer:  s.onAnswer,
	}
	return nil
}

// buildExecutor makes the dispatcher and the executor for the local upstream.
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

// newAdmitter returns the admitter for the local upstream, which the admission policy chooses.
func (s *Server) newAdmitter(service hornbeamcroft.Service) hornbeamcroft.Admitter {
	slots := service.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	name := s.Settings.Node.Service
	switch s.Settings.Policy.Admission {
	case "fixed":
		return &fifoadmitter.FIFOAdmitter{Service: name, Slots: slots}
	case "none":
		return &fifoadmitter.FIFOAdmitter{Service: name}
	}
	return &admitter.Admitter{Service: name, Slots: slots, QueueTime: service.QueueTime}
}

// newBalancer returns a balancer for the upstreams of a service, which the balancer policy chooses.
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

// hello returns the hello that this node sends on each link.
func (s *Server) hello() framer.Hello {
	n := s.Settings.Node
	return framer.Hello{
		Name: n.Name, Incarnation: s.incarnation, Zone: n.Zone, Service: n.Service, Address: n.Listen,
		Credit: connector.DefaultCredit,
	}
}

// maxBody returns the maximum size of a body in bytes.
func (s *Server) maxBody() int {
	if doc := s.document.Load(); doc != nil {
		return doc.Platform.MaxBody
	}
	return defaultMaxBody
}
