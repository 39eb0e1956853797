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
	// epochCacheParts divides the permit time: a relay answers from one read of all epochs for that long. Nodes ask every
	// third of the permit time, so each relay reads at most twice within that, whatever the number of nodes.
	epochCacheParts = 6
	// defaultPermitTime applies until a document is accepted.
	defaultPermitTime = time.Second
	// relayTimeout bounds the wait for a relay before the next one is asked.
	relayTimeout = 300 * time.Millisecond
)

// epochQuery asks a relay for the epoch of a service.
type epochQuery struct {
	N   uint64 `cbor:"1,keyasint"`
	Key string `cbor:"2,keyasint"`
}

// Check reports whether the message is well formed.
func (q epochQuery) Check() error {
	if len(q.Key) > 256 {
		return errors.Errorf("epoch query: key of %d bytes: allowed are at most 256", len(q.Key))
	}
	return nil
}

// epochReply is the answer of a relay.
type epochReply struct {
	N           uint64 `cbor:"1,keyasint"`
	Value       []byte `cbor:"2,keyasint,omitempty"`
	ModRevision int64  `cbor:"3,keyasint,omitempty"`
	// Age is the time since before the relay sent its read to the store, on the relay's monotonic clock.
	Age time.Duration `cbor:"4,keyasint"`
	// Failed is true if the store could not be read.
	Failed bool `cbor:"5,keyasint,omitempty"`
}

// Check reports whether the message is well formed.
func (r epochReply) Check() error {
	if r.Age < 0 {
		return errors.New("epoch reply: negative age")
	}
	return nil
}

// epochReader reads roster epochs: a relay from the store, any other node through a relay, so that the load on the store
// does not grow with the number of nodes in a zone.
type epochReader struct {
	s *Server

	mu      sync.Mutex
	sentAt  time.Duration
	entries map[string]hornbeamcroft.Entry
	err     error
	loaded  bool
	loading chan struct{}

	nextN   uint64
	waiting map[uint64]chan epochReply
}

// Read returns the entry of the key and its age.
func (e *epochReader) Read(ctx context.Context, key string) (hornbeamcroft.Entry, time.Duration, error) {
	isRelay, relays := e.s.members.relays()
	if !isRelay {
		for _, p := range relays {
			if r, ok := e.ask(ctx, p, key); ok {
				return hornbeamcroft.Entry{Key: key, Value: r.Value, ModRevision: r.ModRevision}, max(r.Age, 1), nil
			}
		}
	}
	return e.readCached(ctx, key)
}

// cacheTime returns how long one read of all epochs is used.
func (e *epochReader) cacheTime() time.Duration {
	if doc := e.s.document.Load(); doc != nil {
		return doc.Platform.PermitTime / epochCacheParts
	}
	return defaultPermitTime / epochCacheParts
}

// readCached answers from a recent read of all epochs, or reads them.
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
			go e.load(e.loading)
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

func (e *epochReader) load(done chan struct{}) {
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
		// A failure is remembered from its end on: the next read waits for the cache time before it tries again.
		e.sentAt = e.s.clock.Now()
	}
	e.mu.Unlock()
	close(done)
}

// ask asks one relay. It reports false if the relay does not answer or cannot read the store.
func (e *epochReader) ask(ctx context.Context, p tracker.Peer, key string) (epochReply, bool) {
	l := e.s.links.LinkTo(p.Name)
	if l == nil {
		return epochReply{}, false
	}
	ch := make(chan epochReply, 1)
	e.mu.Lock()
	e.nextN++
	n := e.nextN
	if e.waiting == nil {
		e.waiting = make(map[uint64]chan epochReply)
	}
	e.waiting[n] = ch
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.waiting, n)
		e.mu.Unlock()
	}()
	if l.Send(framer.TypeEpochQuery, epochQuery{N: n, Key: key}) != nil {
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

// receive handles a query or a reply.
func (e *epochReader) receive(l *connector.Link, t framer.Type, payload []byte) error {
	if t == framer.TypeEpochQuery {
		var q epochQuery
		if err := framer.Decode(payload, &q); err != nil {
			return err
		}
		go e.serve(l, q)
		return nil
	}
	var r epochReply
	if err := framer.Decode(payload, &r); err != nil {
		return err
	}
	e.mu.Lock()
	ch := e.waiting[r.N]
	delete(e.waiting, r.N)
	e.mu.Unlock()
	if ch != nil {
		ch <- r
	}
	return nil
}

func (e *epochReader) serve(l *connector.Link, q epochQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	entry, age, err := e.readCached(ctx, q.Key)
	_ = l.Send(framer.TypeEpochReply, epochReply{
		N: q.N, Value: entry.Value, ModRevision: entry.ModRevision, Age: age, Failed: err != nil,
	})
}
