package etcdclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// Get implements hornbeamcroft.Store.
func (c *Client) Get(ctx context.Context, key string) (hornbeamcroft.Entry, error) {
	var out rangeResponse
	if err := c.call(ctx, "/v3/kv/range", false, rangeRequest{Key: []byte(key)}, &out); err != nil {
		return hornbeamcroft.Entry{}, err
	}
	if len(out.Kvs) == 0 {
		return hornbeamcroft.Entry{Key: key}, nil
	}
	e := out.Kvs[0].entry()
	if e.Key != key {
		return hornbeamcroft.Entry{}, errors.Errorf("answer is about key %q instead of %q", e.Key, key)
	}
	return e, out.Kvs[0].check()
}

// List implements hornbeamcroft.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]hornbeamcroft.Entry, int64, error) {
	var out rangeResponse
	in := rangeRequest{Key: []byte(prefix), RangeEnd: rangeEnd(prefix)}
	if err := c.call(ctx, "/v3/kv/range", false, in, &out); err != nil {
		return nil, 0, err
	}
	entries := make([]hornbeamcroft.Entry, len(out.Kvs))
	for i, kv := range out.Kvs {
		if err := kv.check(); err != nil {
			return nil, 0, err
		}
		entries[i] = kv.entry()
	}
	return entries, int64(out.Header.Revision), nil
}

// Txn implements hornbeamcroft.Store.
func (c *Client) Txn(ctx context.Context, conditions []hornbeamcroft.Compare, puts []hornbeamcroft.Put) (hornbeamcroft.TxnResult, error) {
	in := txnRequest{Compare: []compare{}, Success: []requestOp{}}
	for _, cond := range conditions {
		in.Compare = append(in.Compare, compare{"MOD", "EQUAL", []byte(cond.Key), int64s(cond.ModRevision)})
	}
	for _, p := range puts {
		op := requestOp{Put: &putRequest{[]byte(p.Key), p.Value, int64s(p.Lease)}}
		if p.Delete {
			op = requestOp{Delete: &rangeRequest{Key: []byte(p.Key)}}
		}
		in.Success = append(in.Success, op)
	}
	var out txnResponse
	if err := c.call(ctx, "/v3/kv/txn", true, in, &out); err != nil {
		return hornbeamcroft.TxnResult{}, err
	}
	// An empty object would read as a refusal by the conditions; without a revision the outcome is unknown.
	if out.Header.Revision <= 0 {
		return hornbeamcroft.TxnResult{}, errors.New("answer to a transaction without a revision")
	}
	return hornbeamcroft.TxnResult{Succeeded: out.Succeeded, Revision: int64(out.Header.Revision)}, nil
}

// Grant implements hornbeamcroft.Store. The store counts in seconds; ttl is rounded up.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (hornbeamcroft.LeaseID, error) {
	var out leaseResponse
	if err := c.call(ctx, "/v3/lease/grant", true, leaseGrantRequest{TTL: ttlSeconds(ttl)}, &out); err != nil {
		return 0, err
	}
	if out.Error != "" || out.ID <= 0 {
		return 0, errors.Errorf("answer to a grant without a lease: %s", out.Error)
	}
	return hornbeamcroft.LeaseID(out.ID), nil
}

// KeepAlive implements hornbeamcroft.Store. The gateway answers with a stream of one message.
func (c *Client) KeepAlive(ctx context.Context, id hornbeamcroft.LeaseID) error {
	var out streamResponse[leaseResponse]
	if err := c.call(ctx, "/v3/lease/keepalive", true, leaseRequest{ID: int64s(id)}, &out); err != nil {
		return err
	}
	if out.Error != nil {
		return classify(out.Error.err(), true)
	}
	if out.Result == nil || out.Result.TTL <= 0 {
		return hornbeamcroft.ErrLeaseNotFound
	}
	return nil
}

// Revoke implements hornbeamcroft.Store.
func (c *Client) Revoke(ctx context.Context, id hornbeamcroft.LeaseID) error {
	var out struct{}
	return c.call(ctx, "/v3/lease/revoke", true, leaseRequest{ID: int64s(id)}, &out)
}

// Watch implements hornbeamcroft.Store. It returns nil after WatchTime and ErrStoreOlder if the store's revision is below
// fromRevision - 1; in both cases the caller reads before it watches again.
func (c *Client) Watch(ctx context.Context, prefix string, fromRevision int64, fn func(hornbeamcroft.Event)) error {
	watchCtx, cancel := context.WithTimeout(ctx, c.WatchTime)
	defer cancel()
	in := watchRequest{watchCreate{[]byte(prefix), rangeEnd(prefix), int64s(fromRevision)}}
	err := c.each(func(i int) (bool, error) {
		resp, sent, err := c.post(watchCtx, i, "/v3/watch", false, in)
		if err != nil {
			return watchCtx.Err() == nil, classify(err, sent)
		}
		return false, readWatch(resp, fromRevision, fn)
	})
	if ctx.Err() == nil && watchCtx.Err() != nil {
		return nil
	}
	return err
}

// readWatch delivers the events of a watch until its stream ends.
func readWatch(resp *http.Response, fromRevision int64, fn func(hornbeamcroft.Event)) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return decode(resp, &struct{}{})
	}
	limited := &io.LimitedReader{R: resp.Body}
	dec := json.NewDecoder(limited)
	for {
		// The bound applies to each message; the decoder reads ahead by less than a message.
		limited.N = maxAnswer
		var m streamResponse[watchResponse]
		if err := dec.Decode(&m); err != nil {
			return errors.Wrap(err, "watch")
		}
		if err := deliver(m, fromRevision, fn); err != nil {
			return err
		}
	}
}

// deliver checks one message of a watch and passes its events on.
func deliver(m streamResponse[watchResponse], fromRevision int64, fn func(hornbeamcroft.Event)) error {
	switch {
	case m.Error != nil:
		return m.Error.err()
	case m.Result == nil:
		return errors.New("watch: message without a result")
	case m.Result.Canceled:
		return errors.Errorf("watch cancelled by the store: %s (compacted at %d)", m.Result.CancelReason, m.Result.CompactRevision)
	case m.Result.Created && int64(m.Result.Header.Revision) < fromRevision-1:
		return ErrStoreOlder
	}
	for _, e := range m.Result.Events {
		if err := e.Kv.check(); err != nil {
			return err
		}
		event := hornbeamcroft.Event{Entry: e.Kv.entry(), Deleted: e.Type == "DELETE"}
		if event.Deleted {
			event.Entry.Value = nil
		}
		fn(event)
	}
	return nil
}
