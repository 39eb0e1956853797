package borrower

import (
	"slices"
	"time"

	"hornbeamcroft"
)

const (
	// resendTime is how long an answer is awaited before the home is asked again.
	resendTime = 30 * time.Millisecond
	// silentResendTime applies to a home that has not answered several requests.
	silentResendTime = 100 * time.Millisecond
	// silentRequests is the number of unanswered requests after which a home counts as silent.
	silentRequests = 4
	// joinTime is the time since the last request of a tenant after which its renewal joins a message that is sent anyway.
	joinTime = 600 * time.Millisecond
)

// home is a node to which requests are sent. One request at a time is in flight.
type home struct {
	asked      time.Duration
	inFlight   bool
	unanswered int
}

// free reports whether a request may be sent.
func (h *home) free(now time.Duration) bool {
	if !h.inFlight {
		return true
	}
	if h.unanswered >= silentRequests {
		return now-h.asked >= silentResendTime
	}
	return now-h.asked >= resendTime
}

// Due returns the requests to send now, at most one for each home. A request that is due carries the other tenants of the home whose
// renewal is near.
func (b *Borrower) Due(now time.Duration) []Message {
	var homes []string
	due := make(map[string][]*account)
	for _, a := range b.ordered {
		if a.home != "" && a.isDue(now) && b.home(a.home).free(now) {
			if due[a.home] == nil {
				homes = append(homes, a.home)
			}
			due[a.home] = append(due[a.home], a)
		}
	}
	messages := make([]Message, 0, len(homes))
	for _, name := range homes {
		messages = append(messages, b.ask(now, name, due[name]))
	}
	return messages
}

func (b *Borrower) home(name string) *home {
	h := b.homes[name]
	if h == nil {
		h = &home{}
		b.homes[name] = h
	}
	return h
}

// SetLinked records that a link to a home was opened. Requests sent to it before are lost.
func (b *Borrower) SetLinked(name string) {
	delete(b.unlinkedSince, name)
	if h := b.homes[name]; h != nil {
		h.inFlight = false
	}
}

// lapseTime after the last link to a lost home has ended, a list no longer shows its record.
const lapseTime = hornbeamcroft.RecordLease + hornbeamcroft.MaxListStaleness

// SetUnlinked records that the last link to a node has ended, if the node is home of a tenant.
func (b *Borrower) SetUnlinked(now time.Duration, name string) {
	if !slices.ContainsFunc(b.ordered, func(a *account) bool { return a.home == name }) {
		return
	}
	if b.unlinkedSince == nil {
		b.unlinkedSince = make(map[string]time.Duration)
	}
	b.unlinkedSince[name] = now
}

// TakeDueList reports, once for each home without a link, that a list of members would show by now whether its record has lapsed. Without
// it, the next home would be known up to 4 s later, when the next list is due.
func (b *Borrower) TakeDueList(now time.Duration) bool {
	needed := false
	for name, at := range b.unlinkedSince {
		if now-at >= lapseTime {
			delete(b.unlinkedSince, name)
			needed = true
		}
	}
	return needed
}

// ask returns the request for the accounts of one home.
func (b *Borrower) ask(now time.Duration, name string, accounts []*account) Message {
	b.lastAsked = max(now, b.lastAsked+1)
	r := hornbeamcroft.PermitRequest{Asked: b.lastAsked}
	add := func(a *account) {
		if len(r.Demands) < hornbeamcroft.MaxPermitItems {
			r.Demands = append(r.Demands, a.demand(b.lastAsked))
		}
	}
	for _, a := range accounts {
		add(a)
	}
	for _, a := range b.ordered {
		if a.home == name && a.limit > a.used && b.lastAsked-a.askedAt >= joinTime && now >= a.silentUntil {
			add(a)
		}
	}
	h := b.home(name)
	b.counts.Messages++
	if h.inFlight {
		h.unanswered++
		b.counts.Resent++
	} else {
		h.unanswered = 0
	}
	h.asked, h.inFlight = b.lastAsked, true
	return Message{Home: name, Request: r}
}
