package soaker

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hornbeamcroft/cmd/hornbeam-soak/hoster"
	"hornbeamcroft/cmd/hornbeam-soak/judge"
	"hornbeamcroft/platform/standin/caller"
	"hornbeamcroft/platform/standin/operator"
	"hornbeamcroft/platform/standin/storeserver"
	"hornbeamcroft/platform/standin/worker"
)

// routeHost is the host name of all routes.
const routeHost = "soak.example"

// requestType is a type of requests. Its requests have a route of their own.
type requestType struct {
	name, method, service string
	idempotent            bool
	// priority is the priority of the route; 0 is the most important.
	priority            int
	deadline, objective time.Duration
}

var requestTypes = map[string]requestType{
	"lookup":  {"lookup", http.MethodGet, "front", true, 2, 3 * time.Second, time.Second},
	"order":   {"order", http.MethodPost, "front", false, 0, 3 * time.Second, time.Second},
	"deposit": {"deposit", http.MethodPost, "deep", false, 1, 2 * time.Second, 300 * time.Millisecond},
	"audit":   {"audit", http.MethodGet, "deep", true, 1, 2 * time.Second, 300 * time.Millisecond},
	// The following are sent by steps only.
	judge.TypeLong:   {judge.TypeLong, http.MethodPost, "front", false, 1, 9 * time.Second, 8 * time.Second},
	judge.TypePoison: {judge.TypePoison, http.MethodGet, "front", true, 1, 3 * time.Second, time.Second},
	"statement":      {"statement", http.MethodPost, "deep", false, 1, 6 * time.Second, 2 * time.Second},
}

// longDeadline and longObjective are those of all requests if Soaker.Work is set.
const longDeadline, longObjective = 5 * time.Second, 4 * time.Second

// types returns the request types of the run by name.
func (s *Soaker) types() map[string]requestType {
	if s.Work == 0 {
		return requestTypes
	}
	long := make(map[string]requestType, len(requestTypes))
	for name, rt := range requestTypes {
		rt.deadline, rt.objective = longDeadline, longObjective
		long[name] = rt
	}
	return long
}

// route returns the route of the request type.
func (rt requestType) route() operator.Route {
	return operator.Route{
		Name: "r-" + rt.name, Host: routeHost, Prefix: "/" + rt.name + "/", Service: rt.service, Idempotent: rt.idempotent,
		Priority: rt.priority, Timeout: rt.deadline, Objective: rt.objective,
	}
}

// writtenConfiguration is the version of the configuration that was written last.
type writtenConfiguration struct {
	mu      sync.Mutex
	version int64
	value   []byte
	// ackedAt is when the store acknowledged the write.
	ackedAt time.Time
}

// writeConfiguration writes the next version of the configuration to the store. Besides the routes of all request
// types, each version has a probe route that no other version has.
func (s *Soaker) writeConfiguration() {
	s.configuration.mu.Lock()
	defer s.configuration.mu.Unlock()
	s.configuration.version++
	var list []operator.Route
	for _, rt := range s.types() {
		list = append(list, rt.route())
	}
	list = append(list, probeType(s.configuration.version).route())
	value, err := operator.Operator{HealthPath: worker.HealthPath}.Document(s.configuration.version, list)
	if err != nil {
		s.judge.AddFinding("process", "", "configuration %d: %v", s.configuration.version, err)
		return
	}
	s.store.Put(storeserver.KeyConfiguration, value)
	s.configuration.value, s.configuration.ackedAt = value, time.Now()
}

// rewriteConfiguration writes the last version again after the store has lost it, as an operator does.
func (s *Soaker) rewriteConfiguration() {
	s.configuration.mu.Lock()
	defer s.configuration.mu.Unlock()
	s.store.Put(storeserver.KeyConfiguration, s.configuration.value)
}

// probeType returns the request type whose route only the given version of the configuration has.
func probeType(version int64) requestType {
	return requestType{"probe-" + strconv.FormatInt(version, 10), http.MethodGet, "front", true, 3, time.Second, time.Second}
}

// probeInterval is the time between two probes of a node.
const probeInterval = 250 * time.Millisecond

// probeConfiguration finds out which version of the configuration a node has applied, by requests on the probe routes
// of the newest version and of the one before it, until ctx ends. It adds a finding if the node applies a version too
// late, or goes back to an older one.
func (s *Soaker) probeConfiguration(ctx context.Context, h *hoster.Hoster) {
	c := &caller.Caller{Address: h.Ingress}
	defer c.Close()
	// seen is the newest version that the node was observed to have applied since its last start.
	var seen int64
	startCount := 0
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		s.configuration.mu.Lock()
		version, ack := s.configuration.version, s.configuration.ackedAt
		s.configuration.mu.Unlock()
		if n := h.StartCount(); n != startCount {
			startCount, seen = n, 0
		}
		sent := time.Now()
		newStatus := s.probe(c, h, version)
		oldStatus := 0
		if version > 1 {
			oldStatus = s.probe(c, h, version-1)
		}
		s.configuration.mu.Lock()
		changed := s.configuration.version != version
		s.configuration.mu.Unlock()
		if changed || h.StartCount() != startCount {
			continue
		}
		mustApply := s.judge.MustApply(ack, sent, h.Name)
		switch {
		case newStatus == http.StatusNotFound && (seen >= version || mustApply):
			s.judge.AddFinding("routes", "", "%s answers 404 for version %d, %s after its acknowledgement; newest version seen: %d",
				h.Name, version, sent.Sub(ack), seen)
		case newStatus == http.StatusOK:
			seen = max(seen, version)
		}
		if oldStatus == http.StatusOK && (mustApply || seen >= version) {
			s.judge.AddFinding("routes", "", "%s serves a route that version %d removed, %s after the acknowledgement of that version",
				h.Name, version, sent.Sub(ack))
		}
	}
}

// probe sends a request on the probe route of the version and returns the HTTP status, or zero if there was no answer.
func (s *Soaker) probe(c *caller.Caller, h *hoster.Hoster, version int64) int {
	rt := probeType(version)
	return s.send(c, h, rt, "probe-"+s.newID(), rt.deadline, false).Status
}
