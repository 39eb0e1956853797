package hornbeamcroft

import (
	"strconv"

	"github.com/go-faster/errors"
)

// Importance orders requests for load shedding: requests of a higher level are shed later. It is set where a request enters
// and is inherited by every call of its call graph.
type Importance uint8

// The importance levels, for example ImportanceLow for lookups and balance checks and ImportanceHigh for deposits.
const (
	ImportanceLow Importance = iota
	ImportanceNormal
	ImportanceHigh
	ImportanceCritical

	// ImportanceCount is the number of levels that a request type or a route can have.
	ImportanceCount
)

// A tenant's priority goes before that of the route: each band holds the levels of the routes for tenants of one priority. Requests
// without a tenant are in band 0.
const (
	// ImportanceBands is the number of bands.
	ImportanceBands = 3
	// ImportanceLevels is the number of levels in all bands, for arrays indexed by importance.
	ImportanceLevels = ImportanceCount * ImportanceBands
)

var importanceNames = [ImportanceCount]string{"low", "normal", "high", "critical"}

// String returns the name used in the operators' document, with the band if it is above 0.
func (i Importance) String() string {
	if i >= ImportanceLevels {
		return "invalid"
	}
	name := importanceNames[i.InBand(0)]
	if band := i.Band(); band > 0 {
		name += "+" + strconv.Itoa(band)
	}
	return name
}

// Band returns the band of the level, from 0 to ImportanceBands-1.
func (i Importance) Band() int { return int(i / ImportanceCount) }

// InBand returns the level of the route in another band.
func (i Importance) InBand(band int) Importance {
	return i%ImportanceCount + Importance(band)*ImportanceCount
}

// Check returns an error if i is not one of the defined levels.
func (i Importance) Check() error {
	if i >= ImportanceLevels {
		return errors.Errorf("importance %d: must be 0 to %d", uint8(i), ImportanceLevels-1)
	}
	return nil
}

// ParseImportance returns the level with the given name, or an error if there is none.
func ParseImportance(name string) (Importance, error) {
	for i, s := range importanceNames {
		if s == name {
			return Importance(i), nil
		}
	}
	return 0, errors.Errorf("importance %q: must be one of low, normal, high, critical", name)
}
