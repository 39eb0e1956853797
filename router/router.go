// Package router finds the route of a request and divides the requests of a route among its target services by
// weight.
package router

import (
	"net"
	"strings"

	"hornbeamcroft"
)

// Router looks up the routes of one configuration. Match may be called concurrently; Service is not safe for
// concurrent use.
type Router struct {
	table hornbeamcroft.RouteTable
	// byHost holds the entries by host name in lower case and path prefix.
	byHost map[string]map[string]*entry
}

// entry is a route with the state of its division.
type entry struct {
	route hornbeamcroft.Route
	// credit holds for each target the number of requests that it is due: it grows by the target's share of the weights
	// with each request of the route, and falls by one with each request that the target gets. The division is thus
	// exact over any span, unlike with random selection.
	credit []float64
	// weightSum is the sum of the weights of the targets.
	weightSum float64
}

// New returns a Router for the routes of t.
func New(t hornbeamcroft.RouteTable) *Router {
	r := &Router{table: t, byHost: make(map[string]map[string]*entry)}
	for _, route := range t.Routes {
		host := strings.ToLower(route.Host)
		if r.byHost[host] == nil {
			r.byHost[host] = make(map[string]*entry)
		}
		e := &entry{route: route, credit: make([]float64, len(route.Targets))}
		for _, target := range route.Targets {
			e.weightSum += target.Weight
		}
		r.byHost[host][route.Prefix] = e
	}
	return r
}

// Table returns the configuration of the Router.
func (r *Router) Table() hornbeamcroft.RouteTable { return r.table }

// Match returns the route of the host with the longest prefix of the path, or false if there is none.
func (r *Router) Match(host, path string) (hornbeamcroft.Route, bool) {
	e := r.find(host, path)
	if e == nil {
		return hornbeamcroft.Route{}, false
	}
	return e.route, true
}

// find returns the entry of the route that Match returns, or nil.
func (r *Router) find(host, path string) *entry {
	prefixes := r.byHost[hostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if e := prefixes[path[:end+1]]; e != nil {
			return e
		}
	}
	return nil
}

// hostName returns the name in a Host header without the port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns the service that gets the next request of the route.
func (r *Router) Service(route hornbeamcroft.Route) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	e := r.byHost[strings.ToLower(route.Host)][route.Prefix]
	if e == nil {
		return route.Targets[0].Service
	}
	selected := -1
	for i, target := range e.route.Targets {
		e.credit[i] += target.Weight / e.weightSum
		if target.Weight > 0 && (selected < 0 || e.credit[i] > e.credit[selected]) {
			selected = i
		}
	}
	e.credit[selected]--
	return e.route.Targets[selected].Service
}
