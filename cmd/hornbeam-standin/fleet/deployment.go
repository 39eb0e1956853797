package fleet

import "time"

// Deployment describes services, their upstreams and the policy of the nodes. Every upstream has its own node.
type Deployment struct {
	Name string `json:"name"`
	// Zones lists the zones. The upstreams of each service are assigned to them in turn.
	Zones    []string  `json:"zones"`
	Services []Service `json:"services"`
	// UnusedServices is the number of services without upstreams that are added to the document to make it longer.
	UnusedServices int `json:"unused-services,omitempty"`
	// ZoneDelay is the delay between zones that the document states. The traffic on loopback is not delayed by it.
	ZoneDelay time.Duration `json:"zone-delay"`
	// Tries is the maximum number of sends of a child call by the code of an upstream; values below 1 count as 1.
	Tries  int    `json:"tries"`
	Policy Policy `json:"policy"`
	// Seed is the seed of the service times.
	Seed uint64 `json:"seed"`
}

// Policy holds the values of the section [policy] in the nodes' settings files.
type Policy struct {
	Balancer  string `json:"balancer"`
	Admission string `json:"admission"`
	Retries   string `json:"retries"`
}

// The policies that the benchmark compares: no overload control, a fixed concurrency limit, and the full
// policy of this build.
var (
	PolicyNone  = Policy{"round-robin", "none", "per-hop"}
	PolicyLimit = Policy{"round-robin", "fixed", "per-hop"}
	PolicyFull  = Policy{"score", "adaptive", "request"}
)

// Service describes one service, all of whose upstreams have the same settings.
type Service struct {
	Name string `json:"name"`
	// Count is the number of upstreams.
	Count int `json:"count"`
	// Slots is the number of requests that an upstream runs at the same time.
	Slots int `json:"slots"`
	// Connections is the number of connections that an upstream accepts for calls.
	Connections int `json:"connections"`
	// Calls names the services that the upstreams call.
	Calls []string `json:"calls"`
	Types []Type   `json:"types"`
}

// Type describes one request type of a service.
type Type struct {
	Name        string        `json:"name"`
	Importance  string        `json:"importance"`
	Idempotent  bool          `json:"idempotent"`
	Timeout     time.Duration `json:"timeout"`
	ServiceTime time.Duration `json:"service-time"`
	// Calls lists the child calls of a request as service/type.
	Calls []string `json:"calls"`
}

// Request types that a fleet adds to each service to test whether it is ready.
const (
	// probeType is idempotent, probeOnceType is not.
	probeType     = "probe"
	probeOnceType = "probe-once"
	// probePrefix starts the marker of each probe.
	probePrefix = "probe-"
)

// Idempotent returns whether each request type is idempotent, by service/type.
func (d Deployment) Idempotent() map[string]bool {
	types := make(map[string]bool)
	for _, s := range d.Services {
		for _, t := range s.withProbes() {
			types[s.Name+"/"+t.Name] = t.Idempotent
		}
	}
	return types
}

// withProbes returns the request types of the service with the probe types before them. A probe takes as long as the longest
// type: much shorter probes would lower the nodes' estimate of the normal service time and change the measurement.
func (s Service) withProbes() []Type {
	var probeTime time.Duration
	for _, t := range s.Types {
		probeTime = max(probeTime, t.ServiceTime)
	}
	return append([]Type{
		{Name: probeType, Importance: "low", Idempotent: true, Timeout: time.Second, ServiceTime: probeTime},
		{Name: probeOnceType, Importance: "high", Timeout: time.Second, ServiceTime: probeTime},
	}, s.Types...)
}
