package agent

import (
	"slices"
	"strings"

	"hornbeamcroft"
)

// tenantWeight returns the weight of a tenant when the capacity of the upstream is divided: the rate of its quota, which states what
// is usual for it. A tenant without a quota has the weight of the largest rate.
func (a *Agent) tenantWeight(name string) float64 {
	r := a.routes.Load()
	if r == nil {
		return 1
	}
	i, ok := slices.BinarySearchFunc(r.table.Tenants, name, func(t hornbeamcroft.Tenant, name string) int {
		return strings.Compare(t.Name, name)
	})
	if ok && r.table.Tenants[i].Quota.Rate > 0 {
		return r.table.Tenants[i].Quota.Rate
	}
	return r.maxTenantRate
}

// maxTenantRate returns the largest rate of the tenants' quotas; 1 if none has a rate.
func maxTenantRate(tenants []hornbeamcroft.Tenant) float64 {
	rate := 0.0
	for _, t := range tenants {
		rate = max(rate, t.Quota.Rate)
	}
	if rate == 0 {
		return 1
	}
	return rate
}
