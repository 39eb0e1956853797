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
	// Public is true if requests need no API key although the table has tenants.
	Public bool
	// Unreadable is true if the configuration of the route could not be read beyond its host and prefix. Requests that match
	// it are refused as not run, because a route with a shorter prefix may lead to another service. The fields that follow
	// the prefix are not set then.
	Unreadable bool
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
	// HasTenants is true if requests need an API key. Tenants may be empty then.
	HasTenants bool
	// Tenants are ordered by name. No two of them have a key in common.
	Tenants []Tenant
	// TenantsUnreadable is true if the table of tenants could not be read. Requests that need an API key are refused as not run.
	TenantsUnreadable bool
	// Problems lists the entries that could not be read, or only in part, ordered by entry. They do not affect the others.
	Problems []EntryProblem
}

// EntryProblem states why an entry of a configuration could not be read, for example because it is of a newer format.
type EntryProblem struct {
	// Entry is the kind and the name of the entry, for example "route pay".
	Entry string `json:"entry"`
	// Reason states what could not be read, and the effect.
	Reason string `json:"reason"`
}

// ServicePolicy is the operators' configuration of the upstreams of a service.
type ServicePolicy struct {
	// HealthPath is the path to which health probes of the upstreams are sent; empty if it is not known, so that none are
	// sent.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all callers; zero if it is not known.
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
		if err := r.Check(t.Services); err != nil {
			return errors.Wrapf(err, "route %s", r.Name)
		}
	}
	return nil
}

// Check returns an error if requests of the route cannot be served with the services.
func (r Route) Check(services map[string]ServicePolicy) error {
	if err := r.checkPath(); err != nil || r.Unreadable {
		return err
	}
	if r.Name == "" || len(r.Name) > maxNameLength {
		return errors.Errorf("name of %d bytes: must be 1 to %d", len(r.Name), maxNameLength)
	}
	if r.Timeout <= 0 || r.Objective <= 0 || r.MaxAttempts < 1 {
		return errors.New("timeout, objective and attempts must be above 0")
	}
	if err := r.checkTargets(services); err != nil {
		return err
	}
	return r.Importance.Check()
}

// checkPath returns an error if requests cannot be matched to the route.
func (r Route) checkPath() error {
	if r.Host == "" {
		return errors.New("host is missing")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q: must begin and end with a slash", r.Prefix)
	}
	return nil
}

func (r Route) checkTargets(services map[string]ServicePolicy) error {
	sum := 0.0
	for _, target := range r.Targets {
		if len(target.Service) > maxNameLength {
			return errors.Errorf("service name of %d bytes: must be at most %d", len(target.Service), maxNameLength)
		}
		if _, ok := services[target.Service]; !ok {
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
	return nil
}
