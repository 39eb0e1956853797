package deduper

import (
	"time"

	"hornbeamcroft"
)

const (
	defaultKeyWindow  = 10 * time.Minute
	defaultClockSkew  = time.Second
	defaultMaxRecords = 100_000  // 115 calls/s with new keys over the window of 10 min make 69,000 records
	defaultMaxBytes   = 32 << 20 // half of the 64 MB of memory that a node may use
	// refusalRetention is the time for which the refusal of a key is kept as a record of its own. Then the record is
	// removed and Deduper.refusedUpTo is raised to its time, so that sends of all keys without a record that were
	// received up to that time plus ClockSkew are refused. The retention time exceeds the deadline of usual requests, so
	// that this affects few sends.
	refusalRetention = 30 * time.Second
)

// Deduper holds the records of the idempotency keys whose home is this node.
type Deduper struct {
	// KeyWindow is the time for which recorded answers and unknown outcomes are kept; zero means 10 min.
	KeyWindow time.Duration
	// ClockSkew is the maximum difference between the wall clocks of hosts and callers; zero means 1 s.
	ClockSkew time.Duration
	// MaxRecords and MaxBytes limit the number and the estimated memory of the records; zero means 100,000 and 32 MiB.
	MaxRecords int
	MaxBytes   int

	records       map[string]*record
	bytes         int
	finishedQueue queue // records of answered keys and keys with an unknown outcome
	refusedQueue  queue
	// refusedUpTo is a wall-clock time in Unix milliseconds; zero if none. A send of a key without a record is refused if
	// the ingress node received it up to this time plus ClockSkew. The bound replaces the refusals whose records were
	// removed or did not fit into the table.
	refusedUpTo int64
	// droppedUpTo is the latest issue time, in Unix milliseconds, of a key whose record was removed. A key that was
	// issued at or before this time and has no record counts as expired.
	droppedUpTo int64
	imports     map[string]*importProgress
	exportCount uint64
}

// Arrival describes a received request with an idempotency key. Each transmission of a request is one send of its key.
type Arrival struct {
	Key string
	// Fingerprint is the hash of the request's content; zero if it was not computed.
	Fingerprint uint64
	// ReceivedAt is the wall-clock time, in Unix milliseconds, at which the ingress node received the request.
	ReceivedAt int64
	// FirstSend is true if no earlier send of the key can exist.
	FirstSend bool
	// Serve, Code and BeforeTakeover are copied from owner.Verdict.
	Serve          bool
	Code           hornbeamcroft.Code
	BeforeTakeover bool
}

// Action is what the node must do with a send.
type Action uint8

// The actions that Arrive returns.
const (
	// ActionRun means that the node runs the call and then calls Finish exactly once.
	ActionRun Action = iota
	// ActionJoin means that the send waits for the answer of the running call with the same key.
	ActionJoin
	// ActionAnswer means that the node returns Decision.Answer without running the call.
	ActionAnswer
)

// Decision is the result of Arrive.
type Decision struct {
	Action Action
	Answer hornbeamcroft.Answer
}

// Stats summarizes the table for metrics and the status page.
type Stats struct {
	Records int
	// Bytes is the estimated memory of the records.
	Bytes int
	// RefusedBefore is Deduper.refusedUpTo, and DroppedUpTo is Deduper.droppedUpTo, both in Unix milliseconds.
	RefusedBefore int64
	DroppedUpTo   int64
}

// Stats returns the current size and the time bounds of the table.
func (d *Deduper) Stats() Stats {
	return Stats{
		Records: len(d.records), Bytes: d.bytes, RefusedBefore: d.refusedUpTo, DroppedUpTo: d.droppedUpTo,
	}
}

// initialize creates the maps and sets the defaults on first use.
func (d *Deduper) initialize() {
	if d.records != nil {
		return
	}
	d.records, d.imports = map[string]*record{}, map[string]*importProgress{}
	if d.KeyWindow == 0 {
		d.KeyWindow = defaultKeyWindow
	}
	if d.ClockSkew == 0 {
		d.ClockSkew = defaultClockSkew
	}
	if d.MaxRecords == 0 {
		d.MaxRecords = defaultMaxRecords
	}
	if d.MaxBytes == 0 {
		d.MaxBytes = defaultMaxBytes
	}
}

// Lookup returns the state of a key; false if the key has no record.
func (d *Deduper) Lookup(key string) (State, bool) {
	r := d.records[key]
	if r == nil {
		return 0, false
	}
	return r.state, true
}

// Arrive decides whether a send runs, joins the running call of its key or is answered at once.
func (d *Deduper) Arrive(now time.Duration, wall int64, a Arrival) Decision {
	d.initialize()
	r := d.records[a.Key]
	if r != nil && r.movedEpoch != 0 && a.Serve {
		d.resetReturned(now, r)
	}
	if r != nil && r.state != StateRefused {
		return d.arriveRecorded(r, a)
	}
	if !a.Serve {
		code := hornbeamcroft.CodeEarlierSendUnknown
		if a.FirstSend && r == nil {
			code = a.Code
		}
		return d.answerDecision(code)
	}
	if code, ok := d.expiredCode(wall, a); ok {
		return d.answerDecision(code)
	}
	if code, ok := d.refusalCode(wall, r, a); ok {
		d.refuse(now, wall, r, a, code)
		return d.answerDecision(code)
	}
	if r == nil {
		r = d.insert(a)
	}
	r.state, r.firstSendOnly, r.fingerprint, r.code = StateRunning, a.FirstSend, a.Fingerprint, hornbeamcroft.CodeStillRunning
	return Decision{Action: ActionRun}
}

// arriveRecorded handles a send of a key whose record is in StateRunning, StateAnswered or StateUnknown.
func (d *Deduper) arriveRecorded(r *record, a Arrival) Decision {
	if r.fingerprint != 0 && a.Fingerprint != 0 && r.fingerprint != a.Fingerprint {
		return d.answerDecision(hornbeamcroft.CodeKeyReused)
	}
	if r.state == StateRunning {
		r.firstSendOnly = false
		return Decision{Action: ActionJoin}
	}
	return Decision{Action: ActionAnswer, Answer: r.outcome()}
}

// expiredCode returns the code for a key that may have run although it has no record; false if there is no such risk.
// Arrive calls it before the check for issue times in the future: a previous home with a faster clock may have run a
// key whose issue time is in the future by this node's clock.
func (d *Deduper) expiredCode(wall int64, a Arrival) (hornbeamcroft.Code, bool) {
	issuedAt := IssueTime(a.Key)
	switch {
	case issuedAt != 0 && (issuedAt <= d.droppedUpTo || wall-issuedAt > d.KeyWindow.Milliseconds()):
		return hornbeamcroft.CodeKeyExpired, true
	case a.BeforeTakeover:
		return hornbeamcroft.CodeKeyBeforeTakeover, true
	}
	return 0, false
}

// refusalCode returns the code of the refusal if the send must be refused with the claim "not run"; false otherwise.
func (d *Deduper) refusalCode(wall int64, r *record, a Arrival) (hornbeamcroft.Code, bool) {
	skew := d.ClockSkew.Milliseconds()
	switch {
	case r != nil && r.fingerprint != 0 && a.Fingerprint != 0 && r.fingerprint != a.Fingerprint:
		return hornbeamcroft.CodeKeyReused, true
	case IssueTime(a.Key) > wall+skew:
		return hornbeamcroft.CodeKeyFromFuture, true
	case r != nil && (a.FirstSend || a.ReceivedAt <= r.refusedAt+skew):
		return r.code, true
	case r == nil && d.refusedUpTo != 0 && a.ReceivedAt <= d.refusedUpTo+skew:
		return hornbeamcroft.CodeConfirmedNotRun, true
	case r == nil && !d.hasCapacity(a.Key):
		return hornbeamcroft.CodeDuplicateTableFull, true
	}
	return 0, false
}

func (d *Deduper) hasCapacity(key string) bool {
	return len(d.records) < d.MaxRecords && d.bytes+recordBytes+len(key) <= d.MaxBytes
}

func (d *Deduper) insert(a Arrival) *record {
	r := &record{key: a.Key, fingerprint: a.Fingerprint, issuedAt: IssueTime(a.Key)}
	d.records[a.Key] = r
	d.bytes += r.bytes()
	return r
}

// refuse records that the key is refused with the claim "not run" at the time wall. If the table is full, it raises
// refusedUpTo instead, which applies to all keys without a record.
func (d *Deduper) refuse(now time.Duration, wall int64, r *record, a Arrival, code hornbeamcroft.Code) {
	if r == nil && !d.hasCapacity(a.Key) {
		d.refusedUpTo = max(d.refusedUpTo, wall)
		return
	}
	if r == nil {
		r = d.insert(a)
	}
	if r.state != StateRefused || code != hornbeamcroft.CodeKeyReused {
		r.code = code
	}
	d.markRefused(now, wall, r)
}

func (d *Deduper) markRefused(now time.Duration, wall int64, r *record) {
	r.state, r.refusedAt, r.expiresAt = StateRefused, max(r.refusedAt, wall), now+refusalRetention
	d.enqueue(&d.refusedQueue, r)
}

func (d *Deduper) enqueue(q *queue, r *record) {
	if r.queued {
		return // expireQueue moves the record to the queue for its state when it reaches the head
	}
	r.queued = true
	q.push(r)
}

// answerDecision returns the decision to answer a send with the code at once.
func (d *Deduper) answerDecision(code hornbeamcroft.Code) Decision {
	a := hornbeamcroft.Answer{Code: code}
	if code.Claim() == hornbeamcroft.ClaimNotRun && code < 400 {
		a.RetryAfter = 2 * d.ClockSkew
	}
	return Decision{Action: ActionAnswer, Answer: a}
}

// remove deletes a record and raises refusedUpTo or droppedUpTo, which protect its key from then on.
func (d *Deduper) remove(r *record) {
	if d.records[r.key] != r {
		return
	}
	delete(d.records, r.key)
	d.bytes -= r.bytes()
	if r.state == StateRefused {
		d.refusedUpTo = max(d.refusedUpTo, r.refusedAt)
		return
	}
	d.droppedUpTo = max(d.droppedUpTo, r.issuedAt)
}
