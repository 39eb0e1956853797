package platform

import (
	"net/http"
	"time"
)

// gRPC status codes of the errors below.
const (
	grpcInvalidArgument = 3
	grpcNotFound        = 5
)

// apiError is an error with which the gateway answers a call.
type apiError struct {
	http     int
	grpcCode int
	message  string
}

var (
	errTooLarge           = &apiError{http.StatusBadRequest, grpcInvalidArgument, "etcdserver: request is too large"}
	errLeaseNotFound      = &apiError{http.StatusNotFound, grpcNotFound, "etcdserver: requested lease not found"}
	errKeyMissing         = &apiError{http.StatusBadRequest, grpcInvalidArgument, "etcdserver: key is not provided"}
	errUnsupportedCompare = &apiError{http.StatusBadRequest, grpcInvalidArgument, "stand-in: only MOD EQUAL comparisons are supported"}
	errDuplicateKey       = &apiError{http.StatusBadRequest, grpcInvalidArgument, "etcdserver: duplicate key given in txn request"}
)

// getRange answers a call that reads a range of keys, from the current data or from the snapshot that Faults.StaleSnapshot names.
func (s *state) getRange(r rangeRequest) (rangeResponse, *apiError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(r.Key) == 0 {
		return rangeResponse{}, errKeyMissing
	}
	readable := s.readableState(s.staleSnapshot())
	out := rangeResponse{Header: header(readable.revision)}
	for _, rec := range readable.findRange(string(r.Key), string(r.RangeEnd)) {
		out.Kvs = append(out.Kvs, rec.toWire())
	}
	out.Count = int64(len(out.Kvs))
	return out, nil
}

// txn answers a transaction: it applies the success operations if all comparisons hold, and the failure operations otherwise.
func (s *state) txn(r txnRequest) (txnResponse, *apiError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	succeeded := true
	for _, c := range r.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" && c.Result != "" {
			return txnResponse{}, errUnsupportedCompare
		}
		if s.records[string(c.Key)].modRevision != max(c.ModRevision, c.ModRevisionCamel) {
			succeeded = false
		}
	}
	ops := r.Success
	if !succeeded {
		ops = r.Failure
	}
	if apiErr := s.validateOps(ops); apiErr != nil {
		return txnResponse{}, apiErr
	}
	s.apply(ops)
	return txnResponse{header(s.revision), succeeded}, nil
}

// validateOps returns the error with which a transaction is rejected before any of its operations is applied, or nil. The
// caller holds mu.
func (s *state) validateOps(ops []requestOp) *apiError {
	seen := map[string]bool{}
	for _, op := range ops {
		p := op.put()
		if p == nil {
			continue
		}
		if len(p.Key) == 0 {
			return errKeyMissing
		}
		if seen[string(p.Key)] {
			return errDuplicateKey
		}
		seen[string(p.Key)] = true
		if len(p.Value) > maxValueBytes {
			return errTooLarge
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return errLeaseNotFound
		}
	}
	return nil
}

// apply performs all operations in one new revision. The caller holds mu.
func (s *state) apply(ops []requestOp) {
	if len(ops) == 0 {
		return
	}
	eventsBefore := len(s.events)
	s.revision++
	for _, op := range ops {
		if p := op.put(); p != nil {
			s.put(string(p.Key), p.Value, p.Lease)
		}
		if d := op.remove(); d != nil {
			for _, rec := range s.findRange(string(d.Key), string(d.RangeEnd)) {
				s.remove(rec.key)
			}
		}
	}
	if len(s.events) == eventsBefore {
		s.revision-- // a transaction that only deletes keys that do not exist makes no new revision
		return
	}
	s.notify()
}

// grant answers a call that grants a lease. The TTL of the lease is at least 1 s.
func (s *state) grant(r leaseRequest) (leaseResponse, *apiError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	ttl := time.Duration(max(r.TTL, 1)) * time.Second
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl, s.now().Add(ttl)}
	return leaseResponse{header(s.revision), s.lastLease, int64(ttl / time.Second)}, nil
}

// keepAlive answers a call that renews a lease. As in etcd, a lease that does not exist yields a TTL of zero and not an error.
func (s *state) keepAlive(r leaseRequest) (streamMessage[leaseResponse], *apiError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[r.ID]
	if ok {
		l.expires = s.now().Add(l.ttl)
		s.leases[r.ID] = l
	}
	return streamMessage[leaseResponse]{leaseResponse{header(s.revision), r.ID, int64(l.ttl / time.Second)}}, nil
}

// revoke answers a call that ends a lease.
func (s *state) revoke(r leaseRequest) (leaseResponse, *apiError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.endLease(r.ID) {
		return leaseResponse{}, errLeaseNotFound
	}
	return leaseResponse{Header: header(s.revision)}, nil
}
