package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/authenticator"
	"hornbeamcroft/platform"
)

// TestIdentityByProof guards against final refusals by an old configuration, and against keys that are served although they may have
// been revoked.
func TestIdentityByProof(t *testing.T) {
	table := hornbeamcroft.RouteTable{HasTenants: true, Tenants: []hornbeamcroft.Tenant{
		{Name: "acme", Keys: []hornbeamcroft.KeyHash{hornbeamcroft.HashKey("k")}},
	}}
	unreadable := hornbeamcroft.RouteTable{HasTenants: true, TenantsUnreadable: true}
	known, unknown := []string{"Bearer k"}, []string{"Bearer x"}
	at := func(age time.Duration) proofState { return proofState{age: age, proven: true} }
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		table       hornbeamcroft.RouteTable
		credentials []string
		public      bool
		strict      bool
		proof       proofState
		want        hornbeamcroft.Code
	}{
		"unknown, recent":              {table, unknown, false, false, at(2000 * ms), hornbeamcroft.CodeCredentialUnknown},
		"unknown, older":               {table, unknown, false, false, at(2001 * ms), hornbeamcroft.CodeConfigurationUnproven},
		"unknown, unproven":            {table, unknown, false, false, proofState{}, hornbeamcroft.CodeConfigurationUnproven},
		"missing, recent":              {table, nil, false, false, at(0), hornbeamcroft.CodeCredentialUnknown},
		"missing, unproven":            {table, nil, false, false, proofState{}, hornbeamcroft.CodeConfigurationUnproven},
		"missing, public, unproven":    {table, nil, true, true, proofState{}, 0},
		"unknown, public, unproven":    {table, unknown, true, true, proofState{}, 0},
		"known, unproven":              {table, known, false, false, proofState{}, 0},
		"known, strict, recent":        {table, known, false, true, at(4499 * ms), 0},
		"known, strict, older":         {table, known, false, true, at(4500 * ms), hornbeamcroft.CodeConfigurationUnproven},
		"known, strict, unproven":      {table, known, false, true, proofState{}, hornbeamcroft.CodeConfigurationUnproven},
		"known, strict, public, older": {table, known, true, true, at(4500 * ms), hornbeamcroft.CodeConfigurationUnproven},
		"unreadable":                   {unreadable, known, false, true, at(0), hornbeamcroft.CodeRouteUnreadable},
		"no tenants, strict, unproven": {hornbeamcroft.RouteTable{}, known, false, true, proofState{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &Agent{Bounds: platform.DefaultBounds()}
			a.Bounds.StrictRevoke = c.strict
			r := &activeRoutes{authenticator: authenticator.New(c.table), table: c.table}
			tenant, refusal := a.identify(r, c.proof, hornbeamcroft.Route{Public: c.public}, hornbeamcroft.Incoming{Credentials: c.credentials})
			if c.want == 0 {
				is.True(refusal == nil)
				is.Equal(tenant.Name == "acme", c.table.HasTenants && len(c.credentials) > 0 && c.credentials[0] == known[0])
				return
			}
			is.Equal(refusal.answer.Code, c.want)
			is.Equal(refusal.answer.RetryAfter > 0, c.want != hornbeamcroft.CodeCredentialUnknown)
		})
	}
}

// TestKeyOfOlderIngress guards against an API key that reaches the upstream because the node that accepted the request did not know
// yet that the configuration has tenants.
func TestKeyOfOlderIngress(t *testing.T) {
	is := is.New(t)
	m := hornbeamcroft.Message{Header: []hornbeamcroft.Field{{Name: "Authorization", Value: "Bearer k"}, {Name: "Tenant-Id", Value: "x"}}}
	fields := func(a *Agent, call hornbeamcroft.Call) map[string]string {
		call.Message, call.Depth = &m, 1
		names := make(map[string]string)
		for _, f := range a.upstreamRequest(call, "", time.Second).Message.Header {
			names[f.Name] += f.Value
		}
		return names
	}
	a := &Agent{}
	is.Equal(fields(a, hornbeamcroft.Call{})["Authorization"], "Bearer k") // without tenants, an ordinary field
	is.Equal(fields(a, hornbeamcroft.Call{Tenant: "acme"})["Authorization"], "")
	is.Equal(fields(a, hornbeamcroft.Call{Tenant: "acme"})["Tenant-Id"], "acme")
	a.routes.Store(&activeRoutes{table: hornbeamcroft.RouteTable{HasTenants: true}})
	is.Equal(fields(a, hornbeamcroft.Call{})["Authorization"], "")
	is.Equal(fields(a, hornbeamcroft.Call{})["Tenant-Id"], "")
	is.Equal(len(m.Header), 2)
}
