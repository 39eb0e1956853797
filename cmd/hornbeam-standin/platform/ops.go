package platform

import (
	"net/http"
	"time"
)

// Codes of gRPC that the gateway maps to an HTTP status.
const (
	codeInvalidArgument = 3
	codeNotFound        = 5
)

// failure is an error of the protocol.
type failure struct {
	http    int
	code    int
	message string
}

var (
	errTooLarge = &failure{http.StatusBadRequest, codeInvalidArgument, "etcdserver: request is too large"}
	errNoLease  = &failure{http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found"}
	errNoKey    = &failure{http.StatusBadRequest, codeInvalidArgument, "etcdserver: key is not provided"}
	errCompare  = &failure{http.StatusBadRequest, codeInvalidArgument, "stand-in: only MOD EQUAL is supported"}
	errTwice    = &failure{http.StatusBadRequest, codeInvalidArgument, "etcdserver: duplicate key given in txn request"}
)

func (s *state) get(r rangeRequest) (rangeResponse, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(r.Key) == 0 {
		return rangeResponse{}, errNoKey
	}
	out := rangeResponse{Header: header(s.revision)}
	for _, rec := range s.find(string(r.Key), string(r.RangeEnd)) {
		out.Kvs = append(out.Kvs, rec.wire())
	}
	out.Count = int64(len(out.Kvs))
	return out, nil
}

func (s *state) txn(r txnRequest) (txnResponse, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	succeeded := true
	for _, c := range r.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" && c.Result != "" {
			return txnResponse{}, errCompare
		}
		if s.records[string(c.Key)].mod != max(c.ModRevision, c.ModRevisionCamel) {
			succeeded = false
		}
	}
	ops := r.Success
	if !succeeded {
		ops = r.Failure
	}
	if f := s.checkOps(ops); f != nil {
		return txnResponse{}, f
	}
	s.apply(ops)
	return txnResponse{header(s.revision), succeeded}, nil
}

// checkOps refuses a transaction before any part of it is applied.
func (s *state) checkOps(ops []requestOp) *failure {
	seen := map[string]bool{}
	for _, op := range ops {
		p := op.put()
		if p == nil {
			continue
		}
		if len(p.Key) == 0 {
			return errNoKey
		}
		if seen[string(p.Key)] {
			return errTwice
		}
		seen[string(p.Key)] = true
		if len(p.Value) > maxValue {
			return errTooLarge
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return errNoLease
		}
	}
	return nil
}

// apply performs the operations in one revision. The caller holds mu.
func (s *state) apply(ops []requestOp) {
	if len(ops) == 0 {
		return
	}
	before := len(s.events)
	s.revision++
	for _, op := range ops {
		if p := op.put(); p != nil {
			s.put(string(p.Key), p.Value, p.Lease)
		}
		if d := op.remove(); d != nil {
			for _, rec := range s.find(string(d.Key), string(d.RangeEnd)) {
				s.remove(rec.key)
			}
		}
	}
	if len(s.events) == before {
		s.revision-- // deletes of keys that do not exist make no revision
		return
	}
	s.notify()
}

func (s *state) grant(r leaseRequest) (leaseResponse, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	ttl := time.Duration(max(r.TTL, 1)) * time.Second
	s.nextLease++
	s.leases[s.nextLease] = lease{ttl, s.now().Add(ttl)}
	return leaseResponse{header(s.revision), s.nextLease, int64(ttl / time.Second)}, nil
}

// keepAlive renews a lease. A lease that does not exist is answered by a TTL of zero, not by an error.
func (s *state) keepAlive(r leaseRequest) (stream[leaseResponse], *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[r.ID]
	if ok {
		l.expires = s.now().Add(l.ttl)
		s.leases[r.ID] = l
	}
	return stream[leaseResponse]{leaseResponse{header(s.revision), r.ID, int64(l.ttl / time.Second)}}, nil
}

func (s *state) end(r leaseRequest) (leaseResponse, *failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.revoke(r.ID) {
		return leaseResponse{}, errNoLease
	}
	return leaseResponse{Header: header(s.revision)}, nil
}
