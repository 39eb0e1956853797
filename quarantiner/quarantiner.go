package quarantiner

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// DefaultRefuseTime is how long a request that crashed upstreams is refused.
const DefaultRefuseTime = 10 * time.Minute

// Request is a call to the own upstream.
type Request struct {
	// ID is unique among the calls of this node.
	ID          uint64
	Key         string
	Fingerprint uint64
}

// Verdict says what happens to a call that arrives.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun lets the call go on to admission.
	VerdictRun Verdict = iota
	// VerdictWait keeps the call until its ID appears in a Result.
	VerdictWait
	// VerdictRefuse refuses the call with CodePoisonRefused.
	VerdictRefuse
)

// Result is what the node does next.
type Result struct {
	Verdict Verdict
	// RetryAfter is when a refused request would be let in again.
	RetryAfter time.Duration
	Send       []Outgoing
	// Alone, Release and Refuse are IDs of waiting calls: to run alone, as usual, or not at all.
	Alone   []uint64
	Release []uint64
	Refuse  []uint64
	// Return are IDs of calls that waited for an upstream that crashed; they did not run and can run elsewhere.
	Return []uint64
}

// Config is what a Quarantiner starts with. The fields from the document may change while it runs.
type Config struct {
	// Node is the name of this node.
	Node string
	// Incarnation distinguishes crashes of this start of the node from those of an earlier one.
	Incarnation uint64
	// Crashes is the number of crashes after which a request is refused; 1 or 2. With 1, requests that only ran
	// beside the one that crashed the upstream are refused too.
	Crashes int
	// RefuseTime is how long a suspicion and a refusal last. After a refusal, the request is a suspect as long again.
	RefuseTime time.Duration
}

// Quarantiner finds the requests that crash upstreams, by letting suspects run alone.
type Quarantiner struct {
	// Config may be changed between calls.
	Config Config

	members []string
	table   table
	crashes uint64
	waiting []Request
	// alone is the call that runs alone here, if any.
	alone *Request
	turn  turn
}

// New returns a Quarantiner without suspects.
func New(now time.Duration, cfg Config) (*Quarantiner, error) {
	if cfg.Node == "" || cfg.Crashes < 1 || cfg.Crashes > maxCrashes {
		return nil, errors.Errorf("quarantiner: need a name, and a number of crashes from 1 to %d", maxCrashes)
	}
	if cfg.RefuseTime <= 0 || cfg.RefuseTime > maxRemaining {
		return nil, errors.Errorf("quarantiner: refuse time %s: allowed is more than 0 and at most %s", cfg.RefuseTime, maxRemaining)
	}
	return &Quarantiner{Config: cfg, table: newTable(), members: []string{cfg.Node}, turn: newTurn(now)}, nil
}

// Arrive decides about a call before admission.
func (q *Quarantiner) Arrive(now time.Duration, r Request) Result {
	f := q.table.find(now, r.Key, r.Fingerprint)
	switch {
	case f == nil:
		return Result{Verdict: VerdictRun}
	case len(f.crashes) >= q.Config.Crashes:
		return Result{Verdict: VerdictRefuse, RetryAfter: f.until - now}
	}
	q.waiting = append(q.waiting, r)
	res := q.ask(now)
	res.Verdict = VerdictWait
	return res
}

// Finish tells that a call ended without a crash of the upstream. A suspect that ran alone is cleared.
func (q *Quarantiner) Finish(now time.Duration, id uint64) Result {
	if q.alone == nil || q.alone.ID != id {
		return Result{}
	}
	r := *q.alone
	q.alone = nil
	res := Result{Send: q.toAll(Cleared{Key: r.Key, Fingerprint: r.Fingerprint})}
	q.clear(now, r.Key, r.Fingerprint)
	res.join(q.review(now))
	res.join(q.endTurn(now))
	return res
}

// Cancel withdraws a call: one that waits, or one that was given its turn and never ran to an end. It stays suspect.
func (q *Quarantiner) Cancel(now time.Duration, id uint64) Result {
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if q.alone == nil || q.alone.ID != id {
		return Result{}
	}
	q.alone = nil
	return q.endTurn(now)
}

// Crash tells that the own upstream crashed while the given calls ran in it.
func (q *Quarantiner) Crash(now time.Duration, running []Request) Result {
	q.crashes++
	id := q.crashID()
	var suspects []Suspect
	for _, r := range running {
		if r.Key != "" || r.Fingerprint != 0 {
			s := Suspect{Key: r.Key, Fingerprint: r.Fingerprint, Crashes: []uint64{id}, Remaining: q.Config.RefuseTime}
			suspects = append(suspects, s)
			q.table.add(now, s)
		}
	}
	var res Result
	for part := range slices.Chunk(suspects, maxReported) {
		res.Send = append(res.Send, q.toAll(Report{Suspects: part})...)
	}
	q.alone = nil
	res.join(q.review(now))
	for _, r := range q.waiting {
		res.Return = append(res.Return, r.ID)
	}
	q.waiting = nil
	res.join(q.endTurn(now))
	return res
}

// crashID is the same for all suspects of one crash, so that a crash reported twice counts once.
func (q *Quarantiner) crashID() uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(q.Config.Node), q.Config.Incarnation)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, q.crashes))
}

// Receive handles a message of another node of the service. The message has passed Check.
func (q *Quarantiner) Receive(now time.Duration, from string, m Message) Result {
	switch m := m.(type) {
	case Report:
		for _, s := range m.Suspects {
			s.Remaining = min(s.Remaining, q.Config.RefuseTime)
			q.table.add(now, s)
		}
		return q.review(now)
	case Cleared:
		q.clear(now, m.Key, m.Fingerprint)
		return q.review(now)
	case Turn:
		return q.onTurn(now, from, m.Step)
	}
	return Result{}
}

// clear drops a suspicion; a refusal stays.
func (q *Quarantiner) clear(now time.Duration, key string, fingerprint uint64) {
	if r := q.table.find(now, key, fingerprint); r != nil && len(r.crashes) < q.Config.Crashes {
		q.table.drop(r)
	}
}

// review decides anew about the waiting calls after the table has changed.
func (q *Quarantiner) review(now time.Duration) Result {
	var res Result
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool {
		f := q.table.find(now, r.Key, r.Fingerprint)
		switch {
		case f == nil:
			res.Release = append(res.Release, r.ID)
		case len(f.crashes) >= q.Config.Crashes:
			res.Refuse = append(res.Refuse, r.ID)
		default:
			return false
		}
		return true
	})
	return res
}

// SetMembers sets the live nodes of the service, this one included. The first member sends what it knows to new ones.
func (q *Quarantiner) SetMembers(now time.Duration, names []string) Result {
	var res Result
	if len(names) > 0 && names[0] == q.Config.Node {
		for _, n := range names {
			if n != q.Config.Node && !slices.Contains(q.members, n) {
				res.Send = append(res.Send, q.tell(now, n)...)
			}
		}
	}
	former := q.coordinator()
	q.members = slices.Clone(names)
	q.turn.follow(now, former, q)
	res.join(q.grant(now))
	return res
}

func (q *Quarantiner) tell(now time.Duration, to string) []Outgoing {
	var all []Suspect
	for _, r := range q.table.oldest {
		if r.current(now) {
			all = append(all, Suspect{Key: r.key, Fingerprint: r.fingerprint, Crashes: slices.Clone(r.crashes), Remaining: r.until - now})
		}
	}
	var out []Outgoing
	for part := range slices.Chunk(all, maxReported) {
		out = append(out, Outgoing{To: to, Message: Report{Suspects: part}})
	}
	return out
}

// Tick lets time pass.
func (q *Quarantiner) Tick(now time.Duration) Result {
	q.table.expire(now)
	res := q.review(now)
	res.join(q.repeatTurn(now))
	res.join(q.grant(now))
	return res
}

// Suspects returns the number of records, for metrics.
func (q *Quarantiner) Suspects() int { return len(q.table.oldest) }

func (q *Quarantiner) toAll(m Message) []Outgoing {
	var out []Outgoing
	for _, n := range q.members {
		if n != q.Config.Node {
			out = append(out, Outgoing{To: n, Message: m})
		}
	}
	return out
}

func (r *Result) join(o Result) {
	r.Send = append(r.Send, o.Send...)
	r.Alone = append(r.Alone, o.Alone...)
	r.Release = append(r.Release, o.Release...)
	r.Refuse = append(r.Refuse, o.Refuse...)
	r.Return = append(r.Return, o.Return...)
}
