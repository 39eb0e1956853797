package retrier

import "time"

const (
	// DefaultKeepRequests is the time for which the retry budget of a request is kept under the caller's key, for
	// resends by the caller.
	DefaultKeepRequests = time.Minute
	// maxKeyedRequests bounds the number of kept requests. At about 300 bytes each they take up to 20 MB of the 64 MB
	// of memory that a node may use.
	maxKeyedRequests = 65536
)

// keyedRequest is a request whose budget is kept under the caller's key.
type keyedRequest struct {
	key       string
	id        uint64
	keptSince time.Duration
}

// OpenRequest returns the id under which the budget of the request with the caller's key is kept. If none is kept, it
// opens one with the given id and budget. A resend by the caller thus shares the budget of the first send, and its
// child calls count as retries. If maxKeyedRequests requests are kept already, a new request gets a budget of 0 and is
// not kept. The node calls Close at the end of each send, whether the budget is kept or not.
func (r *Retrier) OpenRequest(now time.Duration, key string, id uint64, budget int, deadline time.Duration) uint64 {
	r.Expire(now)
	if old, ok := r.keyedRequests[key]; ok {
		b := r.budgets[old]
		b.deadline = max(b.deadline, deadline)
		return old
	}
	if len(r.keyedRequests) >= maxKeyedRequests {
		r.Open(id, 0, deadline)
		return id
	}
	if !r.Open(id, budget, deadline) {
		return id
	}
	if r.keyedRequests == nil {
		r.keyedRequests = make(map[string]uint64)
	}
	r.budgets[id].kept = true
	r.keyedRequests[key] = id
	r.expiry = append(r.expiry, keyedRequest{key: key, id: id, keptSince: now})
	return id
}

// Expire drops the kept requests whose retention time, KeepRequests, has passed.
func (r *Retrier) Expire(now time.Duration) {
	keep := r.KeepRequests
	if keep <= 0 {
		keep = DefaultKeepRequests
	}
	for len(r.expiry) > 0 && now-r.expiry[0].keptSince >= keep {
		e := r.expiry[0]
		r.expiry = r.expiry[1:]
		if b := r.budgets[e.id]; now < b.deadline {
			// A resend may still be running; its attempts return their unspent budget to this entry.
			e.keptSince = now
			r.expiry = append(r.expiry, e)
			continue
		}
		delete(r.keyedRequests, e.key)
		delete(r.budgets, e.id)
	}
}
