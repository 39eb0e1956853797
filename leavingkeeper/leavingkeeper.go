// Package leavingkeeper keeps in the store which start of the local upstream has announced that it leaves. Each node has a key of its own
// for that, whose lease is not that of the node's record: it goes on while all nodes are down. A started node reads the keys of all nodes.
package leavingkeeper

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"hornbeamcroft"
)

const (
	// TTL is the lifetime of the lease under which a leaving is kept. Nobody renews it: an upstream that has announced that it leaves
	// runs on for seconds.
	TTL = 10 * time.Minute
	// retryDelay is the delay after a failed call. An upstream may be waiting for the next one.
	retryDelay = 200 * time.Millisecond
)

// errRevisionChanged means that the key was written since its revision was read.
var errRevisionChanged = errors.New("the key of the leaving was changed since it was read")

// Keeper keeps the record that says that the local upstream leaves. Set the exported fields before Run. The methods other than Run are
// safe for concurrent use.
type Keeper struct {
	// Store is used while no leaving waits to be written, Urgent while one does.
	Store, Urgent hornbeamcroft.Store
	// Prefix and Name form the key of this node.
	Prefix, Name string
	// OnRead is called with the records of all nodes in the store, each of which says that an upstream leaves: once after the start, and
	// again after Restored.
	OnRead func(members []hornbeamcroft.Member)
	// OnKept is called when the store has begun to hold the record m.
	OnKept func(m hornbeamcroft.Member)
	// OnMalformed is called with each entry that cannot be read.
	OnMalformed func(e hornbeamcroft.Entry, err error)
	// OnFailed is called with the error of a failed call.
	OnFailed func(err error)

	// mu guards the fields up to wake; only Run uses those below.
	mu sync.Mutex
	// wanted is the record that the store should hold, and kept the one that it is known to hold. Both name no start if there is none.
	wanted, kept hornbeamcroft.Member
	// mustList is true if the keys have to be read again although they have been.
	mustList bool
	wake     chan struct{}

	// listed is true once the keys were read.
	listed bool
	// revision is that of the key of this node, and zero if the key does not exist. If mustRead is true, the revision is not known.
	revision int64
	mustRead bool
	// lease is the lease for the next write; zero if there is none.
	lease hornbeamcroft.LeaseID
}

// Keep lets Run write m, the record of this node, which says that its upstream leaves. It reports whether the store holds already that this
// start leaves.
func (k *Keeper) Keep(m hornbeamcroft.Member) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if sameStart(m, k.kept) {
		return true
	}
	if !sameStart(m, k.wanted) {
		k.wanted = m
		k.signal()
	}
	return false
}

// Restored lets Run read all keys and write its own again, because the store came back from an older copy.
func (k *Keeper) Restored() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mustList, k.kept = true, hornbeamcroft.Member{}
	k.signal()
}

// sameStart reports whether two records are about the same start of an upstream.
func sameStart(a, b hornbeamcroft.Member) bool {
	return a.Instance == b.Instance && a.Born == b.Born && a.Service == b.Service
}

// signal wakes Run. The caller must hold k.mu.
func (k *Keeper) signal() {
	select {
	case k.wakeChan() <- struct{}{}:
	default:
	}
}

// wakeChan returns the channel on which signal wakes Run. The caller must hold k.mu.
func (k *Keeper) wakeChan() chan struct{} {
	if k.wake == nil {
		k.wake = make(chan struct{}, 1)
	}
	return k.wake
}

// Run reads the keys of all nodes and then writes what Keep is called with, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	wake := k.wakeChan()
	k.mu.Unlock()
	for ctx.Err() == nil {
		err := k.makeDueCalls(ctx)
		if err == nil {
			select {
			case <-ctx.Done():
			case <-wake:
			}
			continue
		}
		if ctx.Err() == nil {
			k.OnFailed(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// makeDueCalls reads the keys if that is due, and writes the wanted record unless the store holds it.
func (k *Keeper) makeDueCalls(ctx context.Context) error {
	store := k.Store
	if _, due := k.due(); due {
		store = k.Urgent
	}
	if err := k.list(ctx, store); err != nil {
		return err
	}
	m, due := k.due()
	if !due {
		return nil
	}
	return k.write(ctx, m)
}

// due returns the record that has to be written, or false if there is none.
func (k *Keeper) due() (hornbeamcroft.Member, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.wanted, k.wanted.HasLeft() && !sameStart(k.wanted, k.kept)
}

// list reads the keys of all nodes if that is due.
func (k *Keeper) list(ctx context.Context, store hornbeamcroft.Store) error {
	k.mu.Lock()
	k.listed = k.listed && !k.mustList
	k.mustList = false
	k.mu.Unlock()
	if k.listed {
		return nil
	}
	entries, _, err := store.List(ctx, k.Prefix)
	if err != nil {
		return err
	}
	k.listed, k.mustRead, k.revision = true, false, 0
	k.OnRead(k.readEntries(entries))
	return nil
}

// readEntries returns the records in the entries, and applies that of this node.
func (k *Keeper) readEntries(entries []hornbeamcroft.Entry) []hornbeamcroft.Member {
	var members []hornbeamcroft.Member
	for _, e := range entries {
		if e.Key == k.Prefix+k.Name {
			k.revision = e.ModRevision
		}
		m, err := decode(e, k.Prefix)
		if err != nil {
			k.OnMalformed(e, err)
			continue
		}
		members = append(members, m)
		if m.Name == k.Name {
			k.setFound(m)
		}
	}
	return members
}

// setFound records that the store holds the record m of this node.
func (k *Keeper) setFound(m hornbeamcroft.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept = m
	if !k.wanted.HasLeft() {
		k.wanted = m
	}
}

// decode returns the record in an entry of the store.
func decode(e hornbeamcroft.Entry, prefix string) (hornbeamcroft.Member, error) {
	var m hornbeamcroft.Member
	if err := cbor.Unmarshal(e.Value, &m); err != nil {
		return m, err
	}
	if err := m.Check(); err != nil {
		return m, err
	}
	if prefix+m.Name != e.Key {
		return m, errors.Errorf("leaving at member %s is stored under another name", m.Name)
	}
	if !m.HasLeft() {
		return m, errors.Errorf("leaving at member %s names no start that leaves", m.Name)
	}
	return m, nil
}

// write writes the record unless the store holds already that this start leaves.
func (k *Keeper) write(ctx context.Context, m hornbeamcroft.Member) error {
	held, err := k.isHeld(ctx, m)
	if err != nil {
		return err
	}
	if !held {
		if err := k.ensureLease(ctx); err != nil {
			return err
		}
		if err := k.put(ctx, m); err != nil {
			k.mustRead = true
			return err
		}
	}
	k.setKept(m)
	return nil
}

// isHeld reads the key if its revision is not known, and reports whether it says that the start in m leaves.
func (k *Keeper) isHeld(ctx context.Context, m hornbeamcroft.Member) (bool, error) {
	if !k.mustRead {
		return false, nil
	}
	e, err := k.Urgent.Get(ctx, k.Prefix+k.Name)
	if err != nil {
		return false, err
	}
	k.revision, k.mustRead = e.ModRevision, false
	held, err := decode(e, k.Prefix)
	return err == nil && sameStart(held, m), nil
}

// ensureLease grants the lease for the next write, unless an earlier attempt has.
func (k *Keeper) ensureLease(ctx context.Context) error {
	if k.lease != 0 {
		return nil
	}
	lease, err := k.Urgent.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	k.lease = lease
	return nil
}

// put writes the record on the condition that the key still has the known revision. The store may carry out a write whose response was
// lost at a later time; the condition keeps such a write from replacing a newer record.
func (k *Keeper) put(ctx context.Context, m hornbeamcroft.Member) error {
	value, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	key := k.Prefix + k.Name
	conditions := []hornbeamcroft.Compare{{Key: key, ModRevision: k.revision}}
	result, err := k.Urgent.Txn(ctx, conditions, []hornbeamcroft.Put{{Key: key, Value: value, Lease: k.lease}})
	switch {
	case errors.Is(err, hornbeamcroft.ErrLeaseNotFound):
		k.lease = 0
		return err
	case err != nil:
		return err
	case !result.Succeeded:
		return errRevisionChanged
	}
	k.lease, k.revision = 0, result.Revision
	return nil
}

// setKept records that the store holds the record m.
func (k *Keeper) setKept(m hornbeamcroft.Member) {
	k.mu.Lock()
	k.kept = m
	k.mu.Unlock()
	k.OnKept(m)
}
