// Package authenticator identifies the tenant of a request by its API key. It holds hashes of the keys only.
package authenticator

import (
	"strings"

	"hornbeamcroft"
)

const (
	// scheme is the authentication scheme of API keys. Schemes are compared without regard to case.
	scheme = "bearer"
	// whitespace is the optional whitespace of header fields.
	whitespace = " \t"
)

// Reason states why a request has no tenant. It never contains a part of the credentials.
type Reason string

// The reasons.
const (
	ReasonMissing    Reason = "no API key"
	ReasonSeveral    Reason = "more than one credential"
	ReasonScheme     Reason = "the credential has another scheme"
	ReasonUnknown    Reason = "unknown API key"
	ReasonUnreadable Reason = "the table of tenants cannot be read"
)

// Verdict is the result of an identification.
type Verdict struct {
	// Tenant is the tenant of the request; its Name is empty if the request has none.
	Tenant hornbeamcroft.Tenant
	// Code is zero if the request may be served. Otherwise it is CodeCredentialUnknown, or CodeRouteUnreadable if the table of
	// tenants could not be read.
	Code hornbeamcroft.Code
	// Reason is empty if the request has a tenant or the configuration has no tenants.
	Reason Reason
}

// Authenticator identifies the tenants of one configuration. It is safe for concurrent use.
type Authenticator struct {
	tenants    []hornbeamcroft.Tenant
	required   bool
	unreadable bool
	// byKey holds the indices in tenants by the hash of the key.
	byKey map[hornbeamcroft.KeyHash]int
}

// New returns an Authenticator for the tenants of t.
func New(t hornbeamcroft.RouteTable) *Authenticator {
	a := &Authenticator{
		tenants: t.Tenants, required: t.HasTenants, unreadable: t.TenantsUnreadable, byKey: make(map[hornbeamcroft.KeyHash]int),
	}
	for i, tenant := range t.Tenants {
		for _, key := range tenant.Keys {
			a.byKey[key] = i
		}
	}
	return a
}

// Identify returns the tenant of a request with the given values of the credentials field. Requests of a public route need no
// tenant; credentials that identify none are ignored there.
func (a *Authenticator) Identify(fields []string, public bool) Verdict {
	if !a.required {
		return Verdict{}
	}
	v := a.lookUp(fields)
	if public {
		v.Code = 0
	}
	return v
}

// lookUp returns the verdict on the credentials for a route that is not public.
func (a *Authenticator) lookUp(fields []string) Verdict {
	if a.unreadable {
		return Verdict{Code: hornbeamcroft.CodeRouteUnreadable, Reason: ReasonUnreadable}
	}
	key, reason := parse(fields)
	if reason != "" {
		return Verdict{Code: hornbeamcroft.CodeCredentialUnknown, Reason: reason}
	}
	i, known := a.byKey[hornbeamcroft.HashKey(key)]
	if !known {
		return Verdict{Code: hornbeamcroft.CodeCredentialUnknown, Reason: ReasonUnknown}
	}
	return Verdict{Tenant: a.tenants[i]}
}

// parse returns the key in the credentials, or the reason why there is none.
func parse(fields []string) (string, Reason) {
	switch len(fields) {
	case 0:
		return "", ReasonMissing
	case 1:
	default:
		return "", ReasonSeveral
	}
	text := strings.Trim(fields[0], whitespace)
	end := strings.IndexAny(text, whitespace)
	if end < 0 {
		end = len(text)
	}
	if text == "" {
		return "", ReasonMissing
	}
	if !strings.EqualFold(text[:end], scheme) {
		return "", ReasonScheme
	}
	key := strings.Trim(text[end:], whitespace)
	if key == "" {
		return "", ReasonMissing
	}
	return key, ""
}
