package admitter

import (
	"github.com/cespare/xxhash/v2"

	"hornbeamcroft"
)

// hashShift keeps the upper 16 bits of the 64-bit hash, so that the survival hash is below
// hornbeamcroft.ThresholdAll.
const hashShift = 48

// Hash returns the survival hash of a request id. Every node computes the same hash, so that all services under the
// same admission level admit the same requests.
func Hash(request string) uint32 {
	return uint32(xxhash.Sum64String(request) >> hashShift)
}

// Admits reports whether a service with the admission level p admits a request of importance i with the given
// survival hash.
func Admits(p hornbeamcroft.AdmissionLevel, i hornbeamcroft.Importance, hash uint32) bool {
	if i != p.Importance {
		return i > p.Importance
	}
	return hash < p.Threshold
}
