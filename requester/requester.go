// Package requester decides when a node requests a newer configuration of routes from a peer, and from which. After a change
// the store delivers the configuration to most nodes itself, within a short time, while all their peers announce the new
// version: a node that requested it from each peer at once would get many copies of a large configuration.
package requester

import "time"

const (
	// storeTime is how long the node waits for its own copy from the store before it requests one. Nodes must apply a
	// change within 2 s.
	storeTime = 250 * time.Millisecond
	// answerTime is how long the node waits for the answer of one peer before it asks another.
	answerTime = 400 * time.Millisecond
)

// peer is a peer that has announced a version.
type peer struct {
	name     string
	version  int64
	sameZone bool
	// asked is true if the version was requested from the peer.
	asked bool
}

// Requester holds the announcements of peers. It is not safe for concurrent use.
type Requester struct {
	// have is the version in force; zero if there is none.
	have  int64
	peers []peer
	// nextAt is when the next request is due; zero if none is.
	nextAt time.Duration
}

// Announced records that a peer has the version in force.
func (r *Requester) Announced(now time.Duration, name string, version int64, sameZone bool) {
	if version <= r.have {
		return
	}
	if len(r.peers) == 0 {
		r.nextAt = now
		if r.have > 0 {
			r.nextAt += storeTime
		}
	}
	for i := range r.peers {
		if p := &r.peers[i]; p.name == name {
			if version > p.version {
				p.version, p.asked = version, false
			}
			return
		}
	}
	r.peers = append(r.peers, peer{name: name, version: version, sameZone: sameZone})
}

// Applied records that a version is in force.
func (r *Requester) Applied(version int64) {
	r.have = max(r.have, version)
	kept := r.peers[:0]
	for _, p := range r.peers {
		if p.version > r.have {
			kept = append(kept, p)
		}
	}
	r.peers = kept
}

// Due returns the peer from which the configuration is to be requested now, or false if no request is due: the peer with the
// highest version, those in the node's zone first. When all were asked without success, it begins again.
func (r *Requester) Due(now time.Duration) (string, bool) {
	if len(r.peers) == 0 || now < r.nextAt {
		return "", false
	}
	best := -1
	for i, p := range r.peers {
		if !p.asked && (best < 0 || p.before(r.peers[best])) {
			best = i
		}
	}
	if best < 0 {
		// The peers may have ended; those that still run announce their version again when a link to them opens.
		r.peers = r.peers[:0]
		return "", false
	}
	r.peers[best].asked = true
	r.nextAt = now + answerTime
	return r.peers[best].name, true
}

// before reports whether p is to be asked before other.
func (p peer) before(other peer) bool {
	if p.version != other.version {
		return p.version > other.version
	}
	return p.sameZone && !other.sameZone
}
