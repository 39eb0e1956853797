// Package retrier keeps the retry budget of whole requests. Each running call holds a record with the extra attempts
// that it and the calls below it may still spend, so that the attempts of a request are bounded across its call graph.
package retrier

import (
	"time"

	"hornbeamcroft"
)

// maxChildren bounds the distinct children that one record tells apart; further children count as repeats. A call graph
// with more children than this under one parent needs a retry budget for them.
const maxChildren = 1024

// maxReroutes bounds the sends that a draining or moved upstream may cause for one attempt at no cost.
const maxReroutes = 3

// Child identifies a call under its parent. Two calls with the same Child are the same call, repeated.
type Child struct {
	Service string
	Type    string
	// Content is the fingerprint of the body, or a hash of the idempotency key if there is one.
	Content uint64
}

// Attempt is one send of a child call. It is a plain value that the sender keeps until the answer arrives.
type Attempt struct {
	Parent uint64
	// Serial is unique in the Retrier, so that a late answer cannot be taken for that of a newer attempt.
	Serial uint64
	// Share is the retry budget that travels with the call; at least 0.
	Share int
	// Repeat is true if the attempt cost one unit.
	Repeat bool
}

// Retrier holds one record for each running call. It is not safe for concurrent use.
type Retrier struct {
	// Share divides what a parent holds; HalfShare if nil.
	Share ShareRule
	// Backoff bounds the wait before a repeat; the zero value stands for the defaults.
	Backoff Backoff
	// KeepRequests is the time for which OpenRequest keeps a record; DefaultKeepRequests if zero.
	KeepRequests time.Duration
	// PerHop is the number of attempts at each hop without regard to the budget, the baseline of measurements; zero
	// for one budget per request.
	PerHop int

	records map[uint64]*record
	serial  uint64
	// requests maps the caller's key to its record; expiry holds the same requests in order of their expiry.
	requests map[string]uint64
	expiry   []keptRequest
	counts   Counts
}

// record is the state of one running call.
type record struct {
	// held is the budget that is neither spent nor given to a child; at least 0.
	held     int
	deadline time.Duration
	// kept is true if the record outlives Close for resends by the caller.
	kept     bool
	children []childState
	open     []openAttempt
}

type childState struct {
	child Child
	// tries counts the sends of the child, and thereby the exponent of the backoff.
	tries int
}

type openAttempt struct {
	serial   uint64
	share    int
	reroutes int
}

// Open starts the record of a running call with the budget that came with it. It reports false and changes nothing if
// the record exists, so that a call that is delivered twice has one budget.
func (t *Retrier) Open(id uint64, budget int, deadline time.Duration) bool {
	if t.records == nil {
		t.records = make(map[uint64]*record)
	}
	if _, ok := t.records[id]; ok {
		return false
	}
	t.records[id] = &record{held: max(budget, 0), deadline: deadline}
	return true
}

// Begin records a send of the child and returns the attempt with its share. The first send of a child is free, a repeat
// costs one unit. The code is CodeAnswered if the call may be sent, and the reason of the refusal otherwise.
func (t *Retrier) Begin(now time.Duration, parent uint64, c Child) (Attempt, hornbeamcroft.Code) {
	r, ok := t.records[parent]
	if !ok {
		return Attempt{}, hornbeamcroft.CodeCancelledBeforeStart
	}
	if now >= r.deadline {
		return Attempt{}, hornbeamcroft.CodeDeadlineTooShort
	}
	repeat := !r.first(c)
	if repeat && !t.affords(r, c) {
		t.counts.Refused++
		return Attempt{}, hornbeamcroft.CodeRetryBudgetSpent
	}
	if repeat && t.PerHop == 0 {
		r.held--
	}
	r.count(c)
	return t.send(parent, r, repeat), hornbeamcroft.CodeAnswered
}

// BeginAmbiguous records a send whose parent is one of several running calls. It is charged to the first of them that
// has not sent the child yet, with a share of 0, and refused if all have: otherwise repeats would pass as first sends.
func (t *Retrier) BeginAmbiguous(now time.Duration, parents []uint64, c Child) (Attempt, hornbeamcroft.Code) {
	code := hornbeamcroft.CodeCancelledBeforeStart
	for _, id := range parents {
		r, ok := t.records[id]
		switch {
		case !ok:
		case now >= r.deadline:
			code = hornbeamcroft.CodeDeadlineTooShort
		case !r.first(c):
			code = hornbeamcroft.CodeRetryBudgetSpent
		default:
			r.count(c)
			t.serial++
			t.counts.add(false)
			r.open = append(r.open, openAttempt{serial: t.serial})
			return Attempt{Parent: id, Serial: t.serial}, hornbeamcroft.CodeAnswered
		}
	}
	return Attempt{}, code
}

func (t *Retrier) send(parent uint64, r *record, repeat bool) Attempt {
	rule := t.Share
	if rule == nil {
		rule = HalfShare
	}
	share := min(max(rule(r.held), 0), r.held)
	r.held -= share
	t.serial++
	t.counts.add(repeat)
	r.open = append(r.open, openAttempt{serial: t.serial, share: share})
	return Attempt{Parent: parent, Serial: t.serial, Share: share, Repeat: repeat}
}

// affords reports whether a repeat of the child is covered.
func (t *Retrier) affords(r *record, c Child) bool {
	if t.PerHop > 0 {
		return r.tries(c) < t.PerHop
	}
	return r.held >= 1
}

// Return ends an attempt with the unspent budget of its answer. It reports false if the attempt is no longer open: a
// budget that returns late is dropped.
func (t *Retrier) Return(a Attempt, unspent int) bool {
	r, i := t.find(a)
	if i < 0 {
		t.counts.LateReturns++
		return false
	}
	r.held += min(max(unspent, 0), r.open[i].share)
	r.drop(i)
	return true
}

// Lose ends an attempt whose answer is lost or no longer awaited; its share counts as spent.
func (t *Retrier) Lose(a Attempt) bool {
	r, i := t.find(a)
	if i < 0 {
		return false
	}
	t.counts.LostUnits += uint64(r.open[i].share)
	r.drop(i)
	return true
}

// Reroute reports whether the open attempt may be sent to another upstream at no cost, after a refusal by an upstream
// that drains or has moved. Nothing ran, so the bound on executions holds; the count of such sends is bounded too.
func (t *Retrier) Reroute(a Attempt) bool {
	r, i := t.find(a)
	if i < 0 || r.open[i].reroutes >= maxReroutes {
		return false
	}
	r.open[i].reroutes++
	t.counts.Reroutes++
	return true
}

// Close ends a running call and returns the budget that its answer carries back. Shares that are still out count as
// spent. The record of a kept request stays until it expires.
func (t *Retrier) Close(id uint64) int {
	r, ok := t.records[id]
	if !ok {
		return 0
	}
	if !r.kept {
		for i := range r.open {
			t.counts.LostUnits += uint64(r.open[i].share)
		}
		delete(t.records, id)
	}
	return r.held
}

// Held returns the budget that the running call holds now; 0 if it is not known.
func (t *Retrier) Held(id uint64) int {
	if r, ok := t.records[id]; ok {
		return r.held
	}
	return 0
}

// Len returns the number of records.
func (t *Retrier) Len() int { return len(t.records) }

func (t *Retrier) find(a Attempt) (*record, int) {
	r, ok := t.records[a.Parent]
	if !ok {
		return nil, -1
	}
	for i := range r.open {
		if r.open[i].serial == a.Serial {
			return r, i
		}
	}
	return nil, -1
}

func (r *record) drop(i int) {
	last := len(r.open) - 1
	r.open[i] = r.open[last]
	r.open = r.open[:last]
}

// first reports whether the child was not sent before.
func (r *record) first(c Child) bool {
	return r.tries(c) == 0 && len(r.children) < maxChildren
}

func (r *record) tries(c Child) int {
	for i := range r.children {
		if r.children[i].child == c {
			return r.children[i].tries
		}
	}
	return 0
}

func (r *record) count(c Child) {
	for i := range r.children {
		if r.children[i].child == c {
			r.children[i].tries++
			return
		}
	}
	if len(r.children) < maxChildren {
		r.children = append(r.children, childState{child: c, tries: 1})
	}
}
