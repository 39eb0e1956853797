package router

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft"
)

func route(name, host, prefix string, targets ...hornbeamcroft.Target) hornbeamcroft.Route {
	return hornbeamcroft.Route{Name: name, Host: host, Prefix: prefix, Targets: targets}
}

// TestMatch guards against a request that matches a route of another host, or a route with a shorter prefix than
// another matching one.
func TestMatch(t *testing.T) {
	is := is.New(t)
	r := New(hornbeamcroft.RouteTable{Routes: []hornbeamcroft.Route{
		route("root", "a.example", "/"), route("long", "a.example", "/x/y/"), route("short", "a.example", "/x/"),
		route("other", "b.example", "/x/"),
	}})
	for _, c := range [][3]string{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/xy", "root"},
		{"A.Example:80", "/x/", "short"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		got, ok := r.Match(c[0], c[1])
		is.Equal(got.Name, c[2])
		is.Equal(ok, c[2] != "")
	}
}

// TestWeights guards against a division of requests that differs from the weights, and against an explanation that does not name the next
// service.
func TestWeights(t *testing.T) {
	is := is.New(t)
	split := route("r", "a", "/", hornbeamcroft.Target{Service: "x", Weight: 90},
		hornbeamcroft.Target{Service: "y", Weight: 10}, hornbeamcroft.Target{Service: "z"})
	r := New(hornbeamcroft.RouteTable{Routes: []hornbeamcroft.Route{split}})
	counts := make(map[string]int)
	for range 200 {
		next := slices.IndexFunc(r.Explain(split), func(e hornbeamcroft.PlacementTarget) bool { return e.Next })
		service := r.Service(split)
		is.Equal(split.Targets[next].Service, service) // the explanation names it and changes nothing
		counts[service]++
	}
	is.Equal(counts["x"], 180)
	is.Equal(counts["y"], 20)
	is.Equal(counts["z"], 0)
}
