// Package leveler computes the admission level of a service: the share of the requests of each importance that its
// upstreams can run together. Demand moves between upstreams, so that the level of a single one says little about the
// service.
package leveler

import (
	"cmp"
	"math"
	"slices"

	"hornbeamcroft"
)

// Leveler sums the load reports of the upstreams of a service. The zero value is ready for use; it is not safe for
// concurrent use.
type Leveler struct {
	// capacity is the demand that the upstreams can take, and demand the demand by importance, both in hundredths of a
	// slot.
	capacity int
	demand   [hornbeamcroft.ImportanceLevels]int
	// loads is the number of reports, and shares holds the tenants that exceed their share at one upstream or more.
	loads  int
	shares []excess
}

// excess is the sum over the upstreams of the part of a tenant's requests, in thousandths, that is beyond its share.
type excess struct {
	tenant     string
	importance hornbeamcroft.Importance
	sum        int
}

// Add adds the capacity and the demand that one upstream reported. A report without demand, or with a concurrency
// limit of zero, is ignored.
func (l *Leveler) Add(load hornbeamcroft.Load) {
	if !l.AddCapacity(load) {
		return
	}
	for i, n := range load.Demand {
		l.demand[i] += n
	}
	l.loads++
	for _, share := range load.Shares {
		l.addShare(share)
	}
}

// addShare adds the share that one upstream reported.
func (l *Leveler) addShare(share hornbeamcroft.TenantShare) {
	beyond := hornbeamcroft.FullShare - share.Keep
	for i := range l.shares {
		if e := &l.shares[i]; e.tenant == share.Tenant && e.importance == share.Importance {
			e.sum += beyond
			return
		}
	}
	l.shares = append(l.shares, excess{share.Tenant, share.Importance, beyond})
}

// tenantShares returns the mean over the upstreams of the shares of limited tenants, the smallest first. Senders place the calls of a
// tenant on all upstreams, so that the mean limits it as much as the single shares would.
func (l *Leveler) tenantShares() []hornbeamcroft.TenantShare {
	var list []hornbeamcroft.TenantShare
	for _, e := range l.shares {
		list = append(list, hornbeamcroft.TenantShare{
			Tenant: e.tenant, Importance: e.importance, Keep: hornbeamcroft.FullShare - e.sum/l.loads,
		})
	}
	slices.SortFunc(list, func(a, b hornbeamcroft.TenantShare) int {
		return cmp.Or(cmp.Compare(a.Keep, b.Keep), cmp.Compare(a.Tenant, b.Tenant))
	})
	return list[:min(len(list), hornbeamcroft.MaxTenantShares)]
}

// AddCapacity adds only the capacity of an upstream, without its demand. It reports whether the report states a
// capacity.
func (l *Leveler) AddCapacity(load hornbeamcroft.Load) bool {
	if len(load.Demand) == 0 || len(load.Demand) > len(l.demand) || load.Limit == 0 {
		return false
	}
	l.capacity += load.Capacity
	return true
}

// AdmissionLevel returns the admission level at the highest importance of which not all requests can be admitted; less
// important requests are shed. If the capacity suffices for all, the level admits everything.
func (l *Leveler) AdmissionLevel(service string) hornbeamcroft.AdmissionLevel {
	level := l.threshold(service)
	level.Shares = l.tenantShares()
	return level
}

// threshold returns the admission level without the shares of tenants.
func (l *Leveler) threshold(service string) hornbeamcroft.AdmissionLevel {
	capacity := l.capacity
	for i := hornbeamcroft.Importance(hornbeamcroft.ImportanceLevels - 1); ; i-- {
		if n := l.demand[i]; n > capacity {
			share := math.Max(0, float64(capacity)) / float64(n)
			return hornbeamcroft.AdmissionLevel{
				Service: service, Importance: i, Threshold: uint32(math.Round(share * hornbeamcroft.ThresholdAll)),
			}
		}
		capacity -= l.demand[i]
		if i == 0 {
			return hornbeamcroft.AdmissionLevel{Service: service, Threshold: hornbeamcroft.ThresholdAll}
		}
	}
}
