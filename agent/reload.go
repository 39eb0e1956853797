package agent

import "hornbeamcroft/loader"

// applyReloadedSettings applies settings that were read again while the node runs, and reports whether the node has to start again. A running
// node keeps its addresses and its name. If the settings name another service or another address of the upstream, the platform has given
// the place of the upstream to another one: the node stops as planned, so that it is started with the settings in effect. Until then requests
// of callers on this host count as those of the new service, and calls of the old one run only at the upstream that is known.
func (a *Agent) applyReloadedSettings(s loader.AgentSettings) bool {
	changed := s.Agent.Upstream != a.Settings.Agent.Upstream || s.Agent.Service != a.Settings.Agent.Service
	if changed {
		a.origin.Store(&s.Agent.Service)
	}
	a.Log.Info().Bool("changed", changed).Str("service", s.Agent.Service).Str("upstream", s.Agent.Upstream).
		Msg("agent: settings read again")
	return changed
}

// originService returns the service of the host, from which its callers send requests.
func (a *Agent) originService() string {
	if name := a.origin.Load(); name != nil {
		return *name
	}
	return a.Settings.Agent.Service
}
