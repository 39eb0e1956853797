// Package router finds the route of a request and divides the requests of a route among its services.
package router

import (
	"net"
	"strings"

	"hornbeamcroft"
)

// Router looks up routes of one configuration. It is not safe for concurrent use; Match alone is.
type Router struct {
	table  hornbeamcroft.RouteTable
	byHost map[string]map[string]*entry
}

// entry is a route with the requests given to each target.
type entry struct {
	route hornbeamcroft.Route
	// credit is what each target is owed: it grows by the target's share with each request and falls by one with each
	// request that the target gets. The division is then exact over any span, which random draws are not.
	credit []float64
	sum    float64
}

// New returns a Router of the table.
func New(t hornbeamcroft.RouteTable) *Router {
	r := &Router{table: t, byHost: make(map[string]map[string]*entry)}
	for _, route := range t.Routes {
		host := strings.ToLower(route.Host)
		if r.byHost[host] == nil {
			r.byHost[host] = make(map[string]*entry)
		}
		e := &entry{route: route, credit: make([]float64, len(route.Targets))}
		for _, g := range route.Targets {
			e.sum += g.Weight
		}
		r.byHost[host][route.Prefix] = e
	}
	return r
}

// Table returns the configuration.
func (r *Router) Table() hornbeamcroft.RouteTable { return r.table }

// Match returns the route of the host whose prefix is the longest that begins the path.
func (r *Router) Match(host, path string) (hornbeamcroft.Route, bool) {
	e := r.find(host, path)
	if e == nil {
		return hornbeamcroft.Route{}, false
	}
	return e.route, true
}

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

// hostName returns the name in a Host header, without port and in lower case.
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
	best := -1
	for i, g := range e.route.Targets {
		e.credit[i] += g.Weight / e.sum
		if g.Weight > 0 && (best < 0 || e.credit[i] > e.credit[best]) {
			best = i
		}
	}
	e.credit[best]--
	return e.route.Targets[best].Service
}
