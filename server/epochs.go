package server

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/tracker"
)

const (
	// epochCacheDivisor is the divisor of the permit time that gives the lifetime of the epoch cache: a relay answers
	// queries from one read of all epochs for a sixth of the permit time. Nodes query every third of the permit time,
	// so each relay reads the store at most twice within that third, whatever the number of nodes.
	epochCacheDivisor = 6
	// defaultPermitTime applies until the first document is in force.
	defaultPermitTime = time.Second
	// relayTimeout is the longest wait for the reply of a relay before the next relay is queried. A relay gives up a
	// query after the same time.
	relayTimeout = 300 * time.Millisecond
)

// epochQuery requests the roster epoch of a service from a relay. ID, which the reply repeats, is unique among the
// queries of the sender.
type epochQuery struct {
	ID  uint64 `cbor:"1,keyasint"`
	Key string `cbor:"2,keyasint"`
}

// Check reports whether the message is well formed.
func (q epochQuery) Check() error {
	if len(q.Key) > 256 {
		return errors.Errorf("epoch query: key of %d bytes: must be at most 256", len(q.Key))
	}
	return nil
}

// epochReply is a relay's reply to the epochQuery with the same ID. Without an entry for the key, Value is empty.
type epochReply struct {
	ID          uint64 `cbor:"1,keyasint"`
	Value       []byte `cbor:"2,keyasint,omitempty"`
	ModRevision int64  `cbor:"3,keyasint,omitempty"`
	// Age is the time since the relay began its read of the store, taken before the read was sent, on the relay's
	// monotonic clock.
	Age time.Duration `cbor:"4,keyasint"`
	// Failed is true if the relay could not read the store.
	Failed bool `cbor:"5,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (r epochReply) Check() error {
	if r.Age < 0 {
		return errors.New("epoch reply: age is negative")
	}
	return nil
}

// epochReader reads roster epochs. A relay reads them from the store and caches them; any other node queries a relay,
// so that the load on the store does not grow with the number of nodes in a zone.
type epochReader struct {
	s *Server

	mu sync.Mutex
	// entries and err are the result of the last read of the store, if loaded is true. The read began at sentAt; a
	// failed read counts from its end.
	sentAt  time.Duration
	entries map[string]hornbeamcroft.Entry
	err     error
	loaded  bool
	// loading is closed when the read in progress ends; nil if there is none.
	loading chan struct{}

	lastID uint64
	// pending holds the queries without a reply, by ID.
	pending map[uint64]chan epochReply
}

// Read returns the entry of the key and its age, which is at least 1 ns. If no relay answers, the node reads the store
// itself.
func (e *epochReader) Read(ctx context.Context, key string) (hornbeamcroft.Entry, time.Duration, error) {
	isRelay, relays := e.s.members.relays()
	if !isRelay {
		for _, relay := range relays {
			if r, ok := e.query(ctx, relay, key); ok {
				return hornbeamcroft.Entry{Key: key, Value: r.Value, ModRevision: r.ModRevision}, max(r.Age, 1), nil
			}
		}
	}
	return e.readCached(ctx, key)
}

// cacheTime returns how long the result of a read of all epochs is used.
func (e *epochReader) cacheTime() time.Duration {
	if doc := e.s.document.Load(); doc != nil {
		return doc.Platform.PermitTime / epochCacheDivisor
	}
	return defaultPermitTime / epochCacheDivisor
}

// readCached returns the entry of the key from the cache. If the cache is out of date, it first waits for a read of all
// epochs.
func (e *epochReader) readCached(ctx context.Context, key string) (hornbeamcroft.Entry, time.Duration, error) {
	for {
		e.mu.Lock()
		now := e.s.clock.Now()
		if e.loaded && now-e.sentAt < e.cacheTime() {
			defer e.mu.Unlock()
			return e.entries[key], max(now-e.sentAt, 1), e.err
		}
		if e.loading == nil {
			e.loading = make(chan struct{})
			go e.readStore(e.loading)
		}
		done := e.loading
		e.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return hornbeamcroft.Entry{}, 0, ctx.Err()
		}
	}
}

// readStore reads all epochs from the store into the cache and closes done.
func (e *epochReader) readStore(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), e.s.Settings.Store.Timeout)
	defer cancel()
	sentAt := e.s.clock.Now()
	var list []hornbeamcroft.Entry
	err := hornbeamcroft.ErrStoreUnreachable
	if e.s.Store != nil {
		list, _, err = e.s.Store.List(ctx, hornbeamcroft.KeyEpochPrefix)
	}
	entries := make(map[string]hornbeamcroft.Entry, len(list))
	for _, entry := range list {
		entries[entry.Key] = entry
	}
	e.mu.Lock()
	e.sentAt, e.entries, e.err, e.loaded, e.loading = sentAt, entries, err, true, nil
	if err != nil {
		// A failed read may take longer than the cache time. Its error is cached from its end on, so that the next read
		// begins no earlier than the cache time after it.
		e.sentAt = e.s.clock.Now()
	}
	e.mu.Unlock()
	close(done)
}

// query queries one relay. It reports false if the relay does not reply within relayTimeout or cannot read the store.
func (e *epochReader) query(ctx context.Context, relay tracker.Peer, key string) (epochReply, bool) {
	l := e.s.links.LinkTo(relay.Name)
	if l == nil {
		return epochReply{}, false
	}
	ch := make(chan epochReply, 1)
	e.mu.Lock()
	e.lastID++
	id := e.lastID
	if e.pending == nil {
		e.pending = make(map[uint64]chan epochReply)
	}
	e.pending[id] = ch
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.pending, id)
		e.mu.Unlock()
	}()
	if l.Send(framer.TypeEpochQuery, epochQuery{ID: id, Key: key}) != nil {
		return epochReply{}, false
	}
	t := time.NewTimer(relayTimeout)
	defer t.Stop()
	select {
	case r := <-ch:
		return r, !r.Failed
	case <-t.C:
	case <-ctx.Done():
	}
	return epochReply{}, false
}

// receive processes an epochQuery or epochReply of another node.
func (e *epochReader) receive(l *connector.Link, t framer.Type, payload []byte) error {
	if t == framer.TypeEpochQuery {
		var q epochQuery
		if err := framer.Decode(payload, &q); err != nil {
			return err
		}
		go e.replyToQuery(l, q)
		return nil
	}
	var r epochReply
	if err := framer.Decode(payload, &r); err != nil {
		return err
	}
	e.mu.Lock()
	ch := e.pending[r.ID]
	delete(e.pending, r.ID)
	e.mu.Unlock()
	if ch != nil {
		ch <- r
	}
	return nil
}

// replyToQuery replies to the query of another node from the cache.
func (e *epochReader) replyToQuery(l *connector.Link, q epochQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	entry, age, err := e.readCached(ctx, q.Key)
	_ = l.Send(framer.TypeEpochReply, epochReply{
		ID: q.ID, Value: entry.Value, ModRevision: entry.ModRevision, Age: age, Failed: err != nil,
	})
}
