package deduper

import (
	"container/list"
	"time"

	"hornbeamcroft"
)

const (
	// defaultCallRetention is the time after the deadline of a call for which its outcome is kept.
	defaultCallRetention = 30 * time.Second
	defaultMaxCalls      = 50_000
	defaultMaxCallBytes  = 24 << 20 // 50,000 entries of callBytes take 19 MB; the rest is for answers
	sweepInterval        = time.Second
	// senderIdleTimeout is the time after its last call or outcome query at which a sender without entries is removed.
	// It exceeds the longest deadline of a call plus the retention time, so that no outcome query for a call of a
	// removed sender is still expected.
	senderIdleTimeout = 2 * time.Hour
)

// CallID identifies a call frame by the sending node, the incarnation of that node and the call id that it assigned.
type CallID struct {
	Sender      string
	Incarnation uint64
	ID          uint64
}

// CallStatus is the state of a call frame in the table of a node.
type CallStatus uint8

// The states of a call frame.
const (
	// CallNew means that the frame was not received before; the call is recorded as running.
	CallNew CallStatus = iota
	// CallRunning means that the call was received and has no outcome yet.
	CallRunning
	// CallAnswered means that the outcome is recorded. If the upstream's answer was evicted, the answer has the code CodeAnswerGone.
	CallAnswered
	// CallFenced means that an outcome query for the id was answered with "not run" before the call arrived. The call
	// must not run if it arrives later.
	CallFenced
	// CallOutcomeUnknown means that the call may have run and its outcome is no longer recorded.
	CallOutcomeUnknown
	// CallRefused means that the table is full and the call must not run.
	CallRefused
)

// Code returns the result code for a call frame or an outcome query in this state; zero for CallNew, CallRunning and
// CallAnswered.
func (s CallStatus) Code() hornbeamcroft.Code {
	switch s {
	case CallFenced:
		return hornbeamcroft.CodeFencedAfterLinkLoss
	case CallOutcomeUnknown:
		return hornbeamcroft.CodeOutcomeUnknown
	case CallRefused:
		return hornbeamcroft.CodeDuplicateTableFull
	}
	return 0
}

// Calls records recently received calls and their outcomes by sender and call id, to recognize repeated call frames and
// to answer outcome queries after a link was lost. Where memory is short, it drops header and body of the oldest answers and keeps
// the outcome, so that such a call neither runs again nor counts as not run. The zero value is ready for use. It is not safe for
// concurrent use.
type Calls struct {
	// Incarnation is the incarnation of this node.
	Incarnation uint64
	// MaxCalls is the maximum number of entries; zero means 50,000.
	MaxCalls int
	// Retention is the time after the deadline of a call for which its outcome is kept; zero means 30 s.
	Retention time.Duration
	// MaxBytes is the maximum of the estimated memory of entries and answers in bytes; zero means 24 MiB.
	MaxBytes int
	// Memory is the account from which entries and answers are reserved before they are held; nil if they are not accounted for.
	Memory hornbeamcroft.RetainedMemory

	senders map[senderID]*senderCalls
	entries int
	// answers holds the entries with the content of an answer, as *callRecord in the order in which the calls ended.
	answers list.List
	// bytes is the estimated memory of entries and answers, contentBytes the part of it that eviction can release.
	bytes, contentBytes int
	evicted             int64
	lastSweep           time.Duration
	droppedSender       bool
}

// senderID is one incarnation of a sender. Incarnations are only compared for equality: a node whose clock was set back
// before it restarted has a lower one than before.
type senderID struct {
	name        string
	incarnation uint64
}

// sender returns the incarnation of the sender of the call.
func (id CallID) sender() senderID { return senderID{id.Sender, id.Incarnation} }

// senderCalls holds the calls of one incarnation of a sender.
type senderCalls struct {
	calls map[uint64]*callRecord
	// unknownUpTo is the highest call id whose entry may have been removed. A call with an id up to this one and
	// without an entry may have run.
	unknownUpTo uint64
	lastUsedAt  time.Duration
}

type callRecord struct {
	status    CallStatus
	expiresAt time.Duration // monotonic time after which the entry is removed, unless the call is running
	answer    hornbeamcroft.Answer
	// contentBytes is the reserved memory of the answer's content, and element the entry's place in Calls.answers; zero and nil if
	// the entry holds no content.
	contentBytes int
	element      *list.Element
}

// Begin records the arrival of a call frame and returns its status, with the answer for CallAnswered. The caller must
// run the call only if the status is CallNew. The deadline is on the monotonic clock.
func (c *Calls) Begin(now time.Duration, id CallID, deadline time.Duration) (CallStatus, hornbeamcroft.Answer) {
	s := c.callsOf(now, id, max(id.ID, 1)-1)
	if e := s.calls[id.ID]; e != nil {
		return e.status, e.answer
	}
	if id.ID <= s.unknownUpTo {
		return CallOutcomeUnknown, hornbeamcroft.Answer{}
	}
	if !c.addEntry(s, id.ID, &callRecord{status: CallRunning, expiresAt: max(now, deadline) + c.retention()}) {
		return CallRefused, hornbeamcroft.Answer{}
	}
	return CallNew, hornbeamcroft.Answer{}
}

// Finish records the outcome of a call that Begin reported as new. If there is no memory for the content of the answer, even without
// older answers, it records the facts only.
func (c *Calls) Finish(now time.Duration, id CallID, a hornbeamcroft.Answer) {
	s := c.senders[id.sender()]
	if s == nil {
		return // the sender was removed, because it has sent nothing for so long that it has given the call up
	}
	if e := s.calls[id.ID]; e != nil && e.status == CallRunning {
		e.status, e.expiresAt = CallAnswered, max(e.expiresAt, now+c.retention())
		c.setAnswer(e, a)
	}
}

// Query answers an outcome query. Incarnation is the incarnation of this node to which the call was sent. CallFenced
// confirms that the call did not run and will not run; it is returned only for an id that this query or an earlier one
// fenced because no frame with the id had arrived.
func (c *Calls) Query(now time.Duration, id CallID, incarnation uint64) (CallStatus, hornbeamcroft.Answer) {
	if incarnation != c.Incarnation {
		return CallOutcomeUnknown, hornbeamcroft.Answer{}
	}
	s := c.callsOf(now, id, id.ID)
	if e := s.calls[id.ID]; e != nil {
		return e.status, e.answer
	}
	if id.ID <= s.unknownUpTo || !c.addEntry(s, id.ID, &callRecord{status: CallFenced, expiresAt: now + senderIdleTimeout}) {
		return CallOutcomeUnknown, hornbeamcroft.Answer{}
	}
	return CallFenced, hornbeamcroft.Answer{}
}

// callsOf returns the calls of the incarnation of the sender in id. If Tick has removed any sender, a new entry may replace
// a removed one, so calls with ids up to unknownUpTo count as possibly run.
func (c *Calls) callsOf(now time.Duration, id CallID, unknownUpTo uint64) *senderCalls {
	if c.senders == nil {
		c.senders = map[senderID]*senderCalls{}
	}
	s := c.senders[id.sender()]
	if s == nil {
		s = &senderCalls{calls: map[uint64]*callRecord{}}
		if c.droppedSender {
			s.unknownUpTo = unknownUpTo
		}
		c.senders[id.sender()] = s
	}
	s.lastUsedAt = now
	return s
}

func (c *Calls) retention() time.Duration {
	if c.Retention > 0 {
		return c.Retention
	}
	return defaultCallRetention
}

// Len returns the number of recorded calls and fences.
func (c *Calls) Len() int { return c.entries }

// Tick removes expired entries and idle senders. It does so at most once per second, however often it is called.
func (c *Calls) Tick(now time.Duration) {
	if now-c.lastSweep < sweepInterval {
		return
	}
	c.lastSweep = now
	for name, s := range c.senders {
		for id, e := range s.calls {
			if e.status != CallRunning && now > e.expiresAt {
				c.removeEntry(s, id, e)
				s.unknownUpTo = max(s.unknownUpTo, id)
			}
		}
		if len(s.calls) == 0 && now-s.lastUsedAt > senderIdleTimeout {
			delete(c.senders, name)
			c.droppedSender = true
		}
	}
}
