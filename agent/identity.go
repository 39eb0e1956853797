package agent

import (
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/authenticator"
	"hornbeamcroft/exchanger"
	"hornbeamcroft/platform"
)

const (
	// maxRefusalAge is the maximum proven age of the configuration by which a key counts as unknown. Callers take that as final, so
	// a key that was added lately must not be refused by an older configuration.
	maxRefusalAge = 2 * time.Second
	// revokeMargin is the part of Bounds.RevokeTime that is left for the request to start after it was accepted.
	revokeMargin = 500 * time.Millisecond
	// unprovenRetryAfter is the retry delay given to callers while the configuration is not proven to be recent enough. A node
	// that reaches the store, or a peer that does, has a new proof within about a second.
	unprovenRetryAfter = time.Second
)

// refusal is the answer to a request that is not served, with the reason for the log.
type refusal struct {
	answer hornbeamcroft.Answer
	reason error
}

// proofState is how recent the configuration in force was when the proof was taken.
type proofState struct {
	age    time.Duration
	proven bool
}

// latestProof returns the present proof, or none if the configuration has no tenants. It must be taken before the configuration is
// loaded by which a request is decided: a later proof may be that of a newer configuration, in which a key is revoked.
func (a *Agent) latestProof() proofState {
	if r := a.routes.Load(); r == nil || !r.table.HasTenants {
		return proofState{}
	}
	age, proven := a.configurationAge()
	return proofState{age: age, proven: proven}
}

// identify returns the tenant of a request, with an empty name if it has none, or the refusal of the request. The answer to
// a request that is refused for its credentials is final only while the configuration is proven to be recent.
func (a *Agent) identify(
	r *activeRoutes, proof proofState, route hornbeamcroft.Route, in hornbeamcroft.Incoming,
) (hornbeamcroft.Tenant, *refusal) {
	v := r.authenticator.Identify(in.Credentials, route.Public)
	return v.Tenant, a.refuseIdentity(v, proof)
}

// refuseIdentity returns the refusal that follows from an identification and the proof of the configuration, or nil.
func (a *Agent) refuseIdentity(v authenticator.Verdict, proof proofState) *refusal {
	switch {
	case v.Code == hornbeamcroft.CodeCredentialUnknown && !proof.refusesFinally():
		return newRefusal(hornbeamcroft.CodeConfigurationUnproven, unprovenRetryAfter, string(v.Reason))
	case v.Code == hornbeamcroft.CodeRouteUnreadable:
		return newRefusal(v.Code, unreadableRetryAfter, string(v.Reason))
	case v.Code != 0:
		return newRefusal(v.Code, 0, string(v.Reason))
	case v.Tenant.Name != "" && !a.acceptsKeys(proof):
		return newRefusal(hornbeamcroft.CodeConfigurationUnproven, unprovenRetryAfter, "tenant "+v.Tenant.Name)
	}
	return nil
}

// refusesFinally reports whether the configuration is recent enough to refuse a key for good.
func (p proofState) refusesFinally() bool { return p.proven && p.age <= maxRefusalAge }

// acceptsKeys reports whether the configuration is recent enough to serve requests with a known key.
func (a *Agent) acceptsKeys(proof proofState) bool {
	return !a.Bounds.StrictRevoke || proof.proven && proof.age < a.Bounds.RevokeTime-revokeMargin
}

func newRefusal(code hornbeamcroft.Code, retryAfter time.Duration, reason string) *refusal {
	return &refusal{answer: hornbeamcroft.Answer{Code: code, RetryAfter: retryAfter}, reason: errors.New(reason)}
}

// upstreamRequest returns the HTTP request that carries a call to the upstream. If the node that accepted the call did not know
// yet that the configuration has tenants, the call may still contain an API key.
func (a *Agent) upstreamRequest(call hornbeamcroft.Call, instance string, remaining time.Duration) exchanger.Request {
	if r := a.routes.Load(); call.Tenant != "" || r != nil && r.table.HasTenants {
		m := *call.Message
		m.Header = platform.WithoutCredentials(m.Header)
		call.Message = &m
	}
	return platform.UpstreamRequest(call, instance, remaining)
}
