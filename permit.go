package hornbeamcroft

import (
	"math"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaxPermitItems is the maximum number of tenants in one message on permits, so that it stays below the maximum size of a frame.
	MaxPermitItems = 256
	// MaxPermitHomes is the maximum number of homes named in one answer.
	MaxPermitHomes = 16
	// MaxPermitLife is the maximum time for which permits of a quota are lent, from the time of asking.
	MaxPermitLife = 1200 * time.Millisecond
	// MinOverQuota is the least time until it is useful to ask again while the demand for a tenant's permits exceeds its quota. A
	// shorter time says that permits are short only because of chance.
	MinOverQuota = 100 * time.Millisecond
)

// PermitsKept is the Limit of a borrower that gives nothing back. An earlier grant may still be on its way to it.
const PermitsKept = math.MaxUint64

// PermitRequest asks the home of tenants for permits of their quotas. One permit lets one request of the tenant run.
type PermitRequest struct {
	// Asked is the time of asking on the borrower's clock. It rises with each request of a process, and the answer repeats it.
	Asked   time.Duration  `cbor:"1,keyasint"`
	Demands []PermitDemand `cbor:"2,keyasint,omitempty"`
	// Claims are tenants whose home the sender has become. The receiver may have been it before.
	Claims []string `cbor:"3,keyasint,omitempty"`
}

// PermitDemand is what a borrower holds and wants of the permits of one tenant. Counts start with the borrower's process.
type PermitDemand struct {
	Tenant string `cbor:"1,keyasint"`
	// Used is the number of permits that were used until the time of asking.
	Used uint64 `cbor:"2,keyasint"`
	// Limit is at least Used. If it is below PermitsKept, the borrower gives back permits: it uses none beyond Limit until a grant answers
	// this request or a later one.
	Limit uint64 `cbor:"3,keyasint"`
	// Want is the number of unused permits that the borrower wants to hold.
	Want uint32 `cbor:"4,keyasint"`
	// Rate is the number of the tenant's requests at the borrower per second.
	Rate float64 `cbor:"5,keyasint"`
}

// PermitHandover passes the right to lend the permits of a tenant to its new home. The sender no longer lends them.
type PermitHandover struct {
	Tenant string `cbor:"1,keyasint"`
	// Available is the number of permits that may be lent at once. Lent ones end within MaxPermitLife.
	Available float64 `cbor:"2,keyasint"`
	Lent      uint64  `cbor:"3,keyasint"`
}

// PermitGrant is the answer to a PermitRequest.
type PermitGrant struct {
	// Asked is that of the request.
	Asked   time.Duration `cbor:"1,keyasint"`
	Permits []Permits     `cbor:"2,keyasint,omitempty"`
	// Homes are members that the sender takes for homes of tenants that were asked for, because it is not.
	Homes []Member `cbor:"3,keyasint,omitempty"`
	// Handovers are those of the claimed tenants that the sender has lent until shortly before.
	Handovers []PermitHandover `cbor:"4,keyasint,omitempty"`
}

// Permits are the permits of one tenant that a borrower may use.
type Permits struct {
	Tenant string `cbor:"1,keyasint"`
	// Limit is the number of permits, counted from the start of the borrower's process, that may be used until Life has passed
	// since the time of asking.
	Limit uint64        `cbor:"2,keyasint"`
	Life  time.Duration `cbor:"3,keyasint"`
	// Undecided is true if the sender does not lend permits of this tenant at present. The other fields but Retry are not set.
	Undecided bool `cbor:"4,keyasint,omitempty"`
	// Retry is the time until it is useful to ask again; zero if all that was wanted is granted.
	Retry time.Duration `cbor:"5,keyasint,omitempty"`
	// Share is the number of permits per second that the borrower can expect while the tenant's quota is short.
	Share float64 `cbor:"6,keyasint,omitempty"`
}

// Check returns an error if the message is malformed.
func (r PermitRequest) Check() error {
	if r.Asked < 0 || len(r.Demands)+len(r.Claims) > MaxPermitItems {
		return errors.Errorf("permit request: asked at %s, %d items: need a time above 0 and at most %d", r.Asked,
			len(r.Demands)+len(r.Claims), MaxPermitItems)
	}
	for _, d := range r.Demands {
		if len(d.Tenant) > maxNameLength || d.Limit < d.Used || !isCount(d.Rate) {
			return errors.Errorf("permit request: limit %d, used %d, rate %g", d.Limit, d.Used, d.Rate)
		}
	}
	for _, tenant := range r.Claims {
		if len(tenant) > maxNameLength {
			return errors.Errorf("permit request: tenant name of %d bytes", len(tenant))
		}
	}
	return nil
}

// Check returns an error if the message is malformed.
func (g PermitGrant) Check() error {
	if g.Asked < 0 || len(g.Permits)+len(g.Handovers) > MaxPermitItems || len(g.Homes) > MaxPermitHomes {
		return errors.Errorf("permits: asked at %s, %d items, %d homes: need a time above 0 and at most %d and %d", g.Asked,
			len(g.Permits)+len(g.Handovers), len(g.Homes), MaxPermitItems, MaxPermitHomes)
	}
	for _, h := range g.Handovers {
		if len(h.Tenant) > maxNameLength || !isCount(h.Available) {
			return errors.Errorf("permits: handover of %g", h.Available)
		}
	}
	for _, m := range g.Homes {
		if err := m.Check(); err != nil {
			return errors.Wrap(err, "permits: home")
		}
	}
	for _, p := range g.Permits {
		if len(p.Tenant) > maxNameLength || p.Life < 0 || p.Life > MaxPermitLife || p.Retry < 0 || !isCount(p.Share) {
			return errors.Errorf("permits: life %s, retry %s, share %g", p.Life, p.Retry, p.Share)
		}
	}
	return nil
}

// isCount reports whether f is a finite number of at least 0.
func isCount(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }
