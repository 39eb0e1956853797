package server

import (
	"crypto/subtle"
	"net"
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"hornbeamcroft/drainer"
	"hornbeamcroft/listener"
	"hornbeamcroft/profiler"
)

// listenPublic opens the listener for external callers, the local upstream and links of other nodes.
func (s *Server) listenPublic(serveErrs chan<- error) (listener.StopFunc, error) {
	security := s.Settings.Security
	return listener.Listener{
		Name: "hornbeam-node", Address: s.Settings.Node.Listen, CertFile: security.TLSCert, KeyFile: security.TLSKey,
		TLS: s.acceptTLS,
		Routes: []rest.Route{
			{Method: http.MethodPost, Path: "/call/:service/:type", Handler: s.serveCall},
			{Method: http.MethodGet, Path: "/link", Handler: s.acceptLink},
		},
	}.Open(serveErrs)
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	// A call counts as in flight until its whole answer is written, also if it is refused because the node is draining.
	s.drain.beginHTTP()
	defer s.drain.end(drainer.KindHTTP)
	if s.drain.isDraining() {
		// The caller opens its next connection to another node, and the stop resets no idle connection.
		w.Header().Set("Connection", "close")
	}
	vars := pathvar.Vars(r)
	s.receiver.Serve(w, r, vars["service"], vars["type"])
}

// listenOperators opens the listener for the operators' endpoints.
func (s *Server) listenOperators(serveErrs chan<- error) (listener.StopFunc, error) {
	routes := []rest.Route{
		{Method: http.MethodGet, Path: "/", Handler: s.requireRemoteKey(s.serveStatusPage)},
		{Method: http.MethodGet, Path: "/status", Handler: s.requireRemoteKey(s.serveStatus)},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.requireKey(s.serveMetrics)},
		{Method: http.MethodGet, Path: "/slo", Handler: s.requireKey(s.serveSLO)},
		{Method: http.MethodPost, Path: "/drain", Handler: s.requireKey(s.serveDrain)},
	}
	routes = append(routes, profiler.Profiler{Guard: s.requireKey}.Routes()...)
	return listener.Listener{
		Name: "hornbeam-node-operators", Address: s.Settings.Node.OperatorsListen, Routes: routes,
	}.Open(serveErrs)
}

// requireKey rejects requests without the operators' key.
func (s *Server) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.hasOperatorsKey(r) {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// requireRemoteKey rejects requests without the operators' key, unless they come from a loopback address.
func (s *Server) requireRemoteKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		if ip := net.ParseIP(host); (ip == nil || !ip.IsLoopback()) && !s.hasOperatorsKey(r) {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

// hasOperatorsKey reports whether the request carries the operators' key as bearer token. The comparison takes constant
// time.
func (s *Server) hasOperatorsKey(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && subtle.ConstantTimeCompare([]byte(key), []byte(s.Settings.Security.OperatorsKey)) == 1
}
