package main

import (
	"cmp"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

// hopsMaxBody bounds the bodies of callers in bytes. The accounts of the nodes have 8 MiB.
const hopsMaxBody = 6 << 20

// startHops starts a node without an upstream, and a last hop whose upstream is the worker, or what is at the address that the worker
// announces. Their configuration has the routes.
func startHops(t *testing.T, w *worker.Worker, routes []operator.Route) (ingress, lastHop *node) {
	t.Helper()
	is := is.New(t)
	store := &storeserver.StoreServer{}
	server := httptest.NewServer(store)
	stop := make(chan struct{})
	go store.Run(stop)
	is.NoErr(w.Start(freeAddress(t)))
	t.Cleanup(func() {
		w.Crash()
		close(stop)
		server.CloseClientConnections()
		server.Close()
	})
	program, address := build(t), strings.TrimPrefix(server.URL, "http://")
	ingress = startStreamNode(t, program, "in", address, "")
	lastHop = startStreamNode(t, program, "last", address, cmp.Or(w.Announced, w.Address()))
	value, err := operator.Operator{HealthPath: worker.HealthPath, MaxBody: hopsMaxBody}.Document(1, routes)
	is.NoErr(err)
	store.Put(storeserver.KeyConfiguration, value)
	lastHop.await(t, func() bool { return w.Announce(lastHop.announcements) == nil })
	return ingress, lastHop
}
