package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
	"hornbeamcroft/attester"
	"hornbeamcroft/authenticator"
	"hornbeamcroft/logger"
	"hornbeamcroft/platform"
	"hornbeamcroft/router"
)

// newPlaceAgent returns an agent that is not running. Its configuration has two tenants and is proven; gold has a quota whose home is
// not known.
func newPlaceAgent() *Agent {
	a := &Agent{Bounds: platform.DefaultBounds(), Log: logger.New(io.Discard, "info")}
	a.Settings.Agent.Name, a.Settings.Agent.Zone, a.Settings.Agent.ClusterKey = "node-0", "z1", "0123456789abcdef"
	a.Bounds.StrictRevoke = true
	a.createComponents()
	route := hornbeamcroft.Route{
		Name: "pay", Host: "shop", Prefix: "/pay/", MaxAttempts: 2, Timeout: 2 * time.Second, Objective: time.Second,
		Importance: hornbeamcroft.ImportanceNormal, Targets: []hornbeamcroft.Target{{Service: "front", Weight: 3}, {Service: "new", Weight: 1}},
	}
	public := route
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	table := hornbeamcroft.RouteTable{
		Version: 7, Routes: []hornbeamcroft.Route{route, public, {Host: "shop", Prefix: "/odd/", Unreadable: true}}, HasTenants: true,
		Tenants: []hornbeamcroft.Tenant{{Name: "free", Band: 2}, {Name: "gold", Quota: hornbeamcroft.Quota{Rate: 100, Burst: 10}}},
	}
	a.proof.applied(table, 0)
	a.proof.attester.Asked(attester.Proof{At: a.proof.clock.Now(), Version: 7})
	a.routes.Store(&activeRoutes{
		table: table, router: router.New(table), authenticator: authenticator.New(table), since: time.Now(), source: "store",
	})
	a.updateQuotas()
	a.courier.Update([]hornbeamcroft.Member{
		{Name: "node-0", Service: "front", Zone: "z1", State: hornbeamcroft.MemberServing, Slots: 8},
		{Name: "node-1", Service: "front", Zone: "z1", State: hornbeamcroft.MemberServing, Slots: 8},
		{Name: "node-2", Service: "front", Zone: "z2", State: hornbeamcroft.MemberDraining, Slots: 8},
	})
	return a
}

// askPlace returns the status of GET /place and the decoded answer.
func askPlace(t *testing.T, a *Agent, query string) (int, hornbeamcroft.Placement) {
	t.Helper()
	w := httptest.NewRecorder()
	a.servePlace(w, httptest.NewRequest(http.MethodGet, "/place?"+query, nil))
	var p hornbeamcroft.Placement
	if w.Code == http.StatusOK {
		is.New(t).NoErr(json.Unmarshal(w.Body.Bytes(), &p))
	}
	return w.Code, p
}

// TestPlaceRefusals guards against an explanation that names another refusal than the request would get.
func TestPlaceRefusals(t *testing.T) {
	unproven := func(a *Agent) { a.proof.attester = attester.Attester{} }
	stop := func(a *Agent) {
		a.callers.closed.Store(true)
		a.stopping.Store(true)
	}
	for name, c := range map[string]struct {
		query    string
		change   func(a *Agent)
		decision string
		code     hornbeamcroft.Code
	}{
		"accepted":        {"path=/pay/1&tenant=free", nil, "", 0},
		"public":          {"path=/open/1", nil, "", 0},
		"public unproven": {"path=/open/1", unproven, "", 0},
		"no route":        {"path=/", nil, "route", hornbeamcroft.CodeNoRoute},
		"unreadable":      {"path=/odd/", nil, "route", hornbeamcroft.CodeRouteUnreadable},
		"no key":          {"path=/pay/1", nil, "tenant", hornbeamcroft.CodeCredentialUnknown},
		"no such tenant":  {"path=/pay/1&tenant=x", nil, "tenant", hornbeamcroft.CodeCredentialUnknown},
		"unproven":        {"path=/pay/1&tenant=free", unproven, "proof", hornbeamcroft.CodeConfigurationUnproven},
		"no key unproven": {"path=/pay/1", unproven, "proof", hornbeamcroft.CodeConfigurationUnproven},
		"no home":         {"path=/pay/1&tenant=gold", nil, "quota", hornbeamcroft.CodeQuotaUndecided},
		"stop first":      {"path=/pay/1&tenant=gold", stop, "stop", hornbeamcroft.CodeDraining},
		"no host":         {"path=/pay/1&tenant=free", func(a *Agent) { a.courier.Update(nil) }, "candidates", hornbeamcroft.CodeNoUpstream},
		"starting":        {"path=/pay/1", func(a *Agent) { a.routes.Store(nil) }, "configuration", hornbeamcroft.CodeNoDocument},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newPlaceAgent()
			if c.change != nil {
				c.change(a)
			}
			status, p := askPlace(t, a, "host=shop&"+c.query)
			is.Equal(status, http.StatusOK)
			if c.decision == "" {
				is.Equal(p.Refused, nil)
				return
			}
			is.True(p.Refused != nil)
			is.Equal(p.Refused.Decision, c.decision)
			is.Equal(p.Refused.Code, c.code)
		})
	}
}

// TestPlaceInputs guards against decisions without their inputs, against a request for placement that changes the node, and against one
// that is not understood and answered as another one.
func TestPlaceInputs(t *testing.T) {
	is := is.New(t)
	a := newPlaceAgent()
	counts := a.quotas.borrower.Counts()
	for range 3 {
		_, p := askPlace(t, a, "host=shop&path=/pay/1%3Fq&tenant=free&importance=high&remaining-ms=700")
		is.Equal(p.Configuration.Version, int64(7))
		is.Equal(p.Route.Name, "pay")
		is.Equal(p.Tenant.Importance, "high+2")
		is.Equal(*p.Time, hornbeamcroft.PlacementTime{RemainingMs: 700, ObjectiveMs: 700})
		is.True(p.Proof.KeyAccepted && *p.Proof.AgeMs < 2000)
		is.Equal(len(p.Targets), 2)
		is.Equal(p.Targets[0].Share, 0.75)
		is.True(p.Targets[0].Next && !p.Targets[0].InUse)
		is.Equal(p.Targets[0].Candidates[0].Name, "node-0")
		is.Equal(p.Targets[0].Candidates[1].LeftOut, "not linked")
	}
	_, p := askPlace(t, a, "host=shop&path=/pay/1&tenant=gold")
	is.Equal(p.Quota.Rate, 100.0)
	is.Equal(p.Time.WaitedMs, int64(0))
	is.Equal(a.quotas.borrower.Counts(), counts)
	for _, query := range []string{"path=/", "host=shop", "host=shop&path=x", "host=shop&path=/&remaining-ms=0", "host=shop&path=/&importance=top", "host=shop&path=/&key=k"} {
		status, _ := askPlace(t, a, query)
		is.Equal(status, http.StatusBadRequest)
	}
}
