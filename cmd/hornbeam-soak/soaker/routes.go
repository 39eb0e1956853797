package soaker

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

const routesHost = "soak.example"

// kind is a kind of request.
type kind struct {
	name, method, service string
	idempotent            bool
	priority              int
	deadline, objective   time.Duration
}

var kinds = map[string]kind{
	"lookup":  {"lookup", http.MethodGet, "front", true, 2, 3 * time.Second, time.Second},
	"order":   {"order", http.MethodPost, "front", false, 0, 3 * time.Second, time.Second},
	"deposit": {"deposit", http.MethodPost, "deep", false, 1, 2 * time.Second, 300 * time.Millisecond},
	"audit":   {"audit", http.MethodGet, "deep", true, 1, 2 * time.Second, 300 * time.Millisecond},
}

// route returns the route of the requests of the kind.
func (k kind) route() operator.Route {
	return operator.Route{
		Name: "r-" + k.name, Host: routesHost, Prefix: "/" + k.name + "/", Service: k.service, Idempotent: k.idempotent,
		Priority: k.priority, Timeout: k.deadline, Objective: k.objective,
	}
}

// routes is the configuration that was written last.
type routes struct {
	mu      sync.Mutex
	version int64
	// at is when the store acknowledged it.
	at time.Time
}

// writeRoutes writes the next version. Each has one route of its own, in place of that of the version before.
func (s *Soaker) writeRoutes() {
	s.routes.mu.Lock()
	defer s.routes.mu.Unlock()
	s.routes.version++
	var list []operator.Route
	for _, k := range kinds {
		list = append(list, k.route())
	}
	list = append(list, probeKind(s.routes.version).route())
	value, err := operator.Operator{HealthPath: worker.HealthPath}.Document(s.routes.version, list)
	if err != nil {
		s.judge.Find("process", "", "configuration %d: %v", s.routes.version, err)
		return
	}
	s.store.Put(storeserver.KeyConfiguration, value)
	s.routes.at = time.Now()
}

// probeKind is the kind of the requests on the route that only one version has.
func probeKind(version int64) kind {
	return kind{"probe-" + strconv.FormatInt(version, 10), http.MethodGet, "front", true, 3, time.Second, time.Second}
}

// probeTime is the time between two questions which configuration a node has in force.
const probeTime = 250 * time.Millisecond

// probeRoutes asks a node, by requests on the newest route and on the one before it, which configuration is in force.
func (s *Soaker) probeRoutes(ctx context.Context, h *hoster.Hoster) {
	c := &caller.Caller{Address: h.Ingress}
	defer c.Close()
	// seen is the newest version that was in force in the given start of the node.
	var seen int64
	starts := 0
	for ctx.Err() == nil {
		time.Sleep(probeTime)
		s.routes.mu.Lock()
		version, ack := s.routes.version, s.routes.at
		s.routes.mu.Unlock()
		if n := h.Starts(); n != starts {
			starts, seen = n, 0
		}
		sent := time.Now()
		current := s.probe(c, h, version)
		dropped := 0
		if version > 1 {
			dropped = s.probe(c, h, version-1)
		}
		s.routes.mu.Lock()
		changed := s.routes.version != version
		s.routes.mu.Unlock()
		if changed || h.Starts() != starts {
			continue
		}
		late := s.judge.Late(ack, sent, h.Name)
		switch {
		case current == http.StatusNotFound && (seen >= version || late):
			s.judge.Find("routes", "", "%s answers 404 for version %d, %s after its acknowledgement; in force was %d",
				h.Name, version, sent.Sub(ack), seen)
		case current == http.StatusOK:
			seen = max(seen, version)
		}
		if dropped == http.StatusOK && (late || seen >= version) {
			s.judge.Find("routes", "", "%s serves a route that version %d dropped, %s after its acknowledgement",
				h.Name, version, sent.Sub(ack))
		}
	}
}

func (s *Soaker) probe(c *caller.Caller, h *hoster.Hoster, version int64) int {
	k := probeKind(version)
	return s.send(c, h, k, "probe-"+s.newID(), k.deadline, false).Status
}
