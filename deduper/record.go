package deduper

import (
	"time"

	"hornbeamcroft"
)

// State is the state of the record of a key.
type State uint8

// The states of a key.
const (
	// StateRunning means that a call with the key is queued or dispatched; resends join it.
	StateRunning State = iota
	// StateAnswered means that the key ran and its answer is recorded.
	StateAnswered
	// StateRefused means that a send of the key was answered with "not run". Sends received before that answer must not
	// run.
	StateRefused
	// StateUnknown means that the key may have run and its answer is not known.
	StateUnknown
)

// String returns the name of the state for status output and logs.
func (s State) String() string {
	names := [...]string{"running", "answered", "refused", "unknown"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// record holds the state and the answer of one key.
type record struct {
	key             string
	fingerprint     uint64 // hash of the request's content; zero if not known
	issuedAt        int64  // Unix milliseconds; zero for a key without an issue time
	refusedAt       int64  // Unix milliseconds; time of the latest "not run" answer
	expiresAt       time.Duration
	movedEpoch      uint64 // number of the epoch that gave the key to another home; zero while this node is its home
	answer          *recordedAnswer
	code            hornbeamcroft.Code
	state           State
	firstSendOnly   bool // a first send started the running call and no other send joined it
	awaitingOutcome bool // the previous home still runs the call and sends its outcome later
	queued          bool
}

// recordedAnswer is the part of an answer that a record keeps.
type recordedAnswer struct {
	status      int
	contentType string
	body        []byte
	truncated   bool // the body was dropped because it exceeded a size limit
}

// recordBytes is the estimated memory, in bytes, of a record, its map entry and its queue entry, without key and
// answer. BenchmarkRecordMemory compares the estimate with the measured memory.
const recordBytes = 256

func (r *record) bytes() int {
	n := recordBytes + len(r.key)
	if r.answer != nil {
		n += recordedAnswerBytes + len(r.answer.contentType) + cap(r.answer.body)
	}
	return n
}

// recordedAnswerBytes is the estimated memory, in bytes, of a recorded answer without its content type and body.
const recordedAnswerBytes = 80

// outcome returns the answer to a resend of the key.
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

// queue is a FIFO of records, approximately in the order of their expiry: a record whose expiry is postponed while it is
// queued keeps its place.
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
