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
		return hornbeamcroft.Entry{}, errors.Errorf("store answered with key %q instead of %q", e.Key, key)
	}
	return e, out.Kvs[0].validate()
}

// List implements hornbeamcroft.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]hornbeamcroft.Entry, int64, error) {
	var out rangeResponse
	in := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := c.call(ctx, "/v3/kv/range", false, in, &out); err != nil {
		return nil, 0, err
	}
	entries := make([]hornbeamcroft.Entry, len(out.Kvs))
	for i, kv := range out.Kvs {
		if err := kv.validate(); err != nil {
			return nil, 0, err
		}
		entries[i] = kv.entry()
	}
	return entries, int64(out.Header.Revision), nil
}

// Txn implements hornbeamcroft.Store.
func (c *Client) Txn(ctx context.Context, conditions []hornbeamcroft.Compare, puts []hornbeamcroft.Put) (hornbeamcroft.TxnResult, error) {
	in := txnRequest{Compare: []compare{}, Success: []requestOp{}}
	for _, condition := range conditions {
		in.Compare = append(in.Compare, compare{"MOD", "EQUAL", []byte(condition.Key), jsonInt64(condition.ModRevision)})
	}
	for _, p := range puts {
		op := requestOp{Put: &putRequest{[]byte(p.Key), p.Value, jsonInt64(p.Lease)}}
		if p.Delete {
			op = requestOp{Delete: &rangeRequest{Key: []byte(p.Key)}}
		}
		in.Success = append(in.Success, op)
	}
	var out txnResponse
	if err := c.call(ctx, "/v3/kv/txn", true, in, &out); err != nil {
		return hornbeamcroft.TxnResult{}, err
	}
	// Without a revision the outcome is unknown. In particular, an empty JSON object must not be taken for a transaction whose
	// conditions did not hold.
	if out.Header.Revision <= 0 {
		return hornbeamcroft.TxnResult{}, errors.New("answer to a transaction has no revision")
	}
	return hornbeamcroft.TxnResult{Succeeded: out.Succeeded, Revision: int64(out.Header.Revision)}, nil
}

// Grant implements hornbeamcroft.Store. It rounds ttl up to whole seconds, the unit of the store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (hornbeamcroft.LeaseID, error) {
	var out leaseResponse
	if err := c.call(ctx, "/v3/lease/grant", true, leaseGrantRequest{TTL: ttlSeconds(ttl)}, &out); err != nil {
		return 0, err
	}
	if out.Error != "" || out.ID <= 0 {
		return 0, errors.Errorf("answer to a lease grant has no lease: %s", out.Error)
	}
	return hornbeamcroft.LeaseID(out.ID), nil
}

// KeepAlive implements hornbeamcroft.Store. The gateway answers with a stream that holds one message.
func (c *Client) KeepAlive(ctx context.Context, id hornbeamcroft.LeaseID) error {
	var out streamResponse[leaseResponse]
	if err := c.call(ctx, "/v3/lease/keepalive", true, leaseRequest{ID: jsonInt64(id)}, &out); err != nil {
		return err
	}
	if out.Error != nil {
		return classify(out.Error.toStoreError(), true)
	}
	// For a lease that does not exist, etcd answers without a TTL rather than with an error.
	if out.Result == nil || out.Result.TTL <= 0 {
		return hornbeamcroft.ErrLeaseNotFound
	}
	return nil
}

// Revoke implements hornbeamcroft.Store.
func (c *Client) Revoke(ctx context.Context, id hornbeamcroft.LeaseID) error {
	var out struct{}
	return c.call(ctx, "/v3/lease/revoke", true, leaseRequest{ID: jsonInt64(id)}, &out)
}

// Watch implements hornbeamcroft.Store. It returns nil after WatchTimeout, and ErrStoreRolledBack if the store's revision is
// lower than fromRevision - 1. In both cases the caller must list the keys before it watches again.
func (c *Client) Watch(ctx context.Context, prefix string, fromRevision int64, fn func(hornbeamcroft.Event)) error {
	watchCtx, cancel := context.WithTimeout(ctx, c.WatchTimeout)
	defer cancel()
	in := watchRequest{watchCreateRequest{[]byte(prefix), prefixEnd(prefix), jsonInt64(fromRevision)}}
	err := c.tryEndpoints(func(endpoint int) (bool, error) {
		resp, sent, err := c.post(watchCtx, endpoint, "/v3/watch", false, in)
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

// readWatch passes the events of a watch to fn until the stream ends or breaks, and returns the reason.
func readWatch(resp *http.Response, fromRevision int64, fn func(hornbeamcroft.Event)) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return decode(resp, &struct{}{})
	}
	limited := &io.LimitedReader{R: resp.Body}
	dec := json.NewDecoder(limited)
	for {
		// The limit is reset for each message, so that it bounds a message and not the stream. The decoder may read ahead into
		// later messages, but by less than the limit.
		limited.N = maxAnswerBytes
		var message streamResponse[watchResponse]
		if err := dec.Decode(&message); err != nil {
			return errors.Wrap(err, "read watch")
		}
		if err := deliver(message, fromRevision, fn); err != nil {
			return err
		}
	}
}

// deliver checks one message of a watch and passes its events to fn.
func deliver(message streamResponse[watchResponse], fromRevision int64, fn func(hornbeamcroft.Event)) error {
	switch {
	case message.Error != nil:
		return message.Error.toStoreError()
	case message.Result == nil:
		return errors.New("watch: message has no result")
	case message.Result.Canceled:
		return errors.Errorf("watch cancelled by the store: %s (compacted at revision %d)",
			message.Result.CancelReason, message.Result.CompactRevision)
	case message.Result.Created && int64(message.Result.Header.Revision) < fromRevision-1:
		return ErrStoreRolledBack
	}
	for _, e := range message.Result.Events {
		if err := e.Kv.validate(); err != nil {
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
