// Package profiler serves the profiles of the Go runtime over HTTP.
package profiler

import (
	"net/http"
	"net/http/pprof"

	"github.com/zeromicro/go-zero/rest"
)

// prefix precedes the name of a profile in its path.
const prefix = "/debug/pprof/"

// Profiler serves the profiles profile (processor time), heap, allocs, goroutine and trace below /debug/pprof/.
type Profiler struct {
	// Guard wraps the handler of each profile, for example to check a key; nil to serve all requests.
	Guard func(next http.HandlerFunc) http.HandlerFunc
}

// Routes returns the routes of the profiles.
func (p Profiler) Routes() []rest.Route {
	handlers := map[string]http.HandlerFunc{"profile": pprof.Profile, "trace": pprof.Trace}
	for _, name := range []string{"heap", "allocs", "goroutine"} {
		handlers[name] = pprof.Handler(name).ServeHTTP
	}
	var routes []rest.Route
	for name, handler := range handlers {
		if p.Guard != nil {
			handler = p.Guard(handler)
		}
		routes = append(routes, rest.Route{Method: http.MethodGet, Path: prefix + name, Handler: handler})
	}
	return routes
}
