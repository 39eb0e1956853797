package deduper

import (
	"time"

	"hornbeamcroft"
)

// State is what is known about a key.
type State uint8

// The states of a key.
const (
	// StateRunning means that a call is queued or dispatched; resends join it.
	StateRunning State = iota
	// StateAnswered means that the key ran and the answer is kept.
	StateAnswered
	// StateRefused means that "not run" was said; sends received before that must not run.
	StateRefused
	// StateUnknown means that the key may have run.
	StateUnknown
)

// String returns the name used in status and logs.
func (s State) String() string {
	names := [...]string{"running", "answered", "refused", "unknown"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// record is what is remembered of one key.
type record struct {
	key         string
	fingerprint uint64 // zero if not known
	issued      int64  // Unix milliseconds, zero for a key without an issue time
	refusedAt   int64  // Unix milliseconds; the latest time at which "not run" was said
	due         time.Duration
	moved       uint64 // epoch by which the key moved away; zero if it is here
	answer      *kept
	code        hornbeamcroft.Code
	state       State
	onlyFirst   bool // only a first send waits for the running call
	pending     bool // the previous home still runs it and will send its outcome
	queued      bool
}

// kept is a kept answer.
type kept struct {
	status      int
	contentType string
	body        []byte
	truncated   bool // the body did not fit the bound
}

// recordBytes is the memory of a record without its key and answer: record, map entry, queue entry. See
// BenchmarkRecordMemory.
const recordBytes = 256

func (r *record) bytes() int {
	n := recordBytes + len(r.key)
	if r.answer != nil {
		n += keptBytes + len(r.answer.contentType) + len(r.answer.body)
	}
	return n
}

// keptBytes is the memory of a kept answer without its body.
const keptBytes = 80

// outcome returns the answer that the record gives to a resend.
func (r *record) outcome() hornbeamcroft.Answer {
	a := hornbeamcroft.Answer{Code: r.code}
	switch {
	case r.state != StateAnswered:
	case r.answer.truncated:
		a.Code = hornbeamcroft.CodeAnswerTruncated
	default:
		a.Code = hornbeamcroft.CodeAnsweredFromRecord
		a.Status, a.ContentType, a.Body = r.answer.status, r.answer.contentType, r.answer.body
		a.BodyLength = len(a.Body)
	}
	return a
}

// queue is a first-in-first-out list of records by due time.
type queue struct {
	items []*record
	head  int
}

func (q *queue) push(r *record) {
	if q.head > 1024 && q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		clear(q.items[len(q.items):cap(q.items)])
		q.head = 0
	}
	q.items = append(q.items, r)
}

func (q *queue) peek() *record {
	if q.head == len(q.items) {
		return nil
	}
	return q.items[q.head]
}

func (q *queue) pop() {
	q.items[q.head] = nil
	q.head++
}
