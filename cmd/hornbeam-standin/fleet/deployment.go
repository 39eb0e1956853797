package fleet

import "time"

// Deployment describes services and their upstreams. Every upstream has its own node.
type Deployment struct {
	Name string `json:"name"`
	// Zones get the upstreams of each service in turn.
	Zones    []string  `json:"zones"`
	Services []Service `json:"services"`
	// UnusedServices adds services without upstreams to the document, to make it longer.
	UnusedServices int `json:"unused-services,omitempty"`
	// ZoneDelay is written into the document; it is not added to the traffic on loopback.
	ZoneDelay time.Duration `json:"zone-delay"`
	// Tries is the number of times that each upstream's own code tries a child call.
	Tries  int    `json:"tries"`
	Policy Policy `json:"policy"`
	Seed   uint64 `json:"seed"`
}

// Policy is the section [policy] of the nodes' settings.
type Policy struct {
	Balancer  string `json:"balancer"`
	Admission string `json:"admission"`
	Retries   string `json:"retries"`
}

// The policies that are compared.
var (
	PolicyNone  = Policy{"round-robin", "none", "per-hop"}
	PolicyLimit = Policy{"round-robin", "fixed", "per-hop"}
	PolicyFull  = Policy{"score", "adaptive", "request"}
)

// Service is one service with equal upstreams.
type Service struct {
	Name        string `json:"name"`
	Count       int    `json:"count"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Calls names the services below it.
	Calls []string `json:"calls"`
	Types []Type   `json:"types"`
}

// Type is one request type.
type Type struct {
	Name        string        `json:"name"`
	Importance  string        `json:"importance"`
	Idempotent  bool          `json:"idempotent"`
	Timeout     time.Duration `json:"timeout"`
	ServiceTime time.Duration `json:"service-time"`
	// Calls lists child calls as service/type.
	Calls []string `json:"calls"`
}

// The request types that a fleet adds to each service to find out whether it is ready.
const (
	probeType     = "probe"
	probeOnceType = "probe-once"
	// probePrefix begins the markers of probes.
	probePrefix = "probe-"
)

// Idempotent returns the idempotent types as service/type.
func (d Deployment) Idempotent() map[string]bool {
	types := make(map[string]bool)
	for _, s := range d.Services {
		for _, t := range s.withProbes() {
			types[s.Name+"/"+t.Name] = t.Idempotent
		}
	}
	return types
}

// withProbes adds the probes. They take as long as the longest type: much shorter ones would lower what the nodes take
// for the normal service time, and change the measurement.
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
