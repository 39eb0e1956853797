package agent

import (
	"bytes"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest"

	"hornbeamcroft/listener"
	"hornbeamcroft/platform"
)

// listenInside opens the addresses for other nodes, the own upstream, the platform and the operators.
func (a *Agent) listenInside(ends chan<- error) error {
	cfg := a.Settings.Agent
	announcements := &platform.Announcements{
		OnHeartbeat: a.onHeartbeat, OnDepart: a.onDepart,
		OnRejected: func(instance string, err error) {
			a.Log.Warn().Str("instance", instance).Err(err).Msg("observer: announcement not understood")
		},
	}
	for _, l := range []listener.Listener{
		{
			Name: "links", Address: cfg.Links,
			Routes: []rest.Route{{Method: http.MethodGet, Path: "/link", Handler: a.links.Accept}},
		},
		{Name: "announcements", Address: cfg.Announcements, Routes: announcements.Routes()},
		{Name: "readiness", Address: cfg.Readiness, Routes: platform.ReadinessRoutes(a.ready)},
		{
			Name: "metrics", Address: cfg.Metrics,
			Routes: []rest.Route{{Method: http.MethodGet, Path: "/metrics", Handler: a.serveMetrics}},
		},
	} {
		if _, err := l.Open(ends); err != nil {
			return errors.Wrap(err, l.Name)
		}
	}
	return nil
}

// ready reports whether callers may be sent here: the configuration is known and no stop was asked for.
func (a *Agent) ready() bool { return a.routes.Load() != nil && !a.stopping.Load() }

func (a *Agent) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var b bytes.Buffer
	a.writeMetrics(&b)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if _, err := w.Write(b.Bytes()); err != nil {
		a.Log.Debug().Err(err).Msg("metrics: not delivered")
	}
}
