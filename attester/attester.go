// Package attester keeps the proof of how recently a node's configuration was known to be the newest, and decides when the node
// asks the store itself and when it passes its proof on to other nodes. It does no I/O and reads no clock.
//
// A proof is the time at which a linearizable response of the store was requested, with the configuration that the response
// showed. A few nodes of each zone ask the store; the others learn their proofs over links. All times are of the node's own
// clock, which must not stand still while the node is frozen or the machine is suspended.
package attester

import (
	"time"

	"hornbeamcroft"
)

// Proof states that the configuration was the newest in the store at a time.
type Proof struct {
	// At is the time, on the node's own clock, at which the response of the store was requested, or an earlier one.
	At time.Duration
	// Version and Sum are the version of the configuration and a hash of its bytes. After the store came back from an older copy,
	// another configuration may get a version that was used before.
	Version int64
	Sum     uint64
	// Era is the era of the store; see hornbeamcroft.NewRevision.
	Era int64
}

// configuration is a configuration and the proof of it.
type configuration struct {
	version int64
	sum     uint64
	proof   Proof
	proven  bool
}

// Attester holds the proof of a node's configuration. Set the exported fields before use. It is not safe for concurrent use.
type Attester struct {
	// Name and Zone are those of the node.
	Name, Zone string
	Rand       hornbeamcroft.Rand

	// current is the configuration in force, and previous the one before it, for requests that began with it.
	current, previous configuration
	// next is the latest proof of a newer configuration than the current one.
	next configuration
	// carried is true if the proof of current is one of the configuration before.
	carried bool
	// active is true if the configuration in force needs proofs.
	active bool
	// era is the latest known era of the store.
	era int64
	reads
	passing
	linking
}

// Applied records the configuration in force. If it needs no proof, the node asks nobody and offers nothing.
//
// The proof of the configuration before counts for the new one too: no configuration that was stored before that proof is newer.
// Otherwise each change would leave all nodes without a proof until the next response of the store has reached them.
func (a *Attester) Applied(now time.Duration, version int64, sum uint64, needsProof bool) {
	if version == a.current.version && sum == a.current.sum {
		a.active = needsProof
		return
	}
	a.previous = a.current
	a.current.version, a.current.sum = version, sum
	a.carried = a.current.proven
	if a.next.proven && a.next.version == version && a.next.sum == sum {
		a.accept(a.next.proof)
	}
	if a.next.version <= version {
		a.next = configuration{}
	}
	a.active = needsProof
	a.startReads(now)
}

// Active reports whether the configuration in force needs proofs.
func (a *Attester) Active() bool { return a.active }

// Age returns the age of the best proof for the version, or false if there is none. Only the version in force and the one before
// have proofs.
func (a *Attester) Age(now time.Duration, version int64) (time.Duration, bool) {
	for _, c := range [...]*configuration{&a.current, &a.previous} {
		if c.version == version {
			return now - c.proof.At, c.proven
		}
	}
	return 0, false
}

// Best returns the best proof for the configuration in force and its age. If there is none, it returns false and the time since
// the configuration came into force.
func (a *Attester) Best(now time.Duration) (Proof, time.Duration, bool) {
	return a.current.proof, a.age(now), a.current.proven
}

// add adds a proof. It returns true if the proof is of a newer version than the one in force, which is to be requested.
//
// A proof of an older version, or of other bytes under the same version, proves nothing either way. A proof of an earlier era
// than the latest known one is not used: a copy of the store that was replaced may still answer.
func (a *Attester) add(p Proof) (newer bool) {
	if p.Era < a.era {
		return false
	}
	a.era = p.Era
	switch {
	case p.Version > a.current.version:
		if p.Version > a.next.version || p.Version == a.next.version && p.At > a.next.proof.At {
			a.next = configuration{version: p.Version, sum: p.Sum, proof: p, proven: true}
		}
		return true
	case p.Version == a.current.version && p.Sum == a.current.sum:
		a.accept(p)
	}
	return false
}

// accept takes a proof of the configuration in force if it is later than the best one.
func (a *Attester) accept(p Proof) {
	if a.current.proven && p.At <= a.current.proof.At {
		return
	}
	a.current.proof, a.current.proven, a.carried = p, true, false
	a.drawDelay()
}

// age returns the age of the best proof, or the time since the configuration came into force if there is none.
func (a *Attester) age(now time.Duration) time.Duration {
	if a.current.proven {
		return now - a.current.proof.At
	}
	return now - a.appliedAt
}
