package tracker

import (
	"slices"
	"strings"
	"time"

	"hornbeamcroft"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// aloneReadDelay is the time for which a node that knows no other member tries only its configured peers before it
	// reads the zone rosters from the store.
	aloneReadDelay = 2 * time.Second
	// aloneReadInterval limits the reads of a node that finds no other member. At 3 s, 1,400 such nodes make 470
	// calls/s to the store.
	aloneReadInterval = 3 * time.Second
	// rosterReadInterval is the interval at which the lease holder reads all zone rosters, to find members that it did
	// not learn of from peers.
	rosterReadInterval = time.Minute
	// rosterWriteInterval is the least time between a write and the next call to the store, so that a burst of changes
	// is written at once.
	rosterWriteInterval = time.Second
	// storeRetryDelay is the delay before the next call to the store after a failed one.
	storeRetryDelay = time.Second
	// maxStoredRosterBytes is the largest value of a zone's key; it is below the store's limit of 1 MB.
	maxStoredRosterBytes = 900_000
)

// StoredRoster is the value of a zone's key in the store: the live members of the zone.
type StoredRoster struct {
	Zone    string                 `cbor:"1,keyasint"`
	Members []hornbeamcroft.Member `cbor:"2,keyasint"`
}

// Check returns an error if the value is not well formed.
func (s StoredRoster) Check() error {
	if s.Zone == "" || len(s.Zone) > maxNameLength {
		return errors.Errorf("stored roster: zone of %d bytes: must be 1 to %d", len(s.Zone), maxNameLength)
	}
	for _, m := range s.Members {
		if err := m.Check(); err != nil {
			return errors.Wrap(err, "stored roster")
		}
	}
	return nil
}

// decodeRoster decodes the value of a zone's key, and leaves out the members that cannot be read; whole is false if there were
// any. Another writer may have left them.
func decodeRoster(value []byte) (roster StoredRoster, whole bool, err error) {
	var raw struct {
		Zone    string            `cbor:"1,keyasint"`
		Members []cbor.RawMessage `cbor:"2,keyasint"`
	}
	if err := cbor.Unmarshal(value, &raw); err != nil {
		return StoredRoster{}, false, err
	}
	roster.Zone = raw.Zone
	for _, entry := range raw.Members {
		var m hornbeamcroft.Member
		if cbor.Unmarshal(entry, &m) == nil && m.Check() == nil {
			roster.Members = append(roster.Members, m)
		}
	}
	return roster, len(roster.Members) == len(raw.Members), roster.Check()
}

// StoreAction is the kind of call that the node makes to the store.
type StoreAction uint8

// The kinds of calls to the store.
const (
	// StoreNone makes no call.
	StoreNone StoreAction = iota
	// StoreList reads all entries whose keys start with KeyZonePrefix.
	StoreList
	// StoreWrite runs a transaction with Conditions and Puts.
	StoreWrite
)

// StoreRequest is one call to the store.
type StoreRequest struct {
	Action StoreAction
	// Conditions and Puts are set for StoreWrite. One condition is on the lease's key, so that a node that lost the
	// lease while it was paused cannot write.
	Conditions []hornbeamcroft.Compare
	Puts       []hornbeamcroft.Put
}

// StoreResult is the outcome of a StoreRequest.
type StoreResult struct {
	Action  StoreAction
	Entries []hornbeamcroft.Entry
	Txn     hornbeamcroft.TxnResult
	Err     error
}

// storeState holds the state of the reads and writes of zone rosters in the store.
type storeState struct {
	// nextAloneRead is the earliest time of the next read if this node knows no other member.
	nextAloneRead time.Duration
	// callPending is true between a request of NextStoreRequest and the matching OnStoreResult.
	callPending bool
	// nextCall is the earliest time of the next call.
	nextCall time.Duration
	// leaseRevision is the ModRevision of the lease's key; zero if this node does not hold the lease.
	leaseRevision int64
	// rosterRevision is the ModRevision of the zone's key; valid only if rosterRevisionKnown is true.
	rosterRevision      int64
	rosterRevisionKnown bool
	// storedHash is the hash of the zone's roster in the store, pendingHash that of the roster being written.
	storedHash, pendingHash uint64
	// lastRead is the time of the last read of all zone rosters.
	lastRead time.Duration
}

func newStoreState(now time.Duration) storeState {
	return storeState{nextAloneRead: now + aloneReadDelay}
}

// WantsLease reports whether this node should hold the lease of its zone's roster, which is the case for the relay of
// lowest rank.
func (t *Tracker) WantsLease() bool {
	l := t.zone(t.self.Zone).relays()
	return len(l) > 0 && l[0].Name == t.self.Name
}

// SetLease sets the ModRevision of the key KeyLeasePrefix + zone while this node holds the lease, and zero otherwise.
func (t *Tracker) SetLease(revision int64) {
	if revision != t.store.leaseRevision {
		t.store.rosterRevisionKnown = false
	}
	t.store.leaseRevision = revision
}

// NextStoreRequest returns the next call to make to the store. After a request other than StoreNone, it returns
// StoreNone until OnStoreResult is called.
func (t *Tracker) NextStoreRequest(now time.Duration) StoreRequest {
	s := &t.store
	if s.callPending || now < s.nextCall || t.superseded {
		return StoreRequest{}
	}
	alone := len(t.members) == 1 && now >= s.nextAloneRead
	holder := s.leaseRevision != 0 && t.WantsLease()
	switch {
	case holder && !s.rosterRevisionKnown, alone, holder && now-s.lastRead >= rosterReadInterval:
		s.callPending = true
		s.nextAloneRead = now + aloneReadInterval
		return StoreRequest{Action: StoreList}
	case holder && s.storedHash != t.zone(t.self.Zone).hash:
		return t.writeRoster()
	}
	return StoreRequest{}
}

// writeRoster returns the request that writes the live members of this node's zone to the store. It returns StoreNone
// if they take more than maxStoredRosterBytes.
func (t *Tracker) writeRoster() StoreRequest {
	z := t.zone(t.self.Zone)
	r := StoredRoster{Zone: z.name}
	for _, e := range z.live() {
		r.Members = append(r.Members, e.Member)
	}
	value, err := cbor.Marshal(r)
	if err != nil || len(value) > maxStoredRosterBytes {
		return StoreRequest{}
	}
	t.store.callPending = true
	t.store.pendingHash = z.hash
	return StoreRequest{
		Action: StoreWrite,
		Conditions: []hornbeamcroft.Compare{
			{Key: hornbeamcroft.KeyLeasePrefix + z.name, ModRevision: t.store.leaseRevision},
			{Key: hornbeamcroft.KeyZonePrefix + z.name, ModRevision: t.store.rosterRevision},
		},
		Puts: []hornbeamcroft.Put{{Key: hornbeamcroft.KeyZonePrefix + z.name, Value: value}},
	}
}

// OnStoreResult processes the outcome of the last StoreRequest.
func (t *Tracker) OnStoreResult(now time.Duration, r StoreResult) []Outgoing {
	s := &t.store
	s.callPending = false
	s.nextCall = now + rosterWriteInterval
	if r.Err != nil {
		// The failed write may have taken effect, so the roster's revision must be read again.
		s.rosterRevisionKnown = s.rosterRevisionKnown && r.Action != StoreWrite
		s.nextCall = now + storeRetryDelay
		return nil
	}
	switch r.Action {
	case StoreList:
		return t.onStoredRosters(now, r.Entries)
	case StoreWrite:
		s.rosterRevisionKnown = r.Txn.Succeeded
		if r.Txn.Succeeded {
			s.rosterRevision, s.storedHash = r.Txn.Revision, s.pendingHash
		}
	}
	return nil
}

// onStoredRosters merges the records of all zone rosters in the store that are unknown or newer than the known ones,
// and those of this node itself. It remembers the revision and hash of this node's zone's roster. What is not well formed is
// skipped, and written again by the lease holder.
func (t *Tracker) onStoredRosters(now time.Duration, entries []hornbeamcroft.Entry) []Outgoing {
	s := &t.store
	s.rosterRevisionKnown, s.rosterRevision, s.storedHash, s.lastRead, s.nextCall = true, 0, 0, now, now
	var out []Outgoing
	for _, e := range entries {
		zone := strings.TrimPrefix(e.Key, hornbeamcroft.KeyZonePrefix)
		if zone == t.self.Zone {
			s.rosterRevision = e.ModRevision
		}
		r, whole, err := decodeRoster(e.Value)
		if err != nil || r.Zone != zone {
			continue
		}
		if zone == t.self.Zone && whole {
			for _, m := range r.Members {
				s.storedHash ^= recordHash(m)
			}
		}
		newer := slices.DeleteFunc(r.Members, func(m hornbeamcroft.Member) bool {
			return m.Name != t.self.Name && t.members[m.Name] != nil && !m.Newer(t.members[m.Name].Member)
		})
		out = append(out, t.mergeAndPush(now, "", newer)...)
	}
	return out
}
