package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

const (
	// keyMark is a part of each key that the test sends.
	keyMark   = "3b9e1c-secret"
	acmeKey   = keyMark + "-acme"
	globexKey = keyMark + "-globex"
	otherKey  = keyMark + "-other"
)

// configureTenants writes a configuration with the tenants that has a route "get", a non-idempotent route "post" and a public route
// "open".
func (n *node) configureTenants(t *testing.T, version int64, tenants []operator.Tenant) []byte {
	t.Helper()
	var routes []operator.Route
	for _, name := range []string{"get", "post", "open"} {
		routes = append(routes, operator.Route{
			Name: name, Host: routeHost, Prefix: "/" + name + "/", Service: "s", Idempotent: name != "post", Public: name == "open",
			Timeout: routeTimeout, Objective: routeTimeout / 4,
		})
	}
	value, err := operator.Operator{HealthPath: worker.HealthPath, Tenants: tenants}.Document(version, routes)
	if err != nil {
		t.Fatal(err)
	}
	n.store.Put(storeserver.KeyConfiguration, value)
	return value
}

// sendFields sends one attempt with further header lines.
func (n *node) sendFields(method, target, id string, fields ...string) caller.Outcome {
	c := &caller.Caller{Address: n.ingress}
	defer c.Close()
	return c.Send(caller.Attempt{ID: id, Method: method, Host: routeHost, Target: target, Remaining: time.Second, Fields: fields})
}

// received returns the values of the field in all requests with the attempt id that reached the upstream.
func (n *node) received(id, field string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var values []string
	for _, h := range n.headers[id] {
		values = append(values, h[field]...)
	}
	return values
}

// TestTenants guards against requests that are served, refused or attributed wrongly, and against an API key that reaches the
// upstream or what the node shows of itself.
func TestTenants(t *testing.T) {
	is := is.New(t)
	n := startNode(t)
	n.configureTenants(t, 1, nil)
	n.await(t, func() bool { return n.send(http.MethodGet, "/get/1", "a", time.Second).Status == http.StatusOK })
	is.Equal(n.sendFields(http.MethodGet, "/get/1", "plain", "Authorization: Basic plain", "Tenant-Id: mine").Status, http.StatusOK)
	is.Equal(n.received("plain", "Authorization"), []string{"Basic plain"}) // without tenants, ordinary fields
	is.Equal(n.received("plain", "Tenant-Id"), []string{"mine"})

	value := n.configureTenants(t, 2, []operator.Tenant{{Name: "acme", APIKeys: []string{acmeKey}}, {Name: "globex", APIKeys: []string{globexKey}, Priority: 2}})
	n.await(t, func() bool {
		return n.send(http.MethodGet, "/get/1", "b", time.Second).Status == http.StatusUnauthorized
	})
	t.Run("identity", n.identity)
	t.Run("retries", n.retriesWithKey)
	t.Run("child call", n.childCall)
	t.Run("place", n.place)
	t.Run("unreadable", func(t *testing.T) { n.unreadableTenants(t, value) })
	t.Run("no key shown", n.noKeyShown)
}

func (n *node) identity(t *testing.T) {
	const ok, unauthorized = http.StatusOK, http.StatusUnauthorized
	for i, c := range []struct {
		target string
		fields []string
		status int
		// tenant is the name that the upstream receives; empty if it receives none.
		tenant string
	}{
		{"/get/1", []string{"Authorization: Bearer " + acmeKey}, ok, "acme"},
		{"/post/1", []string{"authorization: bEARER   " + globexKey + "  "}, ok, "globex"},
		{"/get/1", []string{"Authorization: Bearer " + acmeKey, "Tenant-Id: globex", "tenant-id: x"}, ok, "acme"},
		{"/get/1", []string{"Authorization: Bearer " + acmeKey, "Connection: authorization, tenant-id"}, ok, "acme"},
		{"/get/1", []string{"Authorization: Bearer " + otherKey}, unauthorized, ""},
		{"/get/1", []string{"Authorization: Bearer " + acmeKey, "Authorization: Bearer " + acmeKey}, unauthorized, ""},
		{"/get/1", []string{"Authorization: Basic " + acmeKey}, unauthorized, ""},
		{"/get/1", []string{"Tenant-Id: acme"}, unauthorized, ""},
		{"/open/1", nil, ok, ""},
		{"/open/1", []string{"Tenant-Id: acme"}, ok, ""},
		{"/open/1", []string{"Authorization: Bearer " + otherKey}, ok, ""},
		{"/open/1", []string{"Authorization: Bearer " + acmeKey}, ok, "acme"},
		{"/other/1", []string{"Authorization: Bearer " + otherKey}, http.StatusNotFound, ""},
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			id := fmt.Sprintf("identity-%d", i)
			is.Equal(n.sendFields(http.MethodGet, c.target, id, c.fields...).Status, c.status)
			is.Equal(strings.Join(n.received(id, "Tenant-Id"), ","), c.tenant)
			is.Equal(len(n.received(id, "Attempt-Id")) == 1, c.status == ok)
		})
	}
}

// retriesWithKey sends requests while the upstream refuses some and loses answers of others.
func (n *node) retriesWithKey(t *testing.T) {
	is := is.New(t)
	n.worker.SetFaults(worker.Faults{Refuse: 0.3, Lose: 0.2})
	defer n.worker.SetFaults(worker.Faults{})
	repeated := 0
	for i := range 60 {
		id := fmt.Sprintf("retry-%d", i)
		n.sendFields(http.MethodGet, []string{"/get/1", "/post/1"}[i%2], id, "Authorization: Bearer "+acmeKey, "Tenant-Id: globex")
		tenants := n.received(id, "Tenant-Id")
		is.Equal(len(tenants), len(n.received(id, "Attempt-Id")))
		is.True(!slices.ContainsFunc(tenants, func(s string) bool { return s != "acme" }))
		if len(tenants) > 1 {
			repeated++
		}
	}
	t.Logf("%d of 60 requests were sent more than once", repeated)
	is.True(repeated > 0)
}

// childCall makes a call from a running request of a tenant, as its upstream would.
func (n *node) childCall(t *testing.T) {
	is := is.New(t)
	n.worker.SetFaults(worker.Faults{Slow: 10}) // a request takes 0.1 s to 0.3 s
	defer n.worker.SetFaults(worker.Faults{})
	ended := make(chan caller.Outcome)
	go func() { ended <- n.sendFields(http.MethodGet, "/get/1", "parent", "Authorization: Bearer "+acmeKey) }()
	n.await(t, func() bool { return len(n.received("parent", "Attempt-Id")) == 1 })
	is.Equal(n.sendFields(http.MethodGet, "/get/1", "parent.1").Status, http.StatusUnauthorized) // calls use public routes
	n.sendFields(http.MethodGet, "/open/1", "parent.2", "Tenant-Id: acme")
	is.Equal(len(n.received("parent.2", "Attempt-Id")), 1)
	is.Equal(len(n.received("parent.2", "Tenant-Id")), 0)
	is.Equal((<-ended).Status, http.StatusOK)
}

// place asks the node where a request of a tenant would go. It guards against an answer that is not served, that lacks the reports of the
// upstream, or that sends a request.
func (n *node) place(t *testing.T) {
	is := is.New(t)
	is.Equal(n.sendFields(http.MethodGet, "/get/1", "placed", "Authorization: Bearer "+acmeKey).Status, http.StatusOK)
	n.mu.Lock()
	requests := len(n.headers)
	n.mu.Unlock()
	resp, err := http.Get("http://" + n.metrics + "/place?tenant=acme&path=/get/1&host=" + routeHost)
	is.NoErr(err)
	defer resp.Body.Close()
	var p hornbeamcroft.Placement
	is.NoErr(json.NewDecoder(resp.Body).Decode(&p))
	is.Equal(p.Refused, nil)
	is.Equal(p.Tenant.Name, "acme")
	is.Equal(len(p.Targets), 1)
	is.True(p.Targets[0].InUse)
	is.Equal(len(p.Targets[0].Candidates), 1)
	is.Equal(p.Targets[0].Candidates[0].LeftOut, "")
	is.True(p.Targets[0].Candidates[0].Report.Limit > 0)
	is.Equal(p.Targets[0].Admission.Share, 1.0)
	n.mu.Lock()
	defer n.mu.Unlock()
	is.Equal(len(n.headers), requests)
}

// unreadableTenants replaces the table of tenants by a text.
func (n *node) unreadableTenants(t *testing.T, value []byte) {
	is := is.New(t)
	begin := bytes.Index(value, []byte(`"tenants":{`))
	end := begin + bytes.Index(value[begin:], []byte("}}")) + len("}}")
	value = slices.Replace(bytes.Clone(value), begin, end, []byte(`"tenants":"`+acmeKey+`"`)...)
	n.store.Put(storeserver.KeyConfiguration, bytes.Replace(value, []byte(`"version":2`), []byte(`"version":3`), 1))
	n.await(t, func() bool {
		return n.sendFields(http.MethodGet, "/get/1", "unreadable-1", "Authorization: Bearer "+otherKey).Status == http.StatusServiceUnavailable
	})
	o := n.sendFields(http.MethodGet, "/get/1", "unreadable-2", "Authorization: Bearer "+acmeKey)
	is.Equal(o.Status, http.StatusServiceUnavailable)
	is.True(o.RetryAfter > 0)
	is.Equal(len(n.received("unreadable-2", "Attempt-Id")), 0)
	is.Equal(n.sendFields(http.MethodGet, "/open/1", "unreadable-3", "Authorization: Bearer "+acmeKey).Status, http.StatusOK)
}

// noKeyShown stops the node and looks for keys in everything that it has sent to the upstream, and in what it shows of itself.
func (n *node) noKeyShown(t *testing.T) {
	is := is.New(t)
	for _, path := range []string{"/metrics", "/status", "/debug/pprof/goroutine?debug=2", "/place?host=" + routeHost + "&path=/get/1"} {
		resp, err := http.Get("http://" + n.metrics + path)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.True(len(text) > 0)
		is.True(!bytes.Contains(text, []byte(keyMark)))
	}
	is.NoErr(n.cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(n.cmd.Wait())
	log, err := os.ReadFile(n.log)
	is.NoErr(err)
	is.True(bytes.Contains(log, []byte("unknown API key"))) // the reason is logged
	is.True(bytes.Contains(log, []byte(`"tenant":"acme"`)))
	is.True(!bytes.Contains(log, []byte(keyMark)))
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, headers := range n.headers {
		if strings.Contains(fmt.Sprint(headers), keyMark) {
			t.Errorf("the upstream received a key with %s", id)
		}
	}
}
