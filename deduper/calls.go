package deduper

import (
	"time"

	"hornbeamcroft"
)

const (
	// defaultKeepCall is how long the outcome of a call is kept after its deadline.
	defaultKeepCall = 30 * time.Second
	defaultMaxCalls = 50_000
	sweepInterval   = time.Second
	// senderIdle is longer than the longest deadline plus the time for which outcomes are kept, so no outcome of an idle sender is still asked for.
	senderIdle = 2 * time.Hour
)

// CallID identifies a call frame.
type CallID struct {
	Sender      string
	Incarnation uint64
	ID          uint64
}

// CallStatus is what is known about a call frame.
type CallStatus uint8

// The states of a call frame.
const (
	// CallNew means that the call was not seen before; it is running from now on.
	CallNew CallStatus = iota
	// CallRunning means that the call arrived and has no outcome yet.
	CallRunning
	// CallAnswered means that the outcome is known.
	CallAnswered
	// CallFenced means that "not run" was confirmed for the id and the call must not run.
	CallFenced
	// CallForgotten means that the outcome is no longer known.
	CallForgotten
	// CallRefused means that the table is full; the call does not run.
	CallRefused
)

// Code returns the code with which a node answers a call frame or an outcome query in this state; zero if the state is
// CallNew, CallRunning or CallAnswered.
func (s CallStatus) Code() hornbeamcroft.Code {
	switch s {
	case CallFenced:
		return hornbeamcroft.CodeFencedAfterLinkLoss
	case CallForgotten:
		return hornbeamcroft.CodeOutcomeUnknown
	case CallRefused:
		return hornbeamcroft.CodeDuplicateTableFull
	}
	return 0
}

// Calls is the table of recently executed calls, by sender and call id. It answers outcome queries after a link was
// lost. The zero value is ready for use; it is not safe for concurrent use.
type Calls struct {
	// Incarnation is this node's.
	Incarnation uint64
	// MaxCalls bounds the entries; zero means 50,000.
	MaxCalls int
	// Keep is how long the outcome of a call is kept after its deadline; zero means 30 s.
	Keep time.Duration

	senders map[string]*sender
	entries int
	sweptAt time.Duration
	evicted bool
}

type sender struct {
	incarnation uint64
	calls       map[uint64]*call
	// floor is the highest id of a dropped entry. The outcome of an unknown id up to it is forgotten.
	floor  uint64
	usedAt time.Duration
}

type call struct {
	status CallStatus
	keep   time.Duration // when the entry may be dropped, unless it is running
	answer hornbeamcroft.Answer
}

// Begin records the arrival of a call frame. Only CallNew may run. Deadline is on the monotonic clock.
func (c *Calls) Begin(now time.Duration, id CallID, deadline time.Duration) (CallStatus, hornbeamcroft.Answer) {
	s, ok := c.sender(now, id, max(id.ID, 1)-1)
	if !ok {
		return CallForgotten, hornbeamcroft.Answer{}
	}
	if e := s.calls[id.ID]; e != nil {
		return e.status, e.answer
	}
	if id.ID <= s.floor {
		return CallForgotten, hornbeamcroft.Answer{}
	}
	if !c.room() {
		return CallRefused, hornbeamcroft.Answer{}
	}
	c.entries++
	s.calls[id.ID] = &call{status: CallRunning, keep: max(now, deadline) + c.keepTime()}
	return CallNew, hornbeamcroft.Answer{}
}

// Finish records the outcome of a call that Begin reported as new.
func (c *Calls) Finish(now time.Duration, id CallID, a hornbeamcroft.Answer) {
	s := c.senders[id.Sender]
	if s == nil || s.incarnation != id.Incarnation {
		return // the sender was restarted and will not ask
	}
	if e := s.calls[id.ID]; e != nil && e.status == CallRunning {
		e.status, e.answer, e.keep = CallAnswered, a, max(e.keep, now+c.keepTime())
	}
}

// Query answers an outcome query. Incarnation is the one of this node to which the call was sent. CallFenced confirms
// that the call did not run and will not; it is returned only if the id was unknown and is fenced now, or was before.
func (c *Calls) Query(now time.Duration, id CallID, incarnation uint64) (CallStatus, hornbeamcroft.Answer) {
	if incarnation != c.Incarnation {
		return CallForgotten, hornbeamcroft.Answer{}
	}
	s, ok := c.sender(now, id, id.ID)
	if !ok {
		return CallForgotten, hornbeamcroft.Answer{}
	}
	if e := s.calls[id.ID]; e != nil {
		return e.status, e.answer
	}
	if id.ID <= s.floor || !c.room() {
		return CallForgotten, hornbeamcroft.Answer{}
	}
	c.entries++
	s.calls[id.ID] = &call{status: CallFenced, keep: now + senderIdle}
	return CallFenced, hornbeamcroft.Answer{}
}

// sender returns the entry of the sender's incarnation; false for an incarnation older than the newest seen, whose
// calls are forgotten. A new entry may stand for a sender that was dropped, with calls up to floor that ran.
func (c *Calls) sender(now time.Duration, id CallID, floor uint64) (*sender, bool) {
	if c.senders == nil {
		c.senders = map[string]*sender{}
	}
	s := c.senders[id.Sender]
	if s != nil && s.incarnation > id.Incarnation {
		return nil, false
	}
	if s == nil || s.incarnation < id.Incarnation {
		if s != nil {
			c.entries -= len(s.calls)
		}
		s = &sender{incarnation: id.Incarnation, calls: map[uint64]*call{}}
		if c.evicted {
			s.floor = floor
		}
		c.senders[id.Sender] = s
	}
	s.usedAt = now
	return s, true
}

func (c *Calls) keepTime() time.Duration {
	if c.Keep > 0 {
		return c.Keep
	}
	return defaultKeepCall
}

func (c *Calls) room() bool {
	limit := c.MaxCalls
	if limit == 0 {
		limit = defaultMaxCalls
	}
	return c.entries < limit
}

// Len returns the number of entries.
func (c *Calls) Len() int { return c.entries }

// Tick drops entries whose time is over.
func (c *Calls) Tick(now time.Duration) {
	if now-c.sweptAt < sweepInterval {
		return
	}
	c.sweptAt = now
	for name, s := range c.senders {
		for id, e := range s.calls {
			if e.status != CallRunning && now > e.keep {
				delete(s.calls, id)
				c.entries--
				s.floor = max(s.floor, id)
			}
		}
		if len(s.calls) == 0 && now-s.usedAt > senderIdle {
			delete(c.senders, name)
			c.evicted = true
		}
	}
}
