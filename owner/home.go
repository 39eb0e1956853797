package owner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// roster is a list of member names with their hashes, so that finding the home of a key takes one 16-byte hash for each
// member.
type roster struct {
	names  []string
	hashes []uint64
}

func newRoster(names []string) roster {
	r := roster{names: names, hashes: make([]uint64, len(names))}
	for i, name := range names {
		r.hashes[i] = xxhash.Sum64String(name)
	}
	return r
}

// home returns the member with the highest rendezvous hash for the key; empty if there are no members.
func (r roster) home(key string) string {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(key))
	bestScore, member := uint64(0), ""
	for i, h := range r.hashes {
		binary.LittleEndian.PutUint64(buf[:8], h)
		if score := xxhash.Sum64(buf[:]); member == "" || score > bestScore {
			bestScore, member = score, r.names[i]
		}
	}
	return member
}

// HomeOf returns the home of a key in a sorted roster; empty if the roster is empty.
func HomeOf(names []string, key string) string { return newRoster(names).home(key) }
