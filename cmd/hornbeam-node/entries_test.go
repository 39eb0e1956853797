package main

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

// TestUnreadableEntries guards against a configuration in which one route cannot be read, or is of an unknown kind, that is
// not in force, and against requests of the unreadable route that a route with a shorter prefix takes.
func TestUnreadableEntries(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	route := func(prefix string, fields map[string]any) map[string]any {
		entry := map[string]any{
			"host": routeHost, "prefix": prefix, "service": "s", "kind": "idempotent",
			"timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 200,
		}
		for name, value := range fields {
			entry[name] = value
		}
		return entry
	}
	put := func(version int, routes map[string]any) {
		value, err := json.Marshal(map[string]any{
			"version": version, "routes": routes,
			"services": map[string]any{"s": map[string]any{"healthPath": worker.HealthPath, "maxConnections": 100}},
		})
		is.NoErr(err)
		n.store.Put(storeserver.KeyConfiguration, value)
	}
	put(1, map[string]any{
		"all":    route("/", nil),
		"photos": route("/photos/", map[string]any{"kind": "upload"}),
		"newer":  route("/newer/", map[string]any{"timeoutMs": "900ms"}),
	})
	n.await(t, func() bool { return n.send(http.MethodGet, "/1", "a", time.Second).Status == http.StatusOK })
	is.Equal(n.send(http.MethodPost, "/photos/1", "b", time.Second).Status, http.StatusOK)
	o := n.send(http.MethodGet, "/newer/1", "c", time.Second)
	is.Equal(o.Status, http.StatusServiceUnavailable)
	is.True(o.RetryAfter > 0)

	// A later version with another unreadable route drops what it does not contain.
	put(2, map[string]any{"all": route("/", nil), "gone": 7})
	n.await(t, func() bool { return n.send(http.MethodGet, "/newer/2", "d", time.Second).Status == http.StatusOK })

	var page struct {
		Routes struct {
			Version  int64
			Problems []struct{ Entry, Reason string }
		}
	}
	resp, err := http.Get("http://" + n.metrics + "/status")
	is.NoErr(err)
	is.NoErr(json.NewDecoder(resp.Body).Decode(&page))
	_ = resp.Body.Close()
	is.Equal(page.Routes.Version, int64(2))
	is.Equal(len(page.Routes.Problems), 1)
	is.Equal(page.Routes.Problems[0].Entry, "route gone")
}
