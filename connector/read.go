package connector

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/framer"
)

// read handles frames until the link ends.
func (l *Link) read() {
	for {
		_, frame, err := l.conn.ReadMessage()
		if err != nil {
			l.Close(errors.Wrap(err, "read"))
			return
		}
		l.lastRead.Store(time.Now().UnixNano())
		l.c.BytesIn.Add(int64(len(frame)))
		if err := l.handle(frame); err != nil {
			l.c.Log.Warn().Str("peer", l.Peer.Name).Err(err).Msg("connector: malformed frame, link closed")
			l.Close(err)
			return
		}
	}
}

func (l *Link) handle(frame []byte) error {
	t, payload, err := framer.Split(frame)
	if err != nil {
		return err
	}
	if t > framer.TypeAnswer {
		l.c.ControlIn.Add(int64(len(frame)))
	}
	switch t {
	case framer.TypeCall:
		return l.handleCall(payload)
	case framer.TypeAnswer:
		return l.handleAnswer(payload)
	case framer.TypeBody:
		return l.handleBody(payload)
	case framer.TypeCancel:
		var f framer.Cancel
		if err := framer.Decode(payload, &f); err != nil {
			return err
		}
		l.cancel(f.ID)
		return nil
	case framer.TypePing:
		var f framer.Ping
		if err := framer.Decode(payload, &f); err != nil {
			return err
		}
		return l.Send(framer.TypePong, f)
	case framer.TypePong:
		return nil
	case framer.TypeOutcomeQuery:
		return l.handleOutcome(payload)
	case framer.TypeNonce, framer.TypeHello:
		return errors.Errorf("frame type %d after the handshake", t)
	}
	return l.c.OnMessage(l, t, payload)
}

func (l *Link) handleCall(payload []byte) error {
	var call hornbeamcroft.Call
	if err := framer.Decode(payload, &call); err != nil {
		return err
	}
	if call.BodyLength > l.c.MaxBody() {
		go l.sendAnswer(hornbeamcroft.Answer{ID: call.ID, Code: hornbeamcroft.CodeBodyTooLarge, Unspent: call.RetryBudget})
		return nil
	}
	if call.BodyLength == len(call.Body) {
		l.serve(call)
		return nil
	}
	return l.addPartial(partialKey{call.ID, false}, &partial{call: call, length: call.BodyLength})
}

// maxPartials bounds the bodies that are being received on one link.
const maxPartials = 256

func (l *Link) addPartial(key partialKey, p *partial) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.partials) >= maxPartials {
		return errors.Errorf("more than %d incomplete bodies", maxPartials)
	}
	l.partials[key] = p
	return nil
}

func (l *Link) handleAnswer(payload []byte) error {
	var a hornbeamcroft.Answer
	if err := framer.Decode(payload, &a); err != nil {
		return err
	}
	if a.BodyLength > l.c.MaxBody() {
		return errors.Errorf("answer body of %d bytes: allowed are %d", a.BodyLength, l.c.MaxBody())
	}
	if a.BodyLength == len(a.Body) {
		l.deliver(a)
		return nil
	}
	return l.addPartial(partialKey{a.ID, true}, &partial{answer: a, length: a.BodyLength})
}

// handleBody appends a chunk. A chunk of an unknown id belongs to a call that was given up, and is dropped.
func (l *Link) handleBody(payload []byte) error {
	var b framer.Body
	if err := framer.Decode(payload, &b); err != nil {
		return err
	}
	key := partialKey{b.ID, b.Answer}
	l.mu.Lock()
	p := l.partials[key]
	if p == nil {
		l.mu.Unlock()
		return nil
	}
	if b.Offset != len(p.body) || len(p.body)+len(b.Data) > p.length {
		l.mu.Unlock()
		return errors.Errorf("body chunk at %d after %d of %d bytes", b.Offset, len(p.body), p.length)
	}
	p.body = append(p.body, b.Data...)
	if b.Last {
		delete(l.partials, key)
	}
	l.mu.Unlock()
	if !b.Last {
		return nil
	}
	if len(p.body) != p.length {
		return errors.Errorf("body ended after %d of %d bytes", len(p.body), p.length)
	}
	if b.Answer {
		p.answer.Body = p.body
		l.deliver(p.answer)
		return nil
	}
	p.call.Body = p.body
	l.serve(p.call)
	return nil
}

// deliver hands an answer to its own call; an answer that nobody waits for is late and is dropped.
func (l *Link) deliver(a hornbeamcroft.Answer) {
	l.mu.Lock()
	ch := l.waiting[a.ID]
	delete(l.waiting, a.ID)
	l.mu.Unlock()
	if ch == nil {
		l.c.LateAnswers.Add(1)
		return
	}
	ch <- a
}

func (l *Link) serve(call hornbeamcroft.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Remaining)
	l.mu.Lock()
	l.cancels[call.ID] = served{cancel: cancel, idempotent: call.Idempotent}
	l.mu.Unlock()
	if call.Idempotent && l.Ended() {
		cancel()
	}
	go func() {
		defer func() {
			l.mu.Lock()
			delete(l.cancels, call.ID)
			l.mu.Unlock()
			cancel()
		}()
		a := l.c.OnCall(ctx, l.Peer, call)
		a.ID = call.ID
		l.sendAnswer(a)
	}()
}

func (l *Link) cancel(id uint64) {
	l.mu.Lock()
	s, ok := l.cancels[id]
	l.mu.Unlock()
	if ok {
		s.cancel()
	}
}

func (l *Link) handleOutcome(payload []byte) error {
	var q framer.OutcomeQuery
	if err := framer.Decode(payload, &q); err != nil {
		return err
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), max(q.Remaining, time.Second))
		defer cancel()
		a := l.c.OnOutcome(ctx, q)
		a.ID = q.ID
		l.sendAnswer(a)
	}()
	return nil
}
