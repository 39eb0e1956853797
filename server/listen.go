package server

import (
	"crypto/subtle"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"hornbeamcroft/drainer"
	"hornbeamcroft/listener"
)

func (s *Server) listenPublic(ends chan<- error) (listener.StopFunc, error) {
	sec := s.Settings.Security
	return listener.Listener{
		Name: "hornbeam-node", Address: s.Settings.Node.Listen, CertFile: sec.TLSCert, KeyFile: sec.TLSKey,
		TLS: s.acceptTLS,
		Routes: []rest.Route{
			{Method: http.MethodPost, Path: "/call/:service/:type", Handler: s.serveCall},
			{Method: http.MethodGet, Path: "/link", Handler: s.acceptLink},
		},
	}.Open(ends)
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

func (s *Server) listenOperators(ends chan<- error) (listener.StopFunc, error) {
	routes := []rest.Route{
		{Method: http.MethodGet, Path: "/", Handler: s.openOnLoopback(s.serveStatusPage)},
		{Method: http.MethodGet, Path: "/status", Handler: s.openOnLoopback(s.serveStatus)},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.authorized(s.serveMetrics)},
		{Method: http.MethodGet, Path: "/slo", Handler: s.authorized(s.serveSLO)},
		{Method: http.MethodPost, Path: "/drain", Handler: s.authorized(s.serveDrain)},
	}
	for _, name := range []string{"profile", "heap", "goroutine", "trace"} {
		routes = append(routes, rest.Route{
			Method: http.MethodGet, Path: "/debug/pprof/" + name, Handler: s.authorized(profile(name)),
		})
	}
	return listener.Listener{
		Name: "hornbeam-node-operators", Address: s.Settings.Node.OperatorsListen, Routes: routes,
	}.Open(ends)
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
