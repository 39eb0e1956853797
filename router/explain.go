package router

import (
	"slices"
	"strings"

	"hornbeamcroft"
)

// Explain returns the targets of the route with their parts of its requests, and which of them gets the next one. Only Service, Weight,
// Share and Next are set. It changes nothing, and is not safe for concurrent use with Service.
func (r *Router) Explain(route hornbeamcroft.Route) []hornbeamcroft.PlacementTarget {
	sum := 0.0
	for _, target := range route.Targets {
		sum += target.Weight
	}
	next := r.peek(route)
	list := make([]hornbeamcroft.PlacementTarget, 0, len(route.Targets))
	for _, target := range route.Targets {
		list = append(list, hornbeamcroft.PlacementTarget{
			Service: target.Service, Weight: target.Weight, Share: target.Weight / sum, Next: target.Service == next,
		})
	}
	return list
}

// peek returns the service that Service would return.
func (r *Router) peek(route hornbeamcroft.Route) string {
	host := strings.ToLower(route.Host)
	e := r.byHost[host][route.Prefix]
	if e == nil {
		return r.Service(route) // changes nothing without an entry
	}
	c := *e
	c.credit = slices.Clone(e.credit)
	view := Router{byHost: map[string]map[string]*entry{host: {route.Prefix: &c}}}
	return view.Service(route)
}
