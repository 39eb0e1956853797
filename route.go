package hornbeamcroft

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Route defines how requests to a host with a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets has at least one entry. Requests are distributed over the targets in proportion to their weights.
	Targets []Target
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// MaxAttempts is the maximum number of upstreams to which one attempt of a caller may be sent; at least 1.
	MaxAttempts int
	// Timeout is the maximum time until a request is answered.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a request should be answered.
	Objective  time.Duration
	Importance Importance
}

// Target is one of the services to which a route sends requests.
type Target struct {
	Service string
	// Weight is at least 0. The sum of the weights of a route is above 0.
	Weight float64
}

// RouteTable is one version of the operators' configuration of routes.
type RouteTable struct {
	// Version rises with each accepted configuration, by 1 or more.
	Version  int64
	Routes   []Route
	Services map[string]ServicePolicy
	Limits   CallerLimits
}

// ServicePolicy is the operators' configuration of the upstreams of a service.
type ServicePolicy struct {
	// HealthPath is the path to which health probes of the upstreams are sent.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all callers; at least 1.
	MaxConnections int
}

// CallerLimits are the limits for the connections and requests of callers.
type CallerLimits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the body of a request, in bytes; zero means no
	// limit.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is the maximum time from the first byte of a request to the end of its header.
	HeaderTime time.Duration
	// IdleTime is the maximum time for which a connection without a request is kept open.
	IdleTime time.Duration
}

// Check returns an error if the table is incomplete or inconsistent.
func (t RouteTable) Check() error {
	if t.Version < 1 {
		return errors.Errorf("routes: version %d: must be at least 1", t.Version)
	}
	for _, r := range t.Routes {
		if err := t.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %s", r.Name)
		}
	}
	return nil
}

func (t RouteTable) checkRoute(r Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q: must begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 || r.Objective <= 0 || r.MaxAttempts < 1 {
		return errors.New("timeout, objective and attempts must be above 0")
	}
	sum := 0.0
	for _, target := range r.Targets {
		if _, ok := t.Services[target.Service]; !ok {
			return errors.Errorf("service %q is not defined", target.Service)
		}
		if target.Weight < 0 {
			return errors.Errorf("weight %g of service %q: must be at least 0", target.Weight, target.Service)
		}
		sum += target.Weight
	}
	if sum <= 0 {
		return errors.New("no target with a weight above 0")
	}
	return r.Importance.Check()
}
