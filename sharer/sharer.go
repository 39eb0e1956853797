// Package sharer finds the tenants that demand more than their fair share of one upstream. Where the capacity does not suffice for all
// requests of an importance, it is divided by weighted max-min fairness over slot time: tenants below their share are served in full, and
// the rest is divided in proportion to the weights. This keeps one tenant that sends many times its usual requests from
// taking the capacity of all others.
package sharer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hornbeamcroft"
)

const (
	// demandGain is the weight of one window in the smoothed demand of a tenant. A tenant has few requests in one window, so that
	// the mean over many is needed: with windows of 100 ms, about two seconds.
	demandGain = 0.05
	// maxTenants bounds the number of tenants whose demand is kept, and idleTime is the time without a request after which a tenant
	// is forgotten.
	maxTenants = 1024
	idleTime   = 10 * time.Second
	// minExcess is the share of the capacity by which a tenant must exceed its own share before it is limited. What lies below it is
	// within the variation of the demand.
	minExcess = 0.03
	// maxCredit bounds the credit of a limited tenant, in requests.
	maxCredit = 2
)

// Sharer keeps the demand of tenants for one upstream. The zero value is ready for use; it is not safe for concurrent use.
type Sharer struct {
	tenants map[key]*tenant
	shares  []hornbeamcroft.TenantShare
	// credit is the part of a request that a limited tenant may still start, by tenant.
	credit map[key]float64
}

// key identifies the requests of a tenant at one importance.
type key struct {
	name       string
	importance hornbeamcroft.Importance
}

// tenant is the demand of a tenant at one importance.
type tenant struct {
	weight float64
	// arrived is the number of requests of the present window, demand the smoothed demand in slots.
	arrived, demand float64
	lastArrival     time.Duration
}

// Arrive counts requests of a tenant with the weight, which is above 0. Requests without a tenant are not counted.
func (s *Sharer) Arrive(now time.Duration, name string, importance hornbeamcroft.Importance, weight, requests float64) {
	if name == "" {
		return
	}
	k := key{name, importance}
	t := s.tenants[k]
	if t == nil {
		if len(s.tenants) >= maxTenants {
			return
		}
		if s.tenants == nil {
			s.tenants = make(map[key]*tenant)
		}
		t = &tenant{}
		s.tenants[k] = t
	}
	t.weight = weight
	t.arrived += requests
	t.lastArrival = now
}

// Window is the state of an upstream at the end of a window.
type Window struct {
	Now, Length time.Duration
	// Capacity is the demand that the upstream can take in slots.
	Capacity float64
	// Demand is the demand in slots, and ServiceSeconds the time for which a call holds a slot, by importance.
	Demand, ServiceSeconds [hornbeamcroft.ImportanceLevels]float64
}

// Close ends a window: it updates the demand of the tenants and decides which of them are limited.
func (s *Sharer) Close(w Window) {
	for k, t := range s.tenants {
		demand := t.arrived * w.ServiceSeconds[k.importance] / w.Length.Seconds()
		t.demand += (demand - t.demand) * demandGain
		t.arrived = 0
		if w.Now-t.lastArrival >= idleTime {
			delete(s.tenants, k)
		}
	}
	s.shares = s.shares[:0]
	if len(s.tenants) > 0 {
		s.limit(w)
	}
	for k := range s.credit {
		if s.keep(k.name, k.importance) >= 1 {
			delete(s.credit, k)
		}
	}
}

// limit sets the shares of the importance at which the capacity does not suffice. Higher levels are served in full, lower ones get
// no capacity, whatever their tenant.
func (s *Sharer) limit(w Window) {
	remaining := w.Capacity
	for i := int(hornbeamcroft.ImportanceLevels) - 1; i >= 0; i-- {
		if w.Demand[i] <= remaining {
			remaining -= w.Demand[i]
			continue
		}
		s.divide(hornbeamcroft.Importance(i), remaining, w)
		return
	}
}

// divide divides the capacity among the tenants of the importance.
func (s *Sharer) divide(importance hornbeamcroft.Importance, capacity float64, w Window) {
	var list []named
	sum := 0.0
	for k, t := range s.tenants {
		if k.importance == importance && t.demand > 0 {
			list = append(list, named{k.name, t})
			sum += t.demand
		}
	}
	// The demand of tenants is smoothed over a longer time than that of the upstream. Requests without a tenant keep their part.
	own := math.Max(0, math.Min(capacity, capacity*sum/math.Max(w.Demand[importance], sum)))
	level := waterLevel(list, own)
	for _, n := range list {
		share := math.Max(0, level*n.weight)
		if n.demand-share < minExcess*w.Capacity {
			continue
		}
		s.shares = append(s.shares, hornbeamcroft.TenantShare{
			Tenant: n.name, Importance: importance, Keep: int(hornbeamcroft.FullShare * share / n.demand), Excess: n.demand - share,
		})
	}
	slices.SortFunc(s.shares, func(a, b hornbeamcroft.TenantShare) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Tenant, b.Tenant))
	})
	s.shares = s.shares[:min(len(s.shares), hornbeamcroft.MaxTenantShares)]
}

// named is a tenant with its name.
type named struct {
	name string
	*tenant
}

// waterLevel returns the capacity for each unit of weight at which the demands, cut to their shares, add up to the capacity. It is
// infinite if the capacity suffices for all.
func waterLevel(list []named, capacity float64) float64 {
	slices.SortFunc(list, func(a, b named) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.name, b.name))
	})
	weight := 0.0
	for _, n := range list {
		weight += n.weight
	}
	for _, n := range list {
		if level := capacity / weight; n.demand/n.weight > level {
			return level
		}
		capacity -= n.demand
		weight -= n.weight
	}
	return math.Inf(1)
}

// Shares returns the tenants that are limited, those with the largest excess first. The result is valid until the next Close.
func (s *Sharer) Shares() []hornbeamcroft.TenantShare { return s.shares }

// Excess returns the demand of the importance, in slots, that exceeds the shares of limited tenants.
func (s *Sharer) Excess(importance hornbeamcroft.Importance) float64 {
	sum := 0.0
	for _, share := range s.shares {
		if share.Importance == importance {
			sum += share.Excess
		}
	}
	return sum
}

// keep returns the share of the tenant's requests that is within its share of the capacity.
func (s *Sharer) keep(name string, importance hornbeamcroft.Importance) float64 {
	for _, share := range s.shares {
		if share.Tenant == name && share.Importance == importance {
			return float64(share.Keep) / hornbeamcroft.FullShare
		}
	}
	return 1
}

// Exceeds reports whether the next of the given number of requests of a tenant lies beyond its share. Those that were refused at the
// ingress count as requests that lie beyond it.
func (s *Sharer) Exceeds(name string, importance hornbeamcroft.Importance, requests float64) bool {
	keep := s.keep(name, importance)
	if name == "" || keep >= 1 {
		return false
	}
	if s.credit == nil {
		s.credit = make(map[key]float64)
	}
	k := key{name, importance}
	s.credit[k] = math.Min(s.credit[k]+keep*math.Max(1, requests), maxCredit)
	if s.credit[k] >= 1 {
		s.credit[k]--
		return false
	}
	return true
}
