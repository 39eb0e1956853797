// Package sender sends calls to other nodes over links. When a link is lost during a call, it queries the node at the other
// end for the outcome of the call.
package sender

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/connector"
	"hornbeamcroft/framer"
	"hornbeamcroft/sleeper"
)

// outcomeQueryInterval is the interval between attempts to open a new link to a node whose link was lost and to query the
// outcome.
const outcomeQueryInterval = 50 * time.Millisecond

// Sender sends calls to other nodes. Set the exported fields before the first Send. It is safe for concurrent use.
type Sender struct {
	// Name and Incarnation identify this node in outcome queries.
	Name        string
	Incarnation uint64
	Links       *connector.Connector
}

// Send sends the call to the member's node and returns its answer. If no answer arrives, it returns the code that states
// what is known about the execution of the call.
func (s *Sender) Send(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
	l := s.Links.LinkTo(m.Name)
	if l == nil {
		var err error
		if l, err = s.Links.Link(ctx, m.Address); err != nil {
			return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable}
		}
	}
	a, err := l.Call(ctx, call)
	switch {
	case err == nil:
		return a
	case errors.Is(err, connector.ErrNotSent):
		return hornbeamcroft.Answer{Code: hornbeamcroft.CodeUpstreamUnreachable}
	case errors.Is(err, connector.ErrLinkLost):
		return s.queryOutcome(ctx, m, call, l.Peer.Incarnation)
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
}

// queryOutcome returns the outcome of a call whose link was lost. The outcome of an idempotent call stays unknown,
// because the call may be sent to another node at once. For a non-idempotent call, the node at the other end is queried
// until it answers or the deadline passes. A node that has restarted since, and so has another incarnation, does not know
// the outcome.
func (s *Sender) queryOutcome(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call, incarnation uint64,
) hornbeamcroft.Answer {
	unknown := hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	if call.Idempotent {
		return unknown
	}
	for sleeper.Sleep(ctx, outcomeQueryInterval) {
		l, err := s.Links.Link(ctx, m.Address)
		if err != nil {
			continue
		}
		if l.Peer.Name != m.Name || l.Peer.Incarnation != incarnation {
			return unknown
		}
		deadline, _ := ctx.Deadline()
		a, err := l.Outcome(ctx, framer.OutcomeQuery{
			Sender: s.Name, Incarnation: s.Incarnation, ID: call.ID, Remaining: time.Until(deadline),
		}, call.Memory)
		if err == nil {
			return a
		}
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
}
