package hornbeamcroft

import "github.com/go-faster/errors"

const (
	// FullShare is the Keep of a tenant that is not limited.
	FullShare = 1000
	// MaxTenantShares is the maximum number of limited tenants in a report. Those with the largest excess are reported; what the
	// others exceed is shed like all requests of the importance.
	MaxTenantShares = 4
)

// TenantShare states that a tenant demands more than its fair share of the capacity.
type TenantShare struct {
	Tenant     string     `cbor:"1,keyasint"`
	Importance Importance `cbor:"2,keyasint"`
	// Keep is the part of the tenant's requests of the importance, in thousandths, that is within its share.
	Keep int `cbor:"3,keyasint"`
	// Excess is the demand beyond the share, in slots. It is not sent.
	Excess float64 `cbor:"-"`
}

// Check returns an error if the share is malformed.
func (s TenantShare) Check() error {
	if s.Tenant == "" || len(s.Tenant) > maxNameLength || s.Keep < 0 || s.Keep > FullShare {
		return errors.Errorf("tenant share: name of %d bytes, keep %d: must be 1 to %d and 0 to %d",
			len(s.Tenant), s.Keep, maxNameLength, FullShare)
	}
	return s.Importance.Check()
}

// checkShares returns an error if there are too many shares or one of them is malformed.
func checkShares(shares []TenantShare) error {
	if len(shares) > MaxTenantShares {
		return errors.Errorf("%d tenant shares: must be at most %d", len(shares), MaxTenantShares)
	}
	for _, s := range shares {
		if err := s.Check(); err != nil {
			return err
		}
	}
	return nil
}
