package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/attester"
	"hornbeamcroft/logger"
	"hornbeamcroft/observer"
	"hornbeamcroft/platform"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/portallocator"
	"hornbeamcroft/platform/standin/storeserver"
)

// proofPorts are apart from the ports of other tests.
var proofPorts = portallocator.PortAllocator{First: 7000, Last: 9899}

// proofUpstream is the address of the upstreams, which get no requests.
const proofUpstream = "127.0.0.1:9"

// proofNode is an agent. The store refuses its calls while refused is set.
type proofNode struct {
	*Agent
	refused atomic.Bool
}

// proofFleet is a fleet of agents of one zone in this process, with a stand-in store.
type proofFleet struct {
	store *storeserver.StoreServer
	nodes []*proofNode
	// shortWatches counts the calls that ask for a proof.
	shortWatches atomic.Int64
}

func startProofFleet(t *testing.T, n int) *proofFleet {
	t.Helper()
	f := &proofFleet{store: &storeserver.StoreServer{}}
	end := make(chan struct{})
	go f.store.Run(end)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		close(end)
	})
	for i := range n {
		node := &proofNode{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("waitMs") == "1" {
				f.shortWatches.Add(1)
			}
			if node.refused.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			f.store.ServeHTTP(w, r)
		}))
		t.Cleanup(server.CloseClientConnections)
		var b strings.Builder
		fmt.Fprintf(&b, "[agent]\nname = node-%d\nservice = s\nzone = z\nmemory-mb = 200\nbounds = graceS=6\n", i)
		for _, key := range []string{"way-in", "links", "announcements", "readiness", "metrics"} {
			address, err := proofPorts.Address()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&b, "%s = %s\n", key, address)
		}
		fmt.Fprintf(&b, "upstream = %s\n[platform-store]\naddress = %s\n", proofUpstream, strings.TrimPrefix(server.URL, "http://"))
		settings, bounds, err := platform.DecodeSettings([]byte(b.String()))
		if err != nil {
			t.Fatal(err)
		}
		node.Agent = &Agent{Settings: settings, Bounds: bounds, Log: logger.New(io.Discard, "info")}
		f.nodes = append(f.nodes, node)
	}
	for _, node := range f.nodes {
		wg.Go(func() {
			if err := node.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	return f
}

// configure stores a configuration, and waits until it is in force on all nodes. Each then counts as having tenants.
func (f *proofFleet) configure(t *testing.T, version int64) {
	t.Helper()
	document, err := operator.Operator{HealthPath: "/health"}.Document(version, []operator.Route{
		{Name: "r", Host: "h.example", Prefix: "/", Service: "s", Timeout: time.Second, Objective: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put(storeserver.KeyConfiguration, withTenants(t, document))
	for _, node := range f.nodes {
		f.await(t, "configuration in force", func() bool { return node.routesVersion() == version })
		node.proof.applied(hornbeamcroft.RouteTable{Version: version, HasTenants: true}, node.routes.Load().sum)
	}
}

// withTenants adds an empty table of tenants to a configuration.
func withTenants(t *testing.T, document []byte) []byte {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal(document, &object); err != nil {
		t.Fatal(err)
	}
	object["tenants"] = map[string]any{}
	document, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func (f *proofFleet) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not so after 10 s", what)
		}
	}
}

// proven reports whether all nodes have a proof younger than 2 s.
func (f *proofFleet) proven() bool {
	for _, node := range f.nodes {
		if age, proven := node.configurationAge(); !proven || age >= maxProofAge {
			return false
		}
	}
	return true
}

// staysProven returns the age of the oldest proof within the time; it fails the test at a proof of 2 s or more.
func (f *proofFleet) staysProven(t *testing.T, d time.Duration) (oldest time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, node := range f.nodes {
			age, proven := node.configurationAge()
			if oldest = max(oldest, age); !proven || age >= maxProofAge {
				t.Fatalf("node %d: proven %v, age %v", i, proven, age)
			}
		}
	}
	return oldest
}

// TestProofOfFleet guards against nodes without a proof in calm and while the store refuses them, against too many calls to the store,
// and against a proof that stays young while the store serves no node.
func TestProofOfFleet(t *testing.T) {
	const n, calm = 6, 4 * time.Second
	is := is.New(t)
	f := startProofFleet(t, n)
	f.configure(t, 1)
	for i, node := range f.nodes {
		node.applyAnnouncement(observer.Announcement{Instance: fmt.Sprint("i-", i), Born: 1, Service: "s", Address: proofUpstream, Slots: 1})
	}
	f.await(t, "all nodes known", func() bool {
		for _, node := range f.nodes {
			if _, known := node.rank(); known != n {
				return false
			}
		}
		return true
	})
	f.await(t, "all proven", f.proven)
	before := f.shortWatches.Load()
	oldest := f.staysProven(t, calm)
	calls := f.shortWatches.Load() - before
	t.Logf("calm: oldest proof %v, %d calls in %v", oldest, calls, calm)
	is.True(calls <= 2*int64(calm/(800*time.Millisecond)+1)) // two readers

	for i, node := range f.nodes { // the readers and one more
		node.proof.mu.Lock()
		node.refused.Store(node.proof.attester.Role() == attester.RoleReader || i == 0)
		node.proof.mu.Unlock()
	}
	t.Logf("refused: oldest proof %v", f.staysProven(t, calm))
	f.configure(t, 2)
	t.Logf("changed: oldest proof %v", f.staysProven(t, 2*time.Second))

	for _, node := range f.nodes {
		node.refused.Store(true)
	}
	time.Sleep(maxProofAge + time.Second)
	for _, node := range f.nodes {
		age, proven := node.configurationAge()
		is.True(proven && age > maxProofAge)
		node.refused.Store(false)
	}
	f.await(t, "proven again", f.proven)
}
