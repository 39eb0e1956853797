// Package sender sends calls to other nodes over links. When a link is lost, it settles with the node at the other end
// what became of the call.
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

// outcomePause is the wait between attempts to reach a node whose link was lost.
const outcomePause = 50 * time.Millisecond

// Sender sends calls. Set the exported fields before the first Send. It is safe for concurrent use.
type Sender struct {
	// Name and Incarnation are those of this node.
	Name        string
	Incarnation uint64
	Links       *connector.Connector
}

// Send sends the call to the member's node and returns its answer, or a code that says what is known.
func (s *Sender) Send(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call) hornbeamcroft.Answer {
	l := s.Links.Peer(m.Name)
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
		return s.settle(ctx, m, call, l.Peer.Incarnation)
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
}

// settle finds out what became of a call whose link ended. An idempotent one may be sent elsewhere at once; for another
// the node at the other end is asked, until the deadline. A node that was started anew does not know.
func (s *Sender) settle(ctx context.Context, m hornbeamcroft.Member, call hornbeamcroft.Call, incarnation uint64,
) hornbeamcroft.Answer {
	unknown := hornbeamcroft.Answer{Code: hornbeamcroft.CodeOutcomeUnknown}
	if call.Idempotent {
		return unknown
	}
	for sleeper.Sleep(ctx, outcomePause) {
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
		})
		if err == nil {
			return a
		}
	}
	return hornbeamcroft.Answer{Code: hornbeamcroft.EndedCode(ctx)}
}
