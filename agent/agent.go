// Package agent is the node on a platform: it puts the decisions, the links, the store and the HTTP endpoints together
// and runs them until a planned stop is over.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/acceptor"
	"hornbeamcroft/connector"
	"hornbeamcroft/courier"
	"hornbeamcroft/deduper"
	"hornbeamcroft/enroller"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/framer"
	"hornbeamcroft/loader"
	"hornbeamcroft/locator"
	"hornbeamcroft/logger"
	"hornbeamcroft/observer"
	"hornbeamcroft/platform"
	"hornbeamcroft/randomizer"
	"hornbeamcroft/rationer"
	"hornbeamcroft/recaller"
	"hornbeamcroft/recorder"
	"hornbeamcroft/router"
	"hornbeamcroft/runner"
	"hornbeamcroft/sender"
	"hornbeamcroft/suspecter"
)

const (
	// keyPrefix is followed by the name of a node and holds its record.
	keyPrefix = "hornbeamcroft/members/"
	// maxAnswerBody bounds the body of an upstream's answer in bytes.
	maxAnswerBody = 64 << 20
	// bodyShare is the part of the memory limit that bodies of requests in flight may take.
	bodyShare = 4
	// linkSilence ends a link on which a ping is not answered for this long. It is well below the deadlines of requests.
	linkSilence = 600 * time.Millisecond
	// keepOutcomes is how long the outcome of a call is kept for a sender that lost its link.
	keepOutcomes = 3 * time.Second
)

// Agent is one node. Set the exported fields before Run.
type Agent struct {
	Settings loader.AgentSettings
	Bounds   platform.Bounds
	Log      logger.Logger
	// Reload receives the settings again when they have changed; it may be nil.
	Reload <-chan loader.AgentSettings

	clock       hornbeamcroft.Clock
	incarnation uint64
	started     time.Time

	routes     atomic.Pointer[routing]
	routesMu   sync.Mutex
	document   []byte
	limitsOnce sync.Once

	membersMu sync.Mutex
	locator   locator.Locator
	published uint64
	// earlier is the record that an earlier process of this node has left in the store.
	earlier   hornbeamcroft.Member
	storeAway atomic.Bool

	upstreamMu sync.Mutex
	observer   observer.Observer
	sequence   uint64

	suspectsMu sync.Mutex
	suspects   suspecter.Suspecter
	crashes    atomic.Uint64

	links     *connector.Connector
	courier   *courier.Courier
	runner    *runner.Runner
	exchanger *exchanger.Exchanger
	recaller  *recaller.Recaller
	enroller  *enroller.Enroller
	store     *platform.Store
	recorder  *recorder.Recorder
	wayIn     *acceptor.Acceptor
	metrics   *metricSet
	bodies    atomic.Int64
	// stopping is true from the begin of a planned stop, closed from when no more calls of other nodes are taken.
	stopping atomic.Bool
	closed   atomic.Bool
	// ending is true from when no more requests of callers are taken.
	ending atomic.Bool
	// outside counts the requests of callers in flight.
	outside atomic.Int64
	dialing sync.Map
}

// routing is the configuration in force.
type routing struct {
	mu     sync.Mutex
	router *router.Router
	table  hornbeamcroft.RouteTable
	// since is when it came into force, source where it came from.
	since  time.Time
	source string
}

// Run serves until ctx ends, then stops gracefully.
func (a *Agent) Run(ctx context.Context) error {
	a.build()
	// Background work outlives ctx until the planned stop is over.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ends := make(chan error, 8)
	if err := a.listen(ends); err != nil {
		return err
	}
	a.Log.Info().Str("name", a.Settings.Agent.Name).Str("service", a.Settings.Agent.Service).
		Str("zone", a.Settings.Agent.Zone).Uint64("incarnation", a.incarnation).
		Float64("retry-ratio", a.Bounds.RetryRatio).Float64("retry-slack", a.Bounds.RetrySlack).
		Int64("stop-ms", a.Bounds.StopTime.Milliseconds()).Msg("agent: started")
	enrolled := make(chan struct{})
	go a.links.Run(work)
	go a.recorder.Run(work)
	go a.exchanger.Run(work)
	go a.wayIn.Run(work)
	go a.follow(work)
	go a.tick(work)
	go a.probe(work)
	go a.introduce(work)
	go func() {
		a.enroller.Run(work)
		close(enrolled)
	}()
	reason := a.wait(ctx, ends)
	if reason != nil {
		return reason
	}
	a.stop()
	stop()
	<-enrolled
	a.Log.Info().Msg("agent: stopped")
	return nil
}

// wait returns when the node is to stop, with the reason if it is a failure.
func (a *Agent) wait(ctx context.Context, ends <-chan error) error {
	for {
		select {
		case err := <-ends:
			return err
		case <-ctx.Done():
			return nil
		case s := <-a.Reload:
			a.reload(s)
		}
	}
}

func (a *Agent) build() {
	cfg := a.Settings.Agent
	a.started = time.Now()
	a.clock = monotonic{start: a.started}
	a.incarnation = uint64(a.started.UnixMicro())
	a.metrics = newMetricSet()
	a.recorder = &recorder.Recorder{Log: a.Log.Logger}
	a.observer = observer.Observer{Service: cfg.Service, Address: cfg.Upstream}
	a.store = &platform.Store{Address: a.Settings.Store.Address, WatchTime: a.routesWatch}
	a.store.Open()
	a.exchanger = &exchanger.Exchanger{Address: cfg.Upstream, Names: platform.Names(), MaxBody: maxAnswerBody}
	a.recaller = &recaller.Recaller{
		Clock: a.clock, Calls: &deduper.Calls{Incarnation: a.incarnation, Keep: keepOutcomes},
	}
	a.links = &connector.Connector{
		Self: a.hello, Key: []byte(cfg.ClusterKey), MaxBody: func() int { return maxAnswerBody },
		OnCall: a.onCall, OnOutcome: a.recaller.Outcome, OnMessage: a.onMessage, OnUp: a.onUp, OnDown: a.onDown,
		Silence: linkSilence, Log: a.Log.Logger,
	}
	a.runner = &runner.Runner{
		Clock: a.clock, Service: cfg.Service, Exchanger: a.exchanger, Request: platform.UpstreamRequest,
		Rationer: a.newRationer(rationer.UpstreamShare), Refuses: a.refuses, OnCrash: a.onCrash, OnCleared: a.onCleared, OnGone: a.onGone, OnEnd: a.recordRun,
	}
	send := &sender.Sender{Name: cfg.Name, Incarnation: a.incarnation, Links: a.links}
	a.courier = &courier.Courier{
		Clock: a.clock, Rand: randomizer.Randomizer{}, Name: cfg.Name, Zone: cfg.Zone,
		Local: a.runner.Run, Remote: send.Send, Linked: func(name string) bool { return a.links.Peer(name) != nil },
		Dial: a.dial, OnEnd: a.recordRequest,
		Rationer: a.newRationer(rationer.SenderShare),
	}
	a.runner.Levels = a.courier.Levels
	a.enroller = &enroller.Enroller{
		Store: a.store, Key: keyPrefix + cfg.Name, OnLost: a.onStoreLost("record"), OnFound: a.onStoreFound("record"),
		OnWritten: func(revision int64) {
			a.Log.Info().Int64("revision", revision).Msg("enroller: record written")
		},
	}
}

func (a *Agent) newRationer(share float64) *rationer.Rationer {
	return &rationer.Rationer{
		Ratio: a.Bounds.RetryRatio, Slack: a.Bounds.RetrySlack, Window: a.Bounds.RetryWindow, Share: share, Nodes: 1,
	}
}

// listen opens all addresses.
func (a *Agent) listen(ends chan error) error {
	fail := func(err error) { ends <- err }
	a.wayIn = &acceptor.Acceptor{Address: a.Settings.Agent.WayIn, Handler: a.newWayIn(), Limits: a.connectionLimits}
	if err := a.wayIn.Open(fail); err != nil {
		return errors.Wrap(err, "way in")
	}
	return a.listenInside(ends)
}

func (a *Agent) hello() framer.Hello {
	cfg := a.Settings.Agent
	return framer.Hello{
		Name: cfg.Name, Incarnation: a.incarnation, Zone: cfg.Zone, Service: cfg.Service, Address: cfg.LinksAnnounced,
		Credit: connector.DefaultCredit,
	}
}

// reload takes changed settings. Addresses, name and service of a running node do not change; a difference is said and
// comes into force with the next start.
func (a *Agent) reload(s loader.AgentSettings) {
	a.Log.Info().Bool("changed", s.Agent.Upstream != a.Settings.Agent.Upstream || s.Agent.Service != a.Settings.Agent.Service).
		Msg("agent: settings read again")
}

// tick lets time pass in the parts that have no timer of their own.
func (a *Agent) tick(ctx context.Context) {
	const interval = 100 * time.Millisecond
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.recaller.Tick()
		a.tickMembers()
	}
}

// monotonic is the process's monotonic clock.
type monotonic struct{ start time.Time }

// Now returns the time since the process started.
func (m monotonic) Now() time.Duration { return time.Since(m.start) }
