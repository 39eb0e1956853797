// Package upstream is the stand-in of one service instance.
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

// Upstream runs requests as Settings describe and records each run. Use New.
type Upstream struct {
	// Settings are not changed after New.
	Settings Settings
	// Exit ends the process when a request's body asks for a crash; os.Exit if nil.
	Exit func(code int)

	calls, control net.Listener
	gate           *gate
	slots          chan struct{}
	pace           *pace
	children       *children
	recorder       recorder
}

// New opens the listeners of an upstream.
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
	record, err := openRecord(cfg.Record)
	if err != nil {
		_, _ = calls.Close(), control.Close()
		return nil, err
	}
	return &Upstream{
		recorder: recorder{file: record},
		Settings: cfg, Exit: os.Exit, calls: calls, control: control, gate: newGate(calls, cfg.Connections),
		slots: make(chan struct{}, cfg.Slots), pace: newPace(cfg), children: newChildren(cfg),
	}, nil
}

// Address returns the address for calls.
func (u *Upstream) Address() string { return u.calls.Addr().String() }

// ControlAddress returns the address of the control endpoint.
func (u *Upstream) ControlAddress() string { return u.control.Addr().String() }

// Run serves until ctx ends. Requests that still run are given stopTime to finish.
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
	return serveAll(ctx, map[net.Listener]http.Handler{u.gate: handler, u.control: control})
}

// newHandler routes with go-zero's rest. All of its middlewares are off: the stand-in sheds and times out as its
// settings say, and rest does not offer an own listener, which the limit on connections needs.
func newHandler(routes []rest.Route) (http.Handler, error) {
	server, err := rest.NewServer(rest.RestConf{})
	if err != nil {
		return nil, errors.Wrap(err, "router")
	}
	server.AddRoutes(routes)
	s, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "router")
	}
	return http.HandlerFunc(s.Serve), nil
}

// stopTime is the time that running requests have to finish after a stop.
const stopTime = 5 * time.Second

func serveAll(ctx context.Context, handlers map[net.Listener]http.Handler) error {
	var wg sync.WaitGroup
	faults := make(chan error, len(handlers))
	var servers []*http.Server
	for l, h := range handlers {
		s := &http.Server{Handler: h, ConnContext: connContext, ReadHeaderTimeout: time.Minute}
		servers = append(servers, s)
		wg.Go(func() { faults <- s.Serve(l) })
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-faults:
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(stop) != nil {
			_ = s.Close()
		}
	}
	wg.Wait()
	return err
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	c := u.pace.get()
	good := !c.Silent && c.ErrorShare == 0 && c.SlowFactor <= 1
	switch u.Settings.Health {
	case HealthAlwaysGood:
		good = true
	case HealthAlwaysBad:
		good = false
	}
	if !good {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Executed is the answer of GET /executed.
type Executed struct {
	Executions []Execution `json:"executions"`
	// Lost counts runs that the record could not hold.
	Lost int `json:"lost"`
}

func (u *Upstream) serveExecuted(w http.ResponseWriter, _ *http.Request) {
	runs, lost := u.recorder.list()
	httpx.OkJson(w, Executed{Executions: runs, Lost: lost})
}

func (u *Upstream) serveControl(w http.ResponseWriter, _ *http.Request) {
	httpx.OkJson(w, u.pace.get())
}

func (u *Upstream) serveSetControl(w http.ResponseWriter, r *http.Request) {
	c := u.pace.get()
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.ErrorShare < 0 || c.ErrorShare > 1 || c.SlowFactor < 0 {
		http.Error(w, "need slow-factor >= 0, error-share 0 to 1 and silent as JSON", http.StatusBadRequest)
		return
	}
	u.pace.set(c)
}

func (u *Upstream) serveSilenceOpen(w http.ResponseWriter, _ *http.Request) {
	httpx.OkJson(w, map[string]int{"connections": u.gate.silenceOpen()})
}
