package retrier

import "time"

const (
	// DefaultKeepRequests is the time for which the budget of a keyed request is kept for resends by its caller.
	DefaultKeepRequests = time.Minute
	// maxRequests bounds the kept requests. At about 300 bytes each they take up to 20 MB of a node's 64 MB.
	maxRequests = 65536
)

// keptRequest is the order in which kept requests expire.
type keptRequest struct {
	key string
	id  uint64
	at  time.Duration
}

// OpenRequest returns the record of the request with the caller's key, and opens one with the id and the budget if none
// is kept: a resend by the caller then is a repeat under the same record. While too many requests are kept, a new one
// gets a budget of 0 and is not kept. The node calls Close at the end of each send, kept or not.
func (t *Retrier) OpenRequest(now time.Duration, key string, id uint64, budget int, deadline time.Duration) uint64 {
	t.Expire(now)
	if old, ok := t.requests[key]; ok {
		r := t.records[old]
		r.deadline = max(r.deadline, deadline)
		return old
	}
	if len(t.requests) >= maxRequests {
		t.Open(id, 0, deadline)
		return id
	}
	if !t.Open(id, budget, deadline) {
		return id
	}
	if t.requests == nil {
		t.requests = make(map[string]uint64)
	}
	t.records[id].kept = true
	t.requests[key] = id
	t.expiry = append(t.expiry, keptRequest{key: key, id: id, at: now})
	return id
}

// Expire drops the kept requests whose time is over.
func (t *Retrier) Expire(now time.Duration) {
	keep := t.KeepRequests
	if keep <= 0 {
		keep = DefaultKeepRequests
	}
	for len(t.expiry) > 0 && now-t.expiry[0].at >= keep {
		e := t.expiry[0]
		t.expiry = t.expiry[1:]
		if r := t.records[e.id]; now < r.deadline {
			// A resend that still runs needs the record for its returns.
			e.at = now
			t.expiry = append(t.expiry, e)
			continue
		}
		delete(t.requests, e.key)
		delete(t.records, e.id)
	}
}
