package agent

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/authenticator"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/inquirer"
	"hornbeamcroft/platform"
	"hornbeamcroft/router"
	"hornbeamcroft/verifier"
)

// onRoutesList applies the configuration among the entries listed from the store.
func (a *Agent) onRoutesList(entries []hornbeamcroft.Entry) {
	for _, e := range entries {
		a.onRoutesEvent(hornbeamcroft.Event{Entry: e})
	}
}

// onRoutesEvent applies a changed configuration. The deletion of the configuration and changes of other keys are ignored.
func (a *Agent) onRoutesEvent(e hornbeamcroft.Event) {
	if e.Entry.Key != platform.KeyConfiguration || e.Deleted {
		return
	}
	a.acceptRoutes(e.Entry.Value, "store")
}

// acceptRoutes decodes a configuration and puts it in force if its version is higher than the present one. The version in
// force never falls during the life of a process.
func (a *Agent) acceptRoutes(configuration []byte, source string) {
	t, err := platform.DecodeRoutes(configuration)
	if err != nil {
		a.metrics.count("routes/rejected")
		a.Log.Warn().Str("source", source).Err(err).Msg("routes: not accepted")
		return
	}
	if configuration, err = platform.HashKeys(configuration); err != nil {
		a.metrics.count("routes/rejected")
		a.Log.Warn().Str("source", source).Err(err).Msg("routes: not accepted")
		return
	}
	a.routesMu.Lock()
	old := a.routes.Load()
	if old != nil && t.Version <= old.table.Version {
		a.routesMu.Unlock()
		return
	}
	a.configurationBytes = configuration
	a.requester.Applied(t.Version)
	sum := verifier.Sum(configuration)
	a.proof.applied(t, sum)
	a.routes.Store(&activeRoutes{
		router: router.New(t), authenticator: authenticator.New(t), table: t, sum: sum, since: time.Now(), source: source,
		maxTenantRate: maxTenantRate(t.Tenants),
	})
	a.routesMu.Unlock()
	a.updateInquiry(func(i *inquirer.Inquirer, now time.Duration) { i.Configured(now) })
	a.updateQuotas()
	if p, ok := t.Services[a.Settings.Agent.Service]; ok {
		a.exchanger.SetLimit(p.MaxConnections)
	}
	a.Log.Info().Int64("version", t.Version).Int("routes", len(t.Routes)).Int("problems", len(t.Problems)).
		Str("source", source).Msg("routes: in force")
	a.logRoutesProblems(t)
	a.broadcastNodeState()
}

// maxLoggedProblems is the maximum number of entries of one configuration that are logged as unreadable.
const maxLoggedProblems = 50

// logRoutesProblems logs which entries of a configuration that came into force could not be read.
func (a *Agent) logRoutesProblems(t hornbeamcroft.RouteTable) {
	for _, p := range t.Problems[:min(len(t.Problems), maxLoggedProblems)] {
		a.Log.Warn().Int64("version", t.Version).Str("entry", p.Entry).Str("reason", p.Reason).Msg("routes: entry not read")
	}
}

// selectService returns the service that the route's weights select for the next request. The route must be readable.
func (r *activeRoutes) selectService(route hornbeamcroft.Route) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.router.Service(route)
}

// routesVersion returns the version of the configuration in force; zero if there is none.
func (a *Agent) routesVersion() int64 {
	if r := a.routes.Load(); r != nil {
		return r.table.Version
	}
	return 0
}

// compareRoutes records the version that a peer has in force, so that a newer one is requested from it or another peer.
func (a *Agent) compareRoutes(l *connector.Link, peerVersion int64) {
	a.routesMu.Lock()
	a.requester.Announced(a.clock.Now(), l.Peer.Name, peerVersion, l.Peer.Zone == a.Settings.Agent.Zone)
	a.routesMu.Unlock()
	a.requestRoutes()
}

// requestRoutes requests the configuration from a peer if a request is due.
func (a *Agent) requestRoutes() {
	a.routesMu.Lock()
	name, due := a.requester.Due(a.clock.Now())
	a.routesMu.Unlock()
	if !due {
		return
	}
	if l := a.links.LinkTo(name); l != nil {
		a.metrics.count("routes/requested")
		a.send(l, framer.TypeRoutesQuery, routesQuery{Have: a.routesVersion()})
	}
}

// answerRoutes sends the configuration and the known members to a peer that requested them, unless the peer already has
// this version.
func (a *Agent) answerRoutes(l *connector.Link, q routesQuery) {
	a.routesMu.Lock()
	configuration := a.configurationBytes
	a.routesMu.Unlock()
	if a.routesVersion() <= q.Have {
		return
	}
	a.membersMu.Lock()
	members := a.locator.Members()
	a.membersMu.Unlock()
	a.send(l, framer.TypeRoutes, routesCopy{Document: configuration, Members: members[:min(len(members), maxRoutesCopyMembers)]})
}
