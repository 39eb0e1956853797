package quarantiner

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// DefaultRefuseTime is the time for which a request that crashed upstreams is refused.
const DefaultRefuseTime = 10 * time.Minute

// Request identifies a call to the local upstream.
type Request struct {
	// ID is unique among the calls of this node.
	ID          uint64
	Key         string
	Fingerprint uint64
}

// Verdict is the decision about a call that arrives.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun lets the call go on to admission.
	VerdictRun Verdict = iota
	// VerdictWait makes the call wait until its ID appears in a Result.
	VerdictWait
	// VerdictRefuse refuses the call with CodePoisonRefused.
	VerdictRefuse
)

// Result lists what the node must do next.
type Result struct {
	Verdict Verdict
	// RetryAfter is the time until the refusal of the request ends. It is set with VerdictRefuse only.
	RetryAfter time.Duration
	Send       []Outgoing
	// Isolated, Release and Refuse are IDs of waiting calls: those that run isolated, those that run as usual and those
	// that are refused.
	Isolated []uint64
	Release  []uint64
	Refuse   []uint64
	// Return are IDs of calls that waited for an upstream that has crashed. They did not run and can run at another
	// upstream.
	Return []uint64
}

// Config holds the settings of a Quarantiner. Crashes and RefuseTime come from the document and may change while it
// runs.
type Config struct {
	// Node is the name of this node.
	Node string
	// Incarnation identifies the start of the node, so that crashes after a restart differ from those before it.
	Incarnation uint64
	// Crashes is the number of upstream crashes in which a request must have run before it is refused; 1 or 2. With 1,
	// requests that only ran at the same time as the one that crashed the upstream are refused too.
	Crashes int
	// RefuseTime is the time for which a request stays a suspect, and for which it is refused. After a refusal, the
	// request is a suspect for the same time again.
	RefuseTime time.Duration
}

// Quarantiner finds the requests that crash upstreams, by isolated runs of the suspects.
type Quarantiner struct {
	// Config may be changed between calls of the methods.
	Config Config

	members []string
	table   table
	// localCrashCount is the number of crashes of the local upstream since the start of the node.
	localCrashCount uint64
	waiting         []Request
	// isolated is the call in its isolated run here; nil if there is none.
	isolated *Request
	turn     turnState
}

// New returns a Quarantiner that knows no suspects.
func New(now time.Duration, cfg Config) (*Quarantiner, error) {
	if cfg.Node == "" || cfg.Crashes < 1 || cfg.Crashes > maxCrashes {
		return nil, errors.Errorf("quarantiner: node name must not be empty, number of crashes must be 1 to %d", maxCrashes)
	}
	if cfg.RefuseTime <= 0 || cfg.RefuseTime > maxRemaining {
		return nil, errors.Errorf("quarantiner: refuse time %s: must be more than 0 and at most %s", cfg.RefuseTime, maxRemaining)
	}
	return &Quarantiner{Config: cfg, table: newTable(), members: []string{cfg.Node}, turn: newTurnState(now)}, nil
}

// Arrive decides about a call before its admission.
func (q *Quarantiner) Arrive(now time.Duration, r Request) Result {
	e := q.table.find(now, r.Key, r.Fingerprint)
	switch {
	case e == nil:
		return Result{Verdict: VerdictRun}
	case len(e.crashIDs) >= q.Config.Crashes:
		return Result{Verdict: VerdictRefuse, RetryAfter: e.until - now}
	}
	q.waiting = append(q.waiting, r)
	res := q.requestTurn(now)
	res.Verdict = VerdictWait
	return res
}

// Finish records that a call has ended without a crash of the upstream. A suspect whose isolated run ended so is
// cleared on all nodes.
func (q *Quarantiner) Finish(now time.Duration, id uint64) Result {
	if q.isolated == nil || q.isolated.ID != id {
		return Result{}
	}
	r := *q.isolated
	q.isolated = nil
	res := Result{Send: q.broadcast(Cleared{Key: r.Key, Fingerprint: r.Fingerprint})}
	q.clear(now, r.Key, r.Fingerprint)
	res.merge(q.reviewWaiting(now))
	res.merge(q.endTurn(now))
	return res
}

// Cancel withdraws a call that waits, or one that got the turn for its isolated run but did not complete it. The
// request stays a suspect.
func (q *Quarantiner) Cancel(now time.Duration, id uint64) Result {
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if q.isolated == nil || q.isolated.ID != id {
		return Result{}
	}
	q.isolated = nil
	return q.endTurn(now)
}

// Crash records that the local upstream crashed while it ran the given calls. They become suspects, and the waiting calls
// are returned.
func (q *Quarantiner) Crash(now time.Duration, running []Request) Result {
	q.localCrashCount++
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
	for part := range slices.Chunk(suspects, maxSuspectsPerReport) {
		res.Send = append(res.Send, q.broadcast(Report{Suspects: part})...)
	}
	q.isolated = nil
	res.merge(q.reviewWaiting(now))
	for _, r := range q.waiting {
		res.Return = append(res.Return, r.ID)
	}
	q.waiting = nil
	res.merge(q.endTurn(now))
	return res
}

// crashID returns the id of the latest crash here. All suspects of one crash carry the same id, so that a crash that is
// reported twice counts once.
func (q *Quarantiner) crashID() uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(q.Config.Node), q.Config.Incarnation)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(b, q.localCrashCount))
}

// Receive handles a message of another node of the service. The message must have passed its Check.
func (q *Quarantiner) Receive(now time.Duration, from string, m Message) Result {
	switch m := m.(type) {
	case Report:
		for _, s := range m.Suspects {
			s.Remaining = min(s.Remaining, q.Config.RefuseTime)
			q.table.add(now, s)
		}
		return q.reviewWaiting(now)
	case Cleared:
		q.clear(now, m.Key, m.Fingerprint)
		return q.reviewWaiting(now)
	case IsolationTurn:
		return q.handleTurn(now, from, m.Step)
	}
	return Result{}
}

// clear removes a request from the suspects. A request that is refused already stays refused.
func (q *Quarantiner) clear(now time.Duration, key string, fingerprint uint64) {
	if e := q.table.find(now, key, fingerprint); e != nil && len(e.crashIDs) < q.Config.Crashes {
		q.table.remove(e)
	}
}

// reviewWaiting decides again about the waiting calls after the table has changed.
func (q *Quarantiner) reviewWaiting(now time.Duration) Result {
	var res Result
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool {
		e := q.table.find(now, r.Key, r.Fingerprint)
		switch {
		case e == nil:
			res.Release = append(res.Release, r.ID)
		case len(e.crashIDs) >= q.Config.Crashes:
			res.Refuse = append(res.Refuse, r.ID)
		default:
			return false
		}
		return true
	})
	return res
}

// SetMembers sets the live nodes of the service, including this one. The first node reports all its suspects to nodes
// that are new.
func (q *Quarantiner) SetMembers(now time.Duration, names []string) Result {
	var res Result
	if len(names) > 0 && names[0] == q.Config.Node {
		for _, n := range names {
			if n != q.Config.Node && !slices.Contains(q.members, n) {
				res.Send = append(res.Send, q.reportAll(now, n)...)
			}
		}
	}
	formerCoordinator := q.coordinator()
	q.members = slices.Clone(names)
	q.turn.updateMembers(now, formerCoordinator, q)
	res.merge(q.grant(now))
	return res
}

// reportAll returns the messages that report all suspects to one node.
func (q *Quarantiner) reportAll(now time.Duration, to string) []Outgoing {
	var all []Suspect
	for _, e := range q.table.byAge {
		if e.updateValidity(now) {
			all = append(all, Suspect{Key: e.key, Fingerprint: e.fingerprint, Crashes: slices.Clone(e.crashIDs), Remaining: e.until - now})
		}
	}
	var out []Outgoing
	for part := range slices.Chunk(all, maxSuspectsPerReport) {
		out = append(out, Outgoing{To: to, Message: Report{Suspects: part}})
	}
	return out
}

// Tick drops expired suspects, repeats messages that are due and grants a free turn.
func (q *Quarantiner) Tick(now time.Duration) Result {
	q.table.expire(now)
	res := q.reviewWaiting(now)
	res.merge(q.repeatTurnMessage(now))
	res.merge(q.grant(now))
	return res
}

// SuspectCount returns the number of suspects and refused requests in the table.
func (q *Quarantiner) SuspectCount() int { return len(q.table.byAge) }

// broadcast returns the message addressed to each other node of the service.
func (q *Quarantiner) broadcast(m Message) []Outgoing {
	var out []Outgoing
	for _, n := range q.members {
		if n != q.Config.Node {
			out = append(out, Outgoing{To: n, Message: m})
		}
	}
	return out
}

// merge appends the lists of o. It leaves Verdict and RetryAfter unchanged.
func (r *Result) merge(o Result) {
	r.Send = append(r.Send, o.Send...)
	r.Isolated = append(r.Isolated, o.Isolated...)
	r.Release = append(r.Release, o.Release...)
	r.Refuse = append(r.Refuse, o.Refuse...)
	r.Return = append(r.Return, o.Return...)
}
