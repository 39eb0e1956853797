// Package agent runs a node on a platform. It connects the components that make decisions to the links between nodes, the
// platform's store and the HTTP endpoints, and runs them until a planned stop is complete.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/acceptor"
	"hornbeamcroft/authenticator"
	"hornbeamcroft/breaker"
	"hornbeamcroft/confirmer"
	"hornbeamcroft/connector"
	"hornbeamcroft/courier"
	"hornbeamcroft/enroller"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/leavingkeeper"
	"hornbeamcroft/loader"
	"hornbeamcroft/locator"
	"hornbeamcroft/logger"
	"hornbeamcroft/observer"
	"hornbeamcroft/platform"
	"hornbeamcroft/publisher"
	"hornbeamcroft/recaller"
	"hornbeamcroft/recorder"
	"hornbeamcroft/requester"
	"hornbeamcroft/reserver"
	"hornbeamcroft/retainer"
	"hornbeamcroft/router"
	"hornbeamcroft/runner"
	"hornbeamcroft/suspecter"
)

const (
	// keyPrefix precedes the name of a node in the store key that holds the node's record.
	keyPrefix = "hornbeamcroft/members/"
	// maxAnswerBody is the maximum size of the body of an upstream's answer, in bytes.
	maxAnswerBody = 64 << 20
	// bodyMemoryDivisor divides the memory limit: the bodies of requests in flight and of their answers may take a quarter of
	// it.
	bodyMemoryDivisor = 4
	// linkSilenceTimeout is how long a link may deliver nothing with a ping outstanding before it is closed. It is well
	// below the deadlines of requests.
	linkSilenceTimeout = 600 * time.Millisecond
	// outcomeRetention is how long the outcome of a call is kept, so that a sender whose link was lost can query it.
	outcomeRetention = 3 * time.Second
)

// Agent is a node on a platform. Set the exported fields before Run.
type Agent struct {
	Settings loader.AgentSettings
	Bounds   platform.Bounds
	Log      logger.Logger
	// Reload receives the settings each time they have been read again; it may be nil.
	Reload <-chan loader.AgentSettings

	clock       hornbeamcroft.Clock
	incarnation uint64
	started     time.Time

	routes   atomic.Pointer[activeRoutes]
	routesMu sync.Mutex
	// configurationBytes is the configuration of routes in force as it was stored, with API keys replaced by their hashes.
	configurationBytes []byte
	requester          requester.Requester
	limitsOnce         sync.Once

	membersMu sync.Mutex
	locator   locator.Locator
	// malformedRecords holds the revisions of the entries of the last list that could not be read, by key. Only onRecords uses it.
	malformedRecords map[string]int64
	// recordsEra is the era of the store that the last list of the records belongs to.
	recordsEra int64
	// restoredEra is the era of the last restore that the lender was told of.
	restoredEra int64
	// members passes on the members of locator.
	members *publisher.Publisher[[]hornbeamcroft.Member]
	// previousRecord is the record that a previous process of this node left in the store.
	previousRecord hornbeamcroft.Member
	// retainer keeps the records of other nodes whose upstreams leave; confirmer tracks who holds that of this node.
	retainer  retainer.Retainer
	confirmer confirmer.Confirmer
	// leavings keeps in the store that the upstream leaves; leavingsRead is set once the store has told what it holds.
	leavings         *leavingkeeper.Keeper
	leavingsRead     atomic.Bool
	storeUnreachable atomic.Bool

	// origin is the service of the host if the settings that were read again name another one than at the start; nil otherwise.
	origin atomic.Pointer[string]

	upstreamMu sync.Mutex
	observer   observer.Observer
	// recordSequence is the sequence number of the member record of this node.
	recordSequence uint64
	// servedFound wakes the health probes when a record names a further instance that an earlier process has used.
	servedFound chan struct{}

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
	// storeBreaker passes the calls of all users on to store.
	storeBreaker *breaker.Breaker
	recorder     *recorder.Recorder
	ingress      *acceptor.Acceptor
	// shares bounds the connections to the listening sockets.
	shares  connectionShares
	metrics *metricSet
	// bodies limits the memory that the bodies of requests and answers hold.
	bodies *reserver.Reserver
	// stopping is set when a planned stop begins, at the time stopBegan.
	stopping  atomic.Bool
	stopBegan time.Duration
	// takenAtStop holds the callers' requests in flight that were taken after a planned stop had begun, as *takenRequest.
	takenAtStop sync.Map
	// callers decides which requests of callers the node takes while it stops, peers which calls of other nodes.
	callers, peers *stopGate
	// callerRequests counts the callers' requests in flight; calls made by a running request are not counted.
	callerRequests atomic.Int64
	quotas         *quotas
	// dialing holds the addresses that are being dialed in the background.
	dialing sync.Map
	proof   configurationProof
	inquiry inquiry
	// introduced holds the open links over which onUp has sent what has to precede the first node state.
	introduced sync.Map
}

// activeRoutes is the configuration of routes in force.
type activeRoutes struct {
	mu     sync.Mutex
	router *router.Router
	// authenticator holds the tenants of the table.
	authenticator *authenticator.Authenticator
	table         hornbeamcroft.RouteTable
	// sum is the hash of the configuration with API keys replaced by their hashes.
	sum uint64
	// since is when the configuration came into force.
	since time.Time
	// source is "store" or the name of the peer that sent the configuration.
	source string
	// maxTenantRate is the largest rate of the tenants' quotas; 1 if none has a rate.
	maxTenantRate float64
}

// Run serves requests until ctx ends or the settings that were read again require another start, then carries out a planned stop.
func (a *Agent) Run(ctx context.Context) error {
	a.createComponents()
	a.startInquiry()
	// Background work continues after ctx ends, until the planned stop is complete.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serverErrs := make(chan error, 8)
	if err := a.listen(serverErrs); err != nil {
		return err
	}
	a.Log.Info().Str("name", a.Settings.Agent.Name).Str("service", a.Settings.Agent.Service).
		Str("zone", a.Settings.Agent.Zone).Uint64("incarnation", a.incarnation).
		Float64("retry-ratio", a.Bounds.RetryRatio).Float64("retry-slack", a.Bounds.RetrySlack).
		Int64("stop-ms", a.Bounds.StopGracePeriod.Milliseconds()).Msg("agent: started")
	enrollerDone := make(chan struct{})
	go a.links.Run(background)
	go a.recorder.Run(background)
	go a.exchanger.Run(background)
	go a.ingress.Run(background)
	go a.followStore(background)
	go a.tick(background)
	go a.followProof(background)
	go a.leavings.Run(background)
	go a.probeUntilKnown(background)
	go a.dialIntroducers(background)
	go a.runQuotas(background)
	go func() {
		a.enroller.Run(background)
		close(enrollerDone)
	}()
	reason := a.waitForStop(ctx, serverErrs)
	if reason != nil {
		return reason
	}
	a.stop()
	stop()
	<-enrollerDone
	a.Log.Info().Msg("agent: stopped")
	return nil
}

// waitForStop handles reloaded settings until the node is to stop. It returns nil when ctx ends or the settings require another start, and
// the error when a server fails.
func (a *Agent) waitForStop(ctx context.Context, serverErrs <-chan error) error {
	for {
		select {
		case err := <-serverErrs:
			return err
		case <-ctx.Done():
			return nil
		case s := <-a.Reload:
			if a.applyReloadedSettings(s) {
				return nil
			}
		}
	}
}

// listen opens all listening sockets. Servers that fail later send the error to serverErrs.
func (a *Agent) listen(serverErrs chan error) error {
	fail := func(err error) { serverErrs <- err }
	a.ingress = a.newAcceptor()
	if err := a.ingress.Open(fail); err != nil {
		return errors.Wrap(err, "ingress address")
	}
	return a.listenInternal(serverErrs)
}

// tick calls the periodic work of the components that have no timer of their own, until ctx ends.
func (a *Agent) tick(ctx context.Context) {
	const interval = 100 * time.Millisecond
	t := time.NewTicker(interval)
	defer t.Stop()
	var lastRate rateLog
	var lastConnections connectionLog
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.logRate(&lastRate)
		a.logConnections(&lastConnections)
		a.recaller.Tick()
		a.tickMembers()
		a.tickInquiry()
		a.requestRoutes()
	}
}

// monotonic is a Clock that counts from the start of the process.
type monotonic struct{ start time.Time }

// Now returns the monotonic time since the process started.
func (m monotonic) Now() time.Duration { return time.Since(m.start) }
