// Package upstream simulates one service instance: it runs requests for a configured time, makes child calls, injects
// faults and records each run.
package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

// Upstream is a simulated service instance. Create it with New.
type Upstream struct {
	// Settings must not change after New.
	Settings Settings
	// Exit ends the process when a request body names the service in Crash. New sets it to os.Exit; tests replace it.
	Exit func(code int)

	calls, control net.Listener
	limitListener  *limitListener
	// slots is a semaphore with room for Settings.Slots running requests.
	slots       chan struct{}
	model       *serviceModel
	childClient *childClient
	recorder    recorder
}

// New returns an upstream with open listeners. Run serves them.
func New(cfg Settings) (*Upstream, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	calls, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for calls")
	}
	control, err := net.Listen("tcp", cfg.ControlListen)
	if err != nil {
		_ = calls.Close()
		return nil, errors.Wrap(err, "listen for control")
	}
	recordFile, err := openRecordFile(cfg.Record)
	if err != nil {
		_, _ = calls.Close(), control.Close()
		return nil, err
	}
	return &Upstream{
		recorder: recorder{file: recordFile},
		Settings: cfg, Exit: os.Exit, calls: calls, control: control, limitListener: newLimitListener(calls, cfg.Connections),
		slots: make(chan struct{}, cfg.Slots), model: newServiceModel(cfg), childClient: newChildClient(cfg),
	}, nil
}

// Address returns the address on which calls are served.
func (u *Upstream) Address() string { return u.calls.Addr().String() }

// ControlAddress returns the address of the control endpoint.
func (u *Upstream) ControlAddress() string { return u.control.Addr().String() }

// Run serves until ctx ends. It then waits up to shutdownTimeout for running requests.
func (u *Upstream) Run(ctx context.Context) error {
	logx.Disable()
	handler, err := newHandler([]rest.Route{
		{Method: http.MethodPost, Path: "/:service/:type", Handler: u.serveCall},
		{Method: http.MethodGet, Path: "/health", Handler: u.serveHealth},
	})
	if err != nil {
		return err
	}
	control, err := newHandler([]rest.Route{
		{Method: http.MethodGet, Path: "/executed", Handler: u.serveExecuted},
		{Method: http.MethodGet, Path: "/control", Handler: u.serveControl},
		{Method: http.MethodPost, Path: "/control", Handler: u.serveSetControl},
		{Method: http.MethodPost, Path: "/silence-open", Handler: u.serveSilenceOpen},
	})
	if err != nil {
		return err
	}
	return serveAll(ctx, map[net.Listener]http.Handler{u.limitListener: handler, u.control: control})
}

// newHandler returns a handler that routes with go-zero's rest package. It is served without rest's own server and with
// all of rest's middleware off: the upstream limits load and time as its settings say, and rest cannot serve a given
// listener, which the limit on connections requires.
func newHandler(routes []rest.Route) (http.Handler, error) {
	server, err := rest.NewServer(rest.RestConf{})
	if err != nil {
		return nil, errors.Wrap(err, "create the REST server")
	}
	server.AddRoutes(routes)
	s, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "create the request handler")
	}
	return http.HandlerFunc(s.Serve), nil
}

// shutdownTimeout is how long running requests may take to finish after Run's context ends. Connections that are still
// open then are closed.
const shutdownTimeout = 5 * time.Second

// serveAll serves each listener with its handler until ctx ends or a server fails, then shuts all servers down.
func serveAll(ctx context.Context, handlers map[net.Listener]http.Handler) error {
	var wg sync.WaitGroup
	serveErrors := make(chan error, len(handlers))
	var servers []*http.Server
	for l, h := range handlers {
		s := &http.Server{Handler: h, ConnContext: withConn, ReadHeaderTimeout: time.Minute}
		servers = append(servers, s)
		wg.Go(func() { serveErrors <- s.Serve(l) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(shutdownCtx) != nil {
			_ = s.Close()
		}
	}
	wg.Wait()
	return err
}

// serveHealth handles GET /health.
func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	c := u.model.currentControl()
	healthy := !c.Silent && c.ErrorShare == 0 && c.SlowFactor <= 1
	switch u.Settings.Health {
	case HealthAlwaysGood:
		healthy = true
	case HealthAlwaysBad:
		healthy = false
	}
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Executed is the answer of GET /executed.
type Executed struct {
	Executions []Execution `json:"executions"`
	// Lost counts runs beyond the bound on recorded runs and failed writes to the record file.
	Lost int `json:"lost"`
}

// serveExecuted handles GET /executed.
func (u *Upstream) serveExecuted(w http.ResponseWriter, _ *http.Request) {
	runs, lost := u.recorder.snapshot()
	httpx.OkJson(w, Executed{Executions: runs, Lost: lost})
}

// serveControl handles GET /control.
func (u *Upstream) serveControl(w http.ResponseWriter, _ *http.Request) {
	httpx.OkJson(w, u.model.currentControl())
}

// serveSetControl handles POST /control. Fields that the body does not have keep their values.
func (u *Upstream) serveSetControl(w http.ResponseWriter, r *http.Request) {
	c := u.model.currentControl()
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.ErrorShare < 0 || c.ErrorShare > 1 || c.SlowFactor < 0 {
		http.Error(w, "need a JSON object with slow-factor >= 0, error-share from 0 to 1 and silent", http.StatusBadRequest)
		return
	}
	u.model.setControl(c)
}

// serveSilenceOpen handles POST /silence-open and answers with the number of silenced connections.
func (u *Upstream) serveSilenceOpen(w http.ResponseWriter, _ *http.Request) {
	httpx.OkJson(w, map[string]int{"connections": u.limitListener.silenceOpen()})
}
