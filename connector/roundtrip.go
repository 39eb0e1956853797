package connector

import (
	"context"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/framer"
)

// roundTrip takes one unit of the peer's credit, sends a call or an outcome query and waits for the answer with the id. It sets
// pending.answer.
func (l *Link) roundTrip(ctx context.Context, id uint64, pending pendingAnswer, send func() error,
) (hornbeamcroft.Answer, error) {
	var none hornbeamcroft.Answer
	select {
	case l.usedCredit <- struct{}{}:
	case <-ctx.Done():
		return none, errors.Wrap(ErrNotSent, "no credit left on the link")
	case <-l.done:
		return none, ErrNotSent
	}
	defer func() { <-l.usedCredit }()
	ch := make(chan hornbeamcroft.Answer, 1)
	l.mu.Lock()
	pending.answer = ch
	l.pendingAnswers[id] = pending
	l.mu.Unlock()
	defer l.removePending(id)
	if l.Ended() {
		return none, ErrNotSent
	}
	sent := make(chan error, 1)
	go func() { sent <- send() }()
	a, err := l.awaitAnswer(ctx, id, ch, sent)
	return l.takeStream(ctx, a), err
}

// awaitAnswer waits for the answer to a call or an outcome query; sent receives the result of sending it. A write may wait for other
// writes, up to writeTimeout each, so the context also ends the wait for it.
func (l *Link) awaitAnswer(ctx context.Context, id uint64, answer <-chan hornbeamcroft.Answer, sent <-chan error,
) (hornbeamcroft.Answer, error) {
	var none hornbeamcroft.Answer
	for {
		select {
		case a := <-answer:
			return a, nil
		case err := <-sent:
			if errors.Is(err, framer.ErrTooLarge) {
				return none, err
			}
			if err != nil {
				return none, ErrLinkLost
			}
			sent = nil
		case <-ctx.Done():
			go l.cancelSent(id, sent)
			return none, ctx.Err()
		case <-l.done:
			select {
			case a := <-answer:
				return a, nil
			default:
				return none, ErrLinkLost
			}
		}
	}
}

// cancelSent cancels a call at the peer, once it has been sent if sent is not nil.
func (l *Link) cancelSent(id uint64, sent <-chan error) {
	if sent != nil && <-sent != nil {
		return
	}
	_ = l.Send(framer.TypeCancel, framer.Cancel{ID: id})
}

// removePending stops waiting for the answer with the id. An answer that arrives later is dropped, as is a stream that was not taken.
func (l *Link) removePending(id uint64) {
	l.mu.Lock()
	delete(l.pendingAnswers, id)
	delete(l.partialBodies, partialBodyKey{id, true})
	if s := l.inbound[id]; s != nil && !s.taken {
		delete(l.inbound, id)
		s.releaseMemory()
	}
	l.mu.Unlock()
}
