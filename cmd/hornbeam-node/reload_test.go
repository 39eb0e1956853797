package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// origin returns the service from which the attempt was sent, as the upstream received it; empty if it did not run.
func (n *node) origin(attempt string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.runs {
		if r.Attempt == attempt {
			return r.Origin
		}
	}
	return ""
}

// TestServiceChanged guards against a node that goes on as one of its old service after the settings have named another one, with or
// without a signal: its callers would count as those of the old service, and an upstream of the new one would not be used.
func TestServiceChanged(t *testing.T) {
	for _, signal := range []bool{true, false} {
		t.Run(fmt.Sprintf("signal %t", signal), func(t *testing.T) {
			is := is.New(t)
			n := startNode(t)
			n.configure(t, 1)
			n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a", time.Second).Status == http.StatusOK })
			is.Equal(n.origin("a"), "s")
			text, err := os.ReadFile(n.settings)
			is.NoErr(err)
			is.NoErr(os.WriteFile(n.settings, bytes.Replace(text, []byte("service = s\n"), []byte("service = t\n"), 1), 0o600))
			if signal {
				is.NoErr(n.cmd.Process.Signal(syscall.SIGHUP))
			}
			changed := 0
			n.await(t, func() bool {
				id := fmt.Sprintf("b%d", changed)
				changed++
				n.send(http.MethodGet, "/get/1", id, 200*time.Millisecond)
				return n.origin(id) == "t"
			})
			is.NoErr(n.cmd.Wait()) // a planned stop, after which the platform starts the node again
			log, err := os.ReadFile(n.log)
			is.NoErr(err)
			is.True(bytes.Contains(log, []byte("agent: stopped")))
		})
	}
}
