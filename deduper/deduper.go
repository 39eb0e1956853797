package deduper

import (
	"time"

	"hornbeamcroft"
)

const (
	defaultKeyWindow  = 10 * time.Minute
	defaultClockSkew  = time.Second
	defaultMaxRecords = 100_000  // 115 calls/s for 10 min are 69,000 keys
	defaultMaxBytes   = 32 << 20 // half of the 64 MB that a node may use
	// tombstoneTime is how long a refusal is kept for its key. After that it is part of one time for all keys, which
	// refuses sends received before it. Longer than the deadline of usual requests, so that few are affected.
	tombstoneTime = 30 * time.Second
)

// Deduper holds the records of the keys whose home is this node.
type Deduper struct {
	// KeyWindow is the time for which answers are kept; zero means 10 min.
	KeyWindow time.Duration
	// ClockSkew is the greatest difference between wall clocks of hosts and callers; zero means 1 s.
	ClockSkew time.Duration
	// MaxRecords and MaxBytes bound the table; zero means 100,000 records and 32 MiB.
	MaxRecords int
	MaxBytes   int

	records map[string]*record
	bytes   int
	done    queue // answered and unknown records
	refused queue
	// refusedBefore, Unix milliseconds: a key without a record runs only if its ingress node received it after this
	// time plus the skew. It stands for the refusals whose records are gone or found no room.
	refusedBefore int64
	// droppedUpTo, Unix milliseconds: a key issued at or before this time without a record is expired.
	droppedUpTo int64
	imports     map[string]*importing
	exports     uint64
}

// Arrival is a send of a key that reached this node.
type Arrival struct {
	Key string
	// Fingerprint is the hash of the content; zero if it was not computed.
	Fingerprint uint64
	// ReceivedAt is the ingress node's wall-clock time of receipt in Unix milliseconds.
	ReceivedAt int64
	// FirstSend is true if no earlier send of the key can exist.
	FirstSend bool
	// Serve, Code and Old are copied from owner.Verdict.
	Serve bool
	Code  hornbeamcroft.Code
	Old   bool
}

// Action tells what to do with a send.
type Action uint8

// The actions.
const (
	// ActionRun means that the send is to be run; Finish must follow.
	ActionRun Action = iota
	// ActionJoin means that the send waits for the running call of its key.
	ActionJoin
	// ActionAnswer means that Decision.Answer is the answer.
	ActionAnswer
)

// Decision is the result of Arrive.
type Decision struct {
	Action Action
	Answer hornbeamcroft.Answer
}

// Stats is a summary for metrics and the status page.
type Stats struct {
	Records int
	// Bytes is the estimated memory of the records.
	Bytes int
	// RefusedBefore and DroppedUpTo are in Unix milliseconds, see the fields of Deduper.
	RefusedBefore int64
	DroppedUpTo   int64
}

// Stats returns the size of the table.
func (d *Deduper) Stats() Stats {
	return Stats{
		Records: len(d.records), Bytes: d.bytes, RefusedBefore: d.refusedBefore, DroppedUpTo: d.droppedUpTo,
	}
}

func (d *Deduper) start() {
	if d.records != nil {
		return
	}
	d.records, d.imports = map[string]*record{}, map[string]*importing{}
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

// Lookup returns the state of a key; false if there is no record.
func (d *Deduper) Lookup(key string) (State, bool) {
	r := d.records[key]
	if r == nil {
		return 0, false
	}
	return r.state, true
}

// Arrive decides about a send.
func (d *Deduper) Arrive(now time.Duration, wall int64, a Arrival) Decision {
	d.start()
	r := d.records[a.Key]
	if r != nil && r.moved != 0 && a.Serve {
		d.regain(now, r)
	}
	if r != nil && r.state != StateRefused {
		return d.arriveKnown(r, a)
	}
	if !a.Serve {
		code := hornbeamcroft.CodeEarlierSendUnknown
		if a.FirstSend && r == nil {
			code = a.Code
		}
		return d.answer(code)
	}
	if code, ok := d.tooOld(wall, a); ok {
		return d.answer(code)
	}
	if code, ok := d.mustRefuse(wall, r, a); ok {
		d.refuse(now, wall, r, a, code)
		return d.answer(code)
	}
	if r == nil {
		r = d.insert(a)
	}
	r.state, r.onlyFirst, r.fingerprint, r.code = StateRunning, a.FirstSend, a.Fingerprint, hornbeamcroft.CodeStillRunning
	return Decision{Action: ActionRun}
}

// arriveKnown handles a send of a key that is running, answered or unknown.
func (d *Deduper) arriveKnown(r *record, a Arrival) Decision {
	if r.fingerprint != 0 && a.Fingerprint != 0 && r.fingerprint != a.Fingerprint {
		return d.answer(hornbeamcroft.CodeKeyReused)
	}
	if r.state == StateRunning {
		r.onlyFirst = false
		return Decision{Action: ActionJoin}
	}
	return Decision{Action: ActionAnswer, Answer: r.outcome()}
}

// tooOld returns the code for a key that may have run although no record says so. It goes before the check for keys
// from the future: a previous home with a faster clock may have run a key that this clock calls future.
func (d *Deduper) tooOld(wall int64, a Arrival) (hornbeamcroft.Code, bool) {
	issued := IssueTime(a.Key)
	switch {
	case issued != 0 && (issued <= d.droppedUpTo || wall-issued > d.KeyWindow.Milliseconds()):
		return hornbeamcroft.CodeKeyExpired, true
	case a.Old:
		return hornbeamcroft.CodeKeyBeforeTakeover, true
	}
	return 0, false
}

// mustRefuse returns the code of a refusal that claims "not run".
func (d *Deduper) mustRefuse(wall int64, r *record, a Arrival) (hornbeamcroft.Code, bool) {
	skew := d.ClockSkew.Milliseconds()
	switch {
	case r != nil && r.fingerprint != 0 && a.Fingerprint != 0 && r.fingerprint != a.Fingerprint:
		return hornbeamcroft.CodeKeyReused, true
	case IssueTime(a.Key) > wall+skew:
		return hornbeamcroft.CodeKeyFromFuture, true
	case r != nil && (a.FirstSend || a.ReceivedAt <= r.refusedAt+skew):
		return r.code, true
	case r == nil && d.refusedBefore != 0 && a.ReceivedAt <= d.refusedBefore+skew:
		return hornbeamcroft.CodeConfirmedNotRun, true
	case r == nil && !d.fits(a.Key):
		return hornbeamcroft.CodeDuplicateTableFull, true
	}
	return 0, false
}

func (d *Deduper) fits(key string) bool {
	return len(d.records) < d.MaxRecords && d.bytes+recordBytes+len(key) <= d.MaxBytes
}

func (d *Deduper) insert(a Arrival) *record {
	r := &record{key: a.Key, fingerprint: a.Fingerprint, issued: IssueTime(a.Key)}
	d.records[a.Key] = r
	d.bytes += r.bytes()
	return r
}

// refuse remembers that "not run" is said of the key now. Without room, the time counts for all keys without a record.
func (d *Deduper) refuse(now time.Duration, wall int64, r *record, a Arrival, code hornbeamcroft.Code) {
	if r == nil && !d.fits(a.Key) {
		d.refusedBefore = max(d.refusedBefore, wall)
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
	r.state, r.refusedAt, r.due = StateRefused, max(r.refusedAt, wall), now+tombstoneTime
	d.enqueue(&d.refused, r)
}

func (d *Deduper) enqueue(q *queue, r *record) {
	if r.queued {
		return // it is moved to the right queue when it comes up
	}
	r.queued = true
	q.push(r)
}

func (d *Deduper) answer(code hornbeamcroft.Code) Decision {
	a := hornbeamcroft.Answer{Code: code}
	if code.Claim() == hornbeamcroft.ClaimNotRun && code < 400 {
		a.RetryAfter = 2 * d.ClockSkew
	}
	return Decision{Action: ActionAnswer, Answer: a}
}

// Finish ends the running call of a key. Serve is the result of owner.Check now; a home without a permit may claim
// "not run" for a first send only. It returns the answer for all senders that wait.
func (d *Deduper) Finish(now time.Duration, wall int64, key string, a hornbeamcroft.Answer, serve bool) hornbeamcroft.Answer {
	r := d.records[key]
	if r == nil || r.state != StateRunning {
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	}
	r.code = a.Code
	switch a.Code.Claim() {
	case hornbeamcroft.ClaimRan:
		d.keep(r, a)
	case hornbeamcroft.ClaimNotRun:
		d.markRefused(now, wall, r)
		if !serve && !r.onlyFirst {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeEarlierSendUnknown, Unspent: a.Unspent, Pressure: a.Pressure}
		}
		a.RetryAfter = max(a.RetryAfter, 2*d.ClockSkew)
		return a
	default:
		r.state = StateUnknown
	}
	r.due = now + d.KeyWindow
	d.enqueue(&d.done, r)
	return a
}

// keep stores the answer, without its body if there is no room for it.
func (d *Deduper) keep(r *record, a hornbeamcroft.Answer) {
	d.bytes -= r.bytes()
	r.state = StateAnswered
	r.answer = &kept{status: a.Status, contentType: a.ContentType, body: a.Body}
	if d.bytes+r.bytes() > d.MaxBytes {
		r.answer = &kept{status: a.Status, truncated: true}
	}
	d.bytes += r.bytes()
}

// regain handles a key that moved away and came back without a newer record. A refusal is out of date then, since
// another home may have run the key.
func (d *Deduper) regain(now time.Duration, r *record) {
	r.moved = 0
	if r.state != StateRefused {
		return
	}
	r.state, r.code, r.due = StateUnknown, hornbeamcroft.CodeKeyBeforeTakeover, now+d.KeyWindow
	d.enqueue(&d.done, r)
}

// Tick drops records that are older than their time.
func (d *Deduper) Tick(now time.Duration) {
	d.start()
	d.drain(now, &d.refused)
	d.drain(now, &d.done)
}

func (d *Deduper) drain(now time.Duration, q *queue) {
	for r := q.peek(); r != nil; r = q.peek() {
		requeue := r.state == StateRefused && q != &d.refused || r.state != StateRefused && q == &d.refused
		if !requeue && r.state != StateRunning && r.due > now {
			return
		}
		q.pop()
		r.queued = false
		switch {
		case r.state == StateRunning: // queued again by Finish
		case requeue && q == &d.refused:
			d.enqueue(&d.done, r)
		case requeue:
			d.enqueue(&d.refused, r)
		default:
			d.drop(r)
		}
	}
}

// drop forgets a record; what it guards against is carried by the times that count for all keys.
func (d *Deduper) drop(r *record) {
	if d.records[r.key] != r {
		return
	}
	delete(d.records, r.key)
	d.bytes -= r.bytes()
	if r.state == StateRefused {
		d.refusedBefore = max(d.refusedBefore, r.refusedAt)
		return
	}
	d.droppedUpTo = max(d.droppedUpTo, r.issued)
}
