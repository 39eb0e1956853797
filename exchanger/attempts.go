package exchanger

import "github.com/cespare/xxhash/v2"

// maxRefusedAttempts is the number of attempts that a connection remembers. A second copy of an answer that comes after the
// answers to so many other attempts is not expected.
const maxRefusedAttempts = 64

// attemptRing remembers the last attempts that were added, by a hash of their ids.
type attemptRing struct {
	hashes [maxRefusedAttempts]uint64
	// next is the index of the oldest entry, which the next attempt replaces.
	next int
}

// add adds an attempt in place of the oldest one.
func (r *attemptRing) add(attempt string) {
	r.hashes[r.next] = xxhash.Sum64String(attempt)
	r.next = (r.next + 1) % len(r.hashes)
}

// contains reports whether the attempt is among the last ones.
func (r *attemptRing) contains(attempt string) bool {
	h := xxhash.Sum64String(attempt)
	for _, other := range r.hashes {
		if other == h {
			return true
		}
	}
	return false
}
