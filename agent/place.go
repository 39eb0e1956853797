package agent

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest/httpx"

	"hornbeamcroft"
	"hornbeamcroft/authenticator"
)

// placeParameters are the parameters of GET /place. An unknown one is an error, so that it is not ignored by an older node.
var placeParameters = []string{"host", "path", "tenant", "importance", "remaining-ms"}

// servePlace answers where a request would go now. It sends no request, takes no permit and changes nothing.
func (a *Agent) servePlace(w http.ResponseWriter, r *http.Request) {
	in, err := parsePlacementRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	httpx.OkJson(w, a.placement(in))
}

func parsePlacementRequest(q url.Values) (hornbeamcroft.PlacementRequest, error) {
	in := hornbeamcroft.PlacementRequest{
		Host: q.Get("host"), Path: path(q.Get("path")), Tenant: q.Get("tenant"), Importance: q.Get("importance"),
	}
	for name, values := range q {
		if !slices.Contains(placeParameters, name) || len(values) > 1 {
			return in, errors.Errorf("parameter %q is unknown or repeated", name)
		}
	}
	if in.Host == "" || !strings.HasPrefix(in.Path, "/") {
		return in, errors.New("host or path is missing; the path begins with a slash")
	}
	if in.Importance != "" {
		if _, err := hornbeamcroft.ParseImportance(in.Importance); err != nil {
			return in, err
		}
	}
	if text := q.Get("remaining-ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms < 1 {
			return in, errors.Errorf("remaining-ms %q: need milliseconds, at least 1", text)
		}
		in.RemainingMs = ms
	}
	return in, nil
}

// placement makes the decisions of serve on a request of a caller, without their effects. All of them are explained, also those after
// one that refuses the request.
func (a *Agent) placement(in hornbeamcroft.PlacementRequest) hornbeamcroft.Placement {
	p := hornbeamcroft.Placement{Node: a.Settings.Agent.Name, Zone: a.Settings.Agent.Zone, Request: in}
	proof := a.latestProof()
	r := a.routes.Load()
	if r == nil {
		refusePlacement(&p, "configuration", hornbeamcroft.CodeNoDocument, "no configuration in force")
		return p
	}
	p.Configuration = &hornbeamcroft.PlacementConfiguration{
		Version: r.table.Version, Source: r.source, AgeMs: time.Since(r.since).Milliseconds(),
	}
	p.Proof = a.explainProof(r, proof)
	route, ok := r.router.Match(in.Host, in.Path)
	if !ok {
		refusePlacement(&p, "route", hornbeamcroft.CodeNoRoute, "no route matches host and path")
		return p
	}
	p.Route = explainRoute(route)
	if route.Unreadable {
		refusePlacement(&p, "route", hornbeamcroft.CodeRouteUnreadable, "the route cannot be read")
		return p
	}
	if i, err := hornbeamcroft.ParseImportance(in.Importance); err == nil {
		route.Importance = i
	}
	tenant := a.explainTenant(&p, r, proof, route)
	call, callerRetry := a.explainTime(&p, route, tenant)
	a.explainStop(&p, call)
	a.explainQuota(&p, tenant)
	a.explainTargets(&p, r, route, call, callerRetry)
	return p
}

// refusePlacement records that a decision refuses the request, unless an earlier one does.
func refusePlacement(p *hornbeamcroft.Placement, decision string, code hornbeamcroft.Code, reason string) {
	if p.Refused == nil {
		p.Refused = &hornbeamcroft.PlacementRefusal{Decision: decision, Code: code, Name: code.Info().Name, Reason: reason}
	}
}

// explainProof returns the state of the proof, or nil if requests need no API key.
func (a *Agent) explainProof(r *activeRoutes, proof proofState) *hornbeamcroft.PlacementProof {
	if !r.table.HasTenants {
		return nil
	}
	p := &hornbeamcroft.PlacementProof{
		Proven: proof.proven, KeyAccepted: !r.table.TenantsUnreadable && a.acceptsKeys(proof),
		UnknownKeyFinal: !r.table.TenantsUnreadable && proof.refusesFinally(),
	}
	if proof.proven {
		ageMs := proof.age.Milliseconds()
		p.AgeMs = &ageMs
	}
	return p
}

func explainRoute(r hornbeamcroft.Route) *hornbeamcroft.PlacementRoute {
	if r.Unreadable {
		return &hornbeamcroft.PlacementRoute{Host: r.Host, Prefix: r.Prefix, Unreadable: true}
	}
	return &hornbeamcroft.PlacementRoute{
		Host: r.Host, Prefix: r.Prefix, Name: r.Name, Public: r.Public, Idempotent: r.Idempotent, MaxAttempts: r.MaxAttempts,
		Importance: r.Importance.String(), TimeoutMs: r.Timeout.Milliseconds(), ObjectiveMs: r.Objective.Milliseconds(),
	}
}

// explainTenant returns the tenant of the request, which is given by its name instead of a key.
func (a *Agent) explainTenant(
	p *hornbeamcroft.Placement, r *activeRoutes, proof proofState, route hornbeamcroft.Route,
) hornbeamcroft.Tenant {
	v := r.authenticator.Identify(nil, route.Public)
	name := p.Request.Tenant
	if i := slices.IndexFunc(r.table.Tenants, func(t hornbeamcroft.Tenant) bool { return t.Name == name }); i >= 0 {
		v = authenticator.Verdict{Tenant: r.table.Tenants[i]}
	} else if name != "" && v.Reason == authenticator.ReasonMissing {
		v.Reason = "no such tenant"
	}
	if refusal := a.refuseIdentity(v, proof); refusal != nil {
		decision := "tenant"
		if refusal.answer.Code == hornbeamcroft.CodeConfigurationUnproven {
			decision = "proof"
		}
		refusePlacement(p, decision, refusal.answer.Code, refusal.reason.Error())
	}
	p.Tenant = &hornbeamcroft.PlacementTenant{
		Required: r.table.HasTenants && !route.Public, Name: v.Tenant.Name, Band: v.Tenant.Band,
		Importance: route.Importance.InBand(v.Tenant.Band).String(),
	}
	return v.Tenant
}

// explainTime returns the call that serve would deliver, without its service, and whether it counts as a retry of its caller.
func (a *Agent) explainTime(
	p *hornbeamcroft.Placement, route hornbeamcroft.Route, tenant hornbeamcroft.Tenant,
) (hornbeamcroft.Call, bool) {
	in := hornbeamcroft.Incoming{
		Message:   hornbeamcroft.Message{Host: p.Request.Host, Target: p.Request.Path},
		Remaining: time.Duration(p.Request.RemainingMs) * time.Millisecond,
	}
	call := a.newCall(in, route, tenant, "")
	age, callerRetry := a.courier.ExplainAge(route.Name, in.Remaining, call.Objective)
	call.Objective -= age
	p.Time = &hornbeamcroft.PlacementTime{
		RemainingMs: call.Remaining.Milliseconds(), WaitedMs: age.Milliseconds(), ObjectiveMs: call.Objective.Milliseconds(),
		CallerRetry: callerRetry,
	}
	return call, callerRetry
}

func (a *Agent) explainStop(p *hornbeamcroft.Placement, call hornbeamcroft.Call) {
	stopping := a.stopping.Load()
	p.Stop = &hornbeamcroft.PlacementStop{Stopping: stopping, Taken: !stopping || a.callers.takes(a.clock.Now(), call)}
	if !p.Stop.Taken {
		refusePlacement(p, "stop", hornbeamcroft.CodeDraining, "the request may not end before the process")
	}
}

func (a *Agent) explainQuota(p *hornbeamcroft.Placement, tenant hornbeamcroft.Tenant) {
	q := a.quotas
	p.Quota = &hornbeamcroft.PlacementQuota{Verdict: "admitted"}
	if tenant.Name == "" || !q.active.Load() {
		return
	}
	q.mu.Lock()
	*p.Quota = q.borrower.Explain(a.quotaNow(), tenant.Name)
	q.mu.Unlock()
	if !p.Quota.Limited {
		return
	}
	home := p.Quota.Home
	p.Quota.Rate, p.Quota.Burst = tenant.Quota.Rate, tenant.Quota.Burst
	p.Quota.HomeLinked = home != "" && (home == a.Settings.Agent.Name || a.links.LinkTo(home) != nil)
	switch p.Quota.Verdict {
	case "exceeded":
		refusePlacement(p, "quota", hornbeamcroft.CodeQuotaExceeded, "the quota is exceeded")
	case "undecided":
		refusePlacement(p, "quota", hornbeamcroft.CodeQuotaUndecided, "no permit at hand, and the home does not lend")
	}
}

// explainTargets explains admission and candidates of each target of the route.
func (a *Agent) explainTargets(
	p *hornbeamcroft.Placement, r *activeRoutes, route hornbeamcroft.Route, call hornbeamcroft.Call, callerRetry bool,
) {
	r.mu.Lock()
	p.Targets = r.router.Explain(route)
	r.mu.Unlock()
	for i, target := range p.Targets {
		call.Service = target.Service
		e := a.courier.Explain(call, callerRetry)
		e.Weight, e.Share, e.Next = target.Weight, target.Share, target.Next
		p.Targets[i] = e
		usable := func(c hornbeamcroft.PlacementCandidate) bool { return c.LeftOut == "" }
		if e.Next && !slices.ContainsFunc(e.Candidates, usable) {
			refusePlacement(p, "candidates", hornbeamcroft.CodeNoUpstream,
				"no host of the service can be used; the request waits for one for a while")
		}
	}
}
