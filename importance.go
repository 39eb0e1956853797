package hornbeamcroft

import "github.com/go-faster/errors"

// Importance orders requests for load shedding: requests of a higher level are shed later. It is set where a request enters
// and is inherited by every call of its call graph.
type Importance uint8

// The importance levels, for example ImportanceLow for lookups and balance checks and ImportanceHigh for deposits.
const (
	ImportanceLow Importance = iota
	ImportanceNormal
	ImportanceHigh
	ImportanceCritical

	// ImportanceCount is the number of levels, for arrays indexed by importance.
	ImportanceCount
)

var importanceNames = [ImportanceCount]string{"low", "normal", "high", "critical"}

// String returns the name used in the operators' document.
func (i Importance) String() string {
	if i >= ImportanceCount {
		return "invalid"
	}
	return importanceNames[i]
}

// Check returns an error if i is not one of the defined levels.
func (i Importance) Check() error {
	if i >= ImportanceCount {
		return errors.Errorf("importance %d: must be 0 to %d", uint8(i), ImportanceCount-1)
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
