// Package retrier keeps the retry budget of each request. The budget of a running call is the number of extra attempts
// that the call and all calls below it may still make. Parts of it travel with child calls and return with their
// answers, which bounds the number of attempts of a request over its whole call graph.
package retrier

import (
	"time"

	"hornbeamcroft"
)

// maxChildren bounds the number of distinct child calls that the Retrier distinguishes under one parent. The sends of further
// child calls count as retries, so a call graph with more child calls under one parent needs retry budget for them.
const maxChildren = 1024

// maxReroutes bounds the free resends of one attempt after refusals by nodes that are draining or no longer the home of
// the key.
const maxReroutes = 3

// Child identifies a child call under its parent. A send with the same Child as an earlier send is a retry of it.
type Child struct {
	Service string
	Type    string
	// Content distinguishes calls of the same service and type. It is the call's fingerprint, a hash of the service, the
	// request type, the idempotency key and the body.
	Content uint64
}

// Attempt is one send of a child call. The sender keeps the value until the answer arrives.
type Attempt struct {
	Parent uint64
	// Serial is unique in the Retrier, so that a late answer of one attempt is not credited to a newer one.
	Serial uint64
	// Share is the retry budget that travels with the child call; at least 0.
	Share int
	// Retry is true if the attempt is a retry, which costs one unit of the budget.
	Retry bool
}

// Retrier keeps the budgets of the running calls of one node. It is not safe for concurrent use.
type Retrier struct {
	// ShareRule determines the part of the held budget that a child call gets; nil means HalfShare.
	ShareRule ShareRule
	// Backoff computes the wait before a retry; its zero value uses the defaults.
	Backoff Backoff
	// KeepRequests is the time for which OpenRequest keeps a budget for resends; zero means DefaultKeepRequests.
	KeepRequests time.Duration
	// SendsPerHop, if above zero, is the number of sends that each child call gets in place of the budget. Measurements
	// use it as the baseline. Zero means one budget per request.
	SendsPerHop int

	budgets map[uint64]*callBudget
	serial  uint64
	// keyedRequests maps the caller's key to the id of its budget; expiry holds the same requests in the order in which
	// they expire.
	keyedRequests map[string]uint64
	expiry        []keyedRequest
	counts        Counts
}

// callBudget is the retry budget of one running call, or of a request that is kept for resends.
type callBudget struct {
	// held is the part of the budget that is neither spent nor given to an open attempt; at least 0.
	held     int
	deadline time.Duration
	// kept is true if the budget outlives Close for resends by the caller.
	kept     bool
	children []childState
	open     []openAttempt
}

type childState struct {
	child Child
	// tries is the number of sends of the child call, which determines the exponent of the backoff.
	tries int
}

type openAttempt struct {
	serial   uint64
	share    int
	reroutes int
}

// Open starts the budget of a running call with the units that came with the call. If the id has a budget already, it
// changes nothing and returns false, so that a call that is delivered twice has one budget.
func (r *Retrier) Open(id uint64, budget int, deadline time.Duration) bool {
	if r.budgets == nil {
		r.budgets = make(map[uint64]*callBudget)
	}
	if _, ok := r.budgets[id]; ok {
		return false
	}
	r.budgets[id] = &callBudget{held: max(budget, 0), deadline: deadline}
	return true
}

// Begin records a send of the child call and returns the attempt with its share of the budget. The first send of a
// child call is free; a retry costs one unit. The code is CodeAnswered if the call may be sent, and the reason for the
// refusal otherwise.
func (r *Retrier) Begin(now time.Duration, parent uint64, c Child) (Attempt, hornbeamcroft.Code) {
	b, ok := r.budgets[parent]
	if !ok {
		return Attempt{}, hornbeamcroft.CodeCancelledBeforeStart
	}
	if now >= b.deadline {
		return Attempt{}, hornbeamcroft.CodeDeadlineTooShort
	}
	retry := !b.isFirstSend(c)
	if retry && !r.coversRetry(b, c) {
		r.counts.Refused++
		return Attempt{}, hornbeamcroft.CodeRetryBudgetSpent
	}
	if retry && r.SendsPerHop == 0 {
		b.held--
	}
	b.countSend(c)
	return r.newAttempt(parent, b, retry), hornbeamcroft.CodeAnswered
}

// BeginAmbiguous records a send whose parent is known only to be one of several running calls. The send counts for the
// first of them that has not sent the child call yet, and gets a share of 0. It is refused if all of them have sent the
// child call, because retries would otherwise pass as first sends.
func (r *Retrier) BeginAmbiguous(now time.Duration, parents []uint64, c Child) (Attempt, hornbeamcroft.Code) {
	code := hornbeamcroft.CodeCancelledBeforeStart
	for _, id := range parents {
		b, ok := r.budgets[id]
		switch {
		case !ok:
		case now >= b.deadline:
			code = hornbeamcroft.CodeDeadlineTooShort
		case !b.isFirstSend(c):
			code = hornbeamcroft.CodeRetryBudgetSpent
		default:
			b.countSend(c)
			r.serial++
			r.counts.addSend(false)
			b.open = append(b.open, openAttempt{serial: r.serial})
			return Attempt{Parent: id, Serial: r.serial}, hornbeamcroft.CodeAnswered
		}
	}
	return Attempt{}, code
}

// newAttempt opens an attempt and moves its share out of the held budget.
func (r *Retrier) newAttempt(parent uint64, b *callBudget, retry bool) Attempt {
	rule := r.ShareRule
	if rule == nil {
		rule = HalfShare
	}
	share := min(max(rule(b.held), 0), b.held)
	b.held -= share
	r.serial++
	r.counts.addSend(retry)
	b.open = append(b.open, openAttempt{serial: r.serial, share: share})
	return Attempt{Parent: parent, Serial: r.serial, Share: share, Retry: retry}
}

// coversRetry reports whether the budget, or SendsPerHop if it is set, allows a retry of the child call.
func (r *Retrier) coversRetry(b *callBudget, c Child) bool {
	if r.SendsPerHop > 0 {
		return b.tries(c) < r.SendsPerHop
	}
	return b.held >= 1
}

// Return ends an attempt and adds the unspent budget that came with its answer to the parent. If the attempt is no
// longer open, it ignores the budget and returns false.
func (r *Retrier) Return(a Attempt, unspent int) bool {
	b, i := r.findOpen(a)
	if i < 0 {
		r.counts.LateReturns++
		return false
	}
	b.held += min(max(unspent, 0), b.open[i].share)
	b.removeOpen(i)
	return true
}

// EndLost ends an attempt whose answer was lost or is no longer awaited. The share of the attempt counts as spent. It
// returns false if the attempt is no longer open.
func (r *Retrier) EndLost(a Attempt) bool {
	b, i := r.findOpen(a)
	if i < 0 {
		return false
	}
	r.counts.LostUnits += uint64(b.open[i].share)
	b.removeOpen(i)
	return true
}

// Reroute reports whether the open attempt may be sent to another upstream for free, after a refusal by a node that is
// draining or no longer the home of the key. Nothing ran there, so the bound on the executions of a request still
// holds. The number of such resends is bounded by maxReroutes.
func (r *Retrier) Reroute(a Attempt) bool {
	b, i := r.findOpen(a)
	if i < 0 || b.open[i].reroutes >= maxReroutes {
		return false
	}
	b.open[i].reroutes++
	r.counts.Reroutes++
	return true
}

// Close ends a running call and returns the unspent budget, which the answer of the call carries back. The shares of
// attempts that are still open count as spent. The budget of a kept request stays until it expires.
func (r *Retrier) Close(id uint64) int {
	b, ok := r.budgets[id]
	if !ok {
		return 0
	}
	if !b.kept {
		for i := range b.open {
			r.counts.LostUnits += uint64(b.open[i].share)
		}
		delete(r.budgets, id)
	}
	return b.held
}

// Held returns the budget that the call holds now; 0 if the id is unknown.
func (r *Retrier) Held(id uint64) int {
	if b, ok := r.budgets[id]; ok {
		return b.held
	}
	return 0
}

// Len returns the number of budgets, of running calls and of kept requests.
func (r *Retrier) Len() int { return len(r.budgets) }

// findOpen returns the open attempt a as its parent's budget and the index in its open attempts; the index is -1 if the
// attempt is not open.
func (r *Retrier) findOpen(a Attempt) (*callBudget, int) {
	b, ok := r.budgets[a.Parent]
	if !ok {
		return nil, -1
	}
	for i := range b.open {
		if b.open[i].serial == a.Serial {
			return b, i
		}
	}
	return nil, -1
}

func (b *callBudget) removeOpen(i int) {
	last := len(b.open) - 1
	b.open[i] = b.open[last]
	b.open = b.open[:last]
}

// isFirstSend reports whether the child call has not been sent before. Once maxChildren child calls are known, it
// returns false for new ones.
func (b *callBudget) isFirstSend(c Child) bool {
	return b.tries(c) == 0 && len(b.children) < maxChildren
}

func (b *callBudget) tries(c Child) int {
	for i := range b.children {
		if b.children[i].child == c {
			return b.children[i].tries
		}
	}
	return 0
}

func (b *callBudget) countSend(c Child) {
	for i := range b.children {
		if b.children[i].child == c {
			b.children[i].tries++
			return
		}
	}
	if len(b.children) < maxChildren {
		b.children = append(b.children, childState{child: c, tries: 1})
	}
}
