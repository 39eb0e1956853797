package exchanger

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRefusedAttempts is the number of attempts that a connection remembers. It carries no more of them, because a second copy of
// the first one's answer may still come.
const maxRefusedAttempts = 256

// attemptSet remembers attempts by a hash of their ids.
type attemptSet struct {
	hashes []uint64
}

// add adds an attempt and reports whether there is room for another one.
func (s *attemptSet) add(attempt string) bool {
	s.hashes = append(s.hashes, xxhash.Sum64String(attempt))
	return len(s.hashes) < maxRefusedAttempts
}

func (s *attemptSet) contains(attempt string) bool {
	return slices.Contains(s.hashes, xxhash.Sum64String(attempt))
}
