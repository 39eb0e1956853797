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
func (t *Retrier) OpenRequest(now time.Duration, key string, id uint64, budget int, deadline time.Duration) uint64 {
	t.Expire(now)
	if old, ok := t.keyedRequests[key]; ok {
		r := t.budgets[old]
		r.deadline = max(r.deadline, deadline)
		return old
	}
	if len(t.keyedRequests) >= maxKeyedRequests {
		t.Open(id, 0, deadline)
		return id
	}
	if !t.Open(id, budget, deadline) {
		return id
	}
	if t.keyedRequests == nil {
		t.keyedRequests = make(map[string]uint64)
	}
	t.budgets[id].kept = true
	t.keyedRequests[key] = id
	t.expiry = append(t.expiry, keyedRequest{key: key, id: id, keptSince: now})
	return id
}

// Expire drops the kept requests whose retention time, KeepRequests, has passed.
func (t *Retrier) Expire(now time.Duration) {
	keep := t.KeepRequests
	if keep <= 0 {
		keep = DefaultKeepRequests
	}
	for len(t.expiry) > 0 && now-t.expiry[0].keptSince >= keep {
		e := t.expiry[0]
		t.expiry = t.expiry[1:]
		if r := t.budgets[e.id]; now < r.deadline {
			// A resend may still be running; its attempts return their unspent budget to this entry.
			e.keptSince = now
			t.expiry = append(t.expiry, e)
			continue
		}
		delete(t.keyedRequests, e.key)
		delete(t.budgets, e.id)
	}
}
