package hornbeamcroft

import (
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Route says how requests with a host and a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets has at least one entry; the weights of several are the shares in which requests are divided.
	Targets []Target
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// MaxAttempts is the greatest number of upstreams that one attempt of a caller may be sent to; at least 1.
	MaxAttempts int
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective  time.Duration
	Importance Importance
}

// Target is one service of a route.
type Target struct {
	Service string
	// Weight is at least 0; a route's weights have a sum above 0.
	Weight float64
}

// RouteTable is one version of the operators' configuration of routes.
type RouteTable struct {
	// Version rises with each accepted configuration, in uneven steps.
	Version  int64
	Routes   []Route
	Services map[string]ServicePolicy
	Limits   CallerLimits
}

// ServicePolicy is what the operators say about the upstreams of a service.
type ServicePolicy struct {
	// HealthPath is the path of the upstreams' health answer.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all callers; at least 1.
	MaxConnections int
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is the longest time from the first byte of a request to the end of its header.
	HeaderTime time.Duration
	// IdleTime is the longest time for which a connection is kept without a request.
	IdleTime time.Duration
}

// Check reports whether the table is complete and consistent.
func (t RouteTable) Check() error {
	if t.Version < 1 {
		return errors.Errorf("routes: version %d: allowed is at least 1", t.Version)
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
	for _, g := range r.Targets {
		if _, ok := t.Services[g.Service]; !ok {
			return errors.Errorf("service %q is not defined", g.Service)
		}
		if g.Weight < 0 {
			return errors.Errorf("weight %g of service %q: allowed is at least 0", g.Weight, g.Service)
		}
		sum += g.Weight
	}
	if sum <= 0 {
		return errors.New("no target with a weight above 0")
	}
	return r.Importance.Check()
}
