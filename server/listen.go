package server

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"hornbeamcroft/drainer"
	"hornbeamcroft/loader"
)

// readHeaderTimeout bounds the time in which a connection must send the header of a request.
const readHeaderTimeout = 5 * time.Second

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 16 << 10

// stopFunc stops a listener, waiting for requests in flight until ctx ends.
type stopFunc func(ctx context.Context)

// newRest returns a rest server on the address with all middlewares off: the shedder, the breaker and the timeout would
// take admission decisions a second time, and the log writes a line for each request.
func newRest(name, address string, sec loader.SecuritySettings, opts ...rest.RunOption) (*rest.Server, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name: name, Mode: service.ProMode,
			// go-zero ends the process by itself some time after a signal; a planned stop may take longer.
			Shutdown: proc.ShutdownConf{WrapUpTime: time.Hour, WaitTime: 2 * time.Hour},
		},
		Host: host, Port: port, CertFile: sec.TLSCert, KeyFile: sec.TLSKey, Middlewares: rest.MiddlewaresConf{},
	}, opts...)
}

// start serves until the returned function is called. A failure to listen goes to ends.
func start(server *rest.Server, address string, ends chan<- error) (stopFunc, error) {
	// The rest server panics if it cannot listen; this check gives a readable error.
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	_ = l.Close()
	ready := make(chan *http.Server, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				ends <- errors.Errorf("listen on %s: %v", address, p)
			}
		}()
		server.StartWithOpts(func(hs *http.Server) {
			hs.ReadHeaderTimeout = readHeaderTimeout
			hs.MaxHeaderBytes = maxHeaderBytes
			ready <- hs
		})
	}()
	hs := <-ready
	return func(ctx context.Context) { _ = hs.Shutdown(ctx) }, nil
}

func (s *Server) listenPublic(ends chan<- error) (stopFunc, error) {
	address := s.Settings.Node.Listen
	var opts []rest.RunOption
	if s.acceptTLS != nil {
		opts = append(opts, rest.WithTLSConfig(s.acceptTLS))
	}
	server, err := newRest("hornbeam-node", address, s.Settings.Security, opts...)
	if err != nil {
		return nil, err
	}
	server.AddRoute(rest.Route{Method: http.MethodPost, Path: "/call/:service/:type", Handler: s.serveCall})
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: "/link", Handler: s.acceptLink})
	return start(server, address, ends)
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	// A call is counted until its whole answer is written, refusals while draining included.
	s.drain.count()
	defer s.drain.end(drainer.KindHTTP)
	if s.drain.active() {
		// The caller opens its next connection elsewhere, and none is kept that the stop would reset.
		w.Header().Set("Connection", "close")
	}
	vars := pathvar.Vars(r)
	s.receiver.Serve(w, r, vars["service"], vars["type"])
}

func (s *Server) listenOperators(ends chan<- error) (stopFunc, error) {
	address := s.Settings.Node.OperatorsListen
	server, err := newRest("hornbeam-node-operators", address, loader.SecuritySettings{})
	if err != nil {
		return nil, err
	}
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/", Handler: s.openOnLoopback(s.serveStatusPage)},
		{Method: http.MethodGet, Path: "/status", Handler: s.openOnLoopback(s.serveStatus)},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.authorized(s.serveMetrics)},
		{Method: http.MethodGet, Path: "/slo", Handler: s.authorized(s.serveSLO)},
		{Method: http.MethodPost, Path: "/drain", Handler: s.authorized(s.serveDrain)},
	})
	for _, name := range []string{"profile", "heap", "goroutine", "trace"} {
		server.AddRoute(rest.Route{
			Method: http.MethodGet, Path: "/debug/pprof/" + name, Handler: s.authorized(profile(name)),
		})
	}
	return start(server, address, ends)
}

// profile returns the handler of a runtime profile.
func profile(name string) http.HandlerFunc {
	switch name {
	case "profile":
		return pprof.Profile
	case "trace":
		return pprof.Trace
	}
	return pprof.Handler(name).ServeHTTP
}

// authorized lets requests with the operators' key through.
func (s *Server) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.hasKey(r) {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// openOnLoopback lets requests from the same host through without a key.
func (s *Server) openOnLoopback(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		if ip := net.ParseIP(host); (ip == nil || !ip.IsLoopback()) && !s.hasKey(r) {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (s *Server) hasKey(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && subtle.ConstantTimeCompare([]byte(key), []byte(s.Settings.Security.OperatorsKey)) == 1
}
