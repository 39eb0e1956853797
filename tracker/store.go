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
	// aloneTime is how long a node asks its peers before it reads the zone rosters from the store.
	aloneTime = 2 * time.Second
	// aloneInterval bounds the reads of nodes that find nobody: 1,400 of them make 470 calls/s.
	aloneInterval = 3 * time.Second
	// rosterReadInterval is how often the lease holder reads all zone rosters, to find members that no peer named.
	rosterReadInterval = time.Minute
	// rosterWriteInterval collects the changes of a burst in one write.
	rosterWriteInterval = time.Second
	storeRetry          = time.Second
	// maxStoredRoster is below the store's 1 MB.
	maxStoredRoster = 900_000
)

// StoredRoster is the value of a zone's key in the store.
type StoredRoster struct {
	Zone    string                 `cbor:"1,keyasint"`
	Members []hornbeamcroft.Member `cbor:"2,keyasint"`
}

// Check reports whether the value is well formed.
func (s StoredRoster) Check() error {
	if s.Zone == "" || len(s.Zone) > maxNameLength {
		return errors.Errorf("stored roster: zone of %d bytes: allowed are 1 to %d", len(s.Zone), maxNameLength)
	}
	for _, m := range s.Members {
		if err := m.Check(); err != nil {
			return errors.Wrap(err, "stored roster")
		}
	}
	return nil
}

// StoreAction is what the node does with the store next.
type StoreAction uint8

// The actions.
const (
	StoreNone StoreAction = iota
	// StoreList reads all entries with KeyZonePrefix.
	StoreList
	// StoreWrite runs a transaction.
	StoreWrite
)

// StoreRequest is one call to the store.
type StoreRequest struct {
	Action StoreAction
	// Conditions and Puts are set for StoreWrite. The lease's key is among the conditions, so that a former holder
	// that was paused writes nothing.
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

type storeState struct {
	// alone is when a node that knows nobody reads next.
	alone time.Duration
	busy  bool
	next  time.Duration
	// lease is the ModRevision of the lease's key, zero without a lease.
	lease int64
	// revision is the ModRevision of the zone's key, if known is true.
	revision int64
	known    bool
	// written is the hash of the zone's roster in the store, writing the one under way.
	written, writing uint64
	lastRead         time.Duration
}

func newStoreState(now time.Duration) storeState { return storeState{alone: now + aloneTime} }

// WantsLease reports whether this node should hold the lease of its zone's roster: it is the relay of lowest rank.
func (t *Tracker) WantsLease() bool {
	l := t.zone(t.self.Zone).relays()
	return len(l) > 0 && l[0].Name == t.self.Name
}

// SetLease gives the ModRevision of the key KeyLeasePrefix + zone while this node holds the lease, else zero.
func (t *Tracker) SetLease(revision int64) {
	if revision != t.store.lease {
		t.store.known = false
	}
	t.store.lease = revision
}

// StoreWork returns the next call to the store. After a request other than StoreNone, it returns StoreNone until
// StoreDone was called.
func (t *Tracker) StoreWork(now time.Duration) StoreRequest {
	s := &t.store
	if s.busy || now < s.next || t.superseded {
		return StoreRequest{}
	}
	alone := len(t.members) == 1 && now >= s.alone
	holder := s.lease != 0 && t.WantsLease()
	switch {
	case holder && !s.known, alone, holder && now-s.lastRead >= rosterReadInterval:
		s.busy = true
		s.alone = now + aloneInterval
		return StoreRequest{Action: StoreList}
	case holder && s.written != t.zone(t.self.Zone).hash:
		return t.writeRoster()
	}
	return StoreRequest{}
}

func (t *Tracker) writeRoster() StoreRequest {
	z := t.zone(t.self.Zone)
	r := StoredRoster{Zone: z.name}
	for _, e := range z.live() {
		r.Members = append(r.Members, e.Member)
	}
	value, err := cbor.Marshal(r)
	if err != nil || len(value) > maxStoredRoster {
		return StoreRequest{}
	}
	t.store.busy = true
	t.store.writing = z.hash
	return StoreRequest{
		Action: StoreWrite,
		Conditions: []hornbeamcroft.Compare{
			{Key: hornbeamcroft.KeyLeasePrefix + z.name, ModRevision: t.store.lease},
			{Key: hornbeamcroft.KeyZonePrefix + z.name, ModRevision: t.store.revision},
		},
		Puts: []hornbeamcroft.Put{{Key: hornbeamcroft.KeyZonePrefix + z.name, Value: value}},
	}
}

// StoreDone takes the outcome of the last StoreRequest.
func (t *Tracker) StoreDone(now time.Duration, r StoreResult) []Outgoing {
	s := &t.store
	s.busy = false
	s.next = now + rosterWriteInterval
	if r.Err != nil {
		// A failed write may have taken effect, so the revision is read again.
		s.known = s.known && r.Action != StoreWrite
		s.next = now + storeRetry
		return nil
	}
	switch r.Action {
	case StoreList:
		return t.onStored(now, r.Entries)
	case StoreWrite:
		s.known = r.Txn.Succeeded
		if r.Txn.Succeeded {
			s.revision, s.written = r.Txn.Revision, s.writing
		}
	}
	return nil
}

// onStored merges the rosters of the store: the own zone's as records, and of other zones the live members that are not
// known. A stored record never replaces a newer one.
func (t *Tracker) onStored(now time.Duration, entries []hornbeamcroft.Entry) []Outgoing {
	s := &t.store
	s.known, s.revision, s.written, s.lastRead, s.next = true, 0, 0, now, now
	var out []Outgoing
	for _, e := range entries {
		var r StoredRoster
		if cbor.Unmarshal(e.Value, &r) != nil || r.Check() != nil || !strings.HasSuffix(e.Key, "/"+r.Zone) {
			continue
		}
		if r.Zone == t.self.Zone {
			s.revision = e.ModRevision
			for _, m := range r.Members {
				s.written ^= recordHash(m)
			}
		}
		unknown := slices.DeleteFunc(r.Members, func(m hornbeamcroft.Member) bool {
			return m.Name != t.self.Name && t.members[m.Name] != nil && !m.Newer(t.members[m.Name].Member)
		})
		out = append(out, t.mergeAll(now, "", unknown)...)
	}
	return out
}
