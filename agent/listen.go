package agent

import (
	"bytes"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest"

	"hornbeamcroft/listener"
	"hornbeamcroft/platform"
	"hornbeamcroft/profiler"
)

// listenInternal opens the listening sockets for links of other nodes, announcements of the local upstream, readiness probes
// of the platform and metrics.
func (a *Agent) listenInternal(serverErrs chan<- error) error {
	cfg := a.Settings.Agent
	announcements := &platform.Announcements{
		OnHeartbeat: a.onHeartbeat, OnDepart: a.onDepart,
		OnRejected: func(instance string, err error) {
			a.Log.Warn().Str("instance", instance).Err(err).Msg("observer: malformed announcement")
		},
	}
	for _, l := range []listener.Listener{
		{
			Name: "links", Address: cfg.Links, MaxConns: a.shares.handshakes,
			Routes: []rest.Route{{Method: http.MethodGet, Path: "/link", Handler: a.links.Accept}},
		},
		{Name: "announcements", Address: cfg.Announcements, Routes: announcements.Routes(), MaxConns: a.shares.internal},
		{Name: "readiness", Address: cfg.Readiness, Routes: platform.ReadinessRoutes(a.ready), MaxConns: a.shares.internal},
		{
			Name: "metrics", Address: cfg.Metrics, MaxConns: a.shares.internal,
			Routes: append(profiler.Profiler{}.Routes(),
				rest.Route{Method: http.MethodGet, Path: "/metrics", Handler: a.serveMetrics},
				rest.Route{Method: http.MethodGet, Path: "/status", Handler: a.serveStatus},
				rest.Route{Method: http.MethodGet, Path: "/place", Handler: a.servePlace},
			),
		},
	} {
		l.OnEvict = func() { a.metrics.count("connections/closed-for-others/" + l.Name) }
		if _, err := l.Open(serverErrs); err != nil {
			return errors.Wrap(err, l.Name)
		}
	}
	return nil
}

// ready reports whether the platform may send callers to this node: a configuration is in force and no planned stop has
// begun.
func (a *Agent) ready() bool { return a.routes.Load() != nil && !a.stopping.Load() }

func (a *Agent) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	a.writeMetrics(&b)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := w.Write(b.Bytes()); err != nil {
		a.Log.Debug().Err(err).Msg("metrics: response not written")
	}
}
