package main

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/storeserver"
)

// TestUnreadableEntries guards against a configuration in which one route cannot be read, or is of an unknown kind, that is
// not in force, and against requests of the unreadable route that a route with a shorter prefix takes.
func TestUnreadableEntries(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	put := func(file string) {
		value, err := os.ReadFile("testdata/entries/" + file)
		is.NoErr(err)
		n.store.Put(storeserver.KeyConfiguration, value)
	}
	put("first.json")
	n.await(t, func() bool { return n.send(http.MethodGet, "/1", "a", time.Second).Status == http.StatusOK })
	is.Equal(n.send(http.MethodPost, "/photos/1", "b", time.Second).Status, http.StatusOK)
	o := n.send(http.MethodGet, "/newer/1", "c", time.Second)
	is.Equal(o.Status, http.StatusServiceUnavailable)
	is.True(o.RetryAfter > 0)

	// A later version with another unreadable route drops what it does not contain.
	put("second.json")
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
