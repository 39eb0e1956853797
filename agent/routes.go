package agent

import (
	"time"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/platform"
	"hornbeamcroft/router"
)

// onRoutesList takes the configuration as it was read.
func (a *Agent) onRoutesList(entries []hornbeamcroft.Entry) {
	for _, e := range entries {
		a.onRoutesEvent(hornbeamcroft.Event{Entry: e})
	}
}

// onRoutesEvent takes a change of the configuration.
func (a *Agent) onRoutesEvent(e hornbeamcroft.Event) {
	if e.Entry.Key != platform.KeyRoutes || e.Deleted {
		return
	}
	a.acceptRoutes(e.Entry.Value, "store")
}

// acceptRoutes puts a configuration in force if it is newer than the present one. It never goes back in one process.
func (a *Agent) acceptRoutes(document []byte, source string) {
	t, err := platform.DecodeRoutes(document)
	if err != nil {
		a.Log.Warn().Str("source", source).Err(err).Msg("routes: not accepted")
		return
	}
	a.routesMu.Lock()
	old := a.routes.Load()
	if old != nil && t.Version <= old.table.Version {
		a.routesMu.Unlock()
		return
	}
	a.document = document
	a.routes.Store(&routing{router: router.New(t), table: t, since: time.Now(), source: source})
	a.routesMu.Unlock()
	if p, ok := t.Services[a.Settings.Agent.Service]; ok {
		a.exchanger.SetLimit(p.MaxConnections)
	}
	a.Log.Info().Int64("version", t.Version).Int("routes", len(t.Routes)).Str("source", source).Msg("routes: in force")
	a.announce()
}

// match returns the route and the service of the next request with the host and the path.
func (r *routing) match(host, path string) (hornbeamcroft.Route, string, bool) {
	route, ok := r.router.Match(host, path)
	if !ok {
		return route, "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return route, r.router.Service(route), true
}

// routesVersion returns the version in force; zero if there is none.
func (a *Agent) routesVersion() int64 {
	if r := a.routes.Load(); r != nil {
		return r.table.Version
	}
	return 0
}

// compareRoutes asks the peer for its configuration if it is newer.
func (a *Agent) compareRoutes(l *connector.Link, theirs int64) {
	if have := a.routesVersion(); theirs > have {
		a.send(l, framer.TypeRoutesQuery, routesQuery{Have: have})
	}
}

// answerRoutes sends the configuration to a peer that asked for it.
func (a *Agent) answerRoutes(l *connector.Link, q routesQuery) {
	a.routesMu.Lock()
	document := a.document
	a.routesMu.Unlock()
	if a.routesVersion() <= q.Have {
		return
	}
	a.membersMu.Lock()
	members := a.locator.Members()
	a.membersMu.Unlock()
	a.send(l, framer.TypeRoutes, routesCopy{Document: document, Members: members[:min(len(members), maxIntroduced)]})
}
