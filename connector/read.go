package connector

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/framer"
)

// readLoop reads and handles frames until reading or handling one fails, then closes the link.
func (l *Link) readLoop() {
	for {
		_, frame, err := l.conn.ReadMessage()
		if err != nil {
			l.Close(errors.Wrap(err, "read"))
			return
		}
		l.lastRead.Store(int64(time.Since(l.openedAt)))
		l.connector.BytesIn.Add(int64(len(frame)))
		if err := l.handleFrame(frame); err != nil {
			l.connector.Log.Warn().Str("peer", l.Peer.Name).Err(err).Msg("connector: frame not handled, link closed")
			l.Close(err)
			return
		}
	}
}

func (l *Link) handleFrame(frame []byte) error {
	t, payload, err := framer.Split(frame)
	if err != nil {
		return err
	}
	if t > framer.TypeAnswer {
		l.connector.ControlIn.Add(int64(len(frame)))
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
		l.cancelCall(f.ID)
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
		return l.handleOutcomeQuery(payload)
	case framer.TypeNonce, framer.TypeHello:
		return errors.Errorf("received handshake frame of type %d after the handshake", t)
	}
	return l.connector.OnMessage(l, t, payload)
}

func (l *Link) handleCall(payload []byte) error {
	var call hornbeamcroft.Call
	if err := framer.Decode(payload, &call); err != nil {
		return err
	}
	if call.BodyLength > l.connector.MaxBody() {
		go l.sendAnswer(hornbeamcroft.Answer{ID: call.ID, Code: hornbeamcroft.CodeBodyTooLarge, UnspentRetries: call.RetryBudget})
		return nil
	}
	if call.BodyLength == len(call.Body) {
		l.runCall(call)
		return nil
	}
	return l.addPartialBody(partialBodyKey{call.ID, false}, &partialBody{call: call, length: call.BodyLength})
}

// maxPartialBodies is the maximum number of bodies that are being received on one link at a time.
const maxPartialBodies = 256

func (l *Link) addPartialBody(key partialBodyKey, p *partialBody) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.partialBodies) >= maxPartialBodies {
		return errors.Errorf("peer sends more than %d bodies at the same time", maxPartialBodies)
	}
	l.partialBodies[key] = p
	return nil
}

func (l *Link) handleAnswer(payload []byte) error {
	var a hornbeamcroft.Answer
	if err := framer.Decode(payload, &a); err != nil {
		return err
	}
	if a.BodyLength > l.connector.MaxBody() {
		return errors.Errorf("answer body has %d bytes: must be at most %d", a.BodyLength, l.connector.MaxBody())
	}
	if a.BodyLength == len(a.Body) {
		l.deliverAnswer(a)
		return nil
	}
	return l.addPartialBody(partialBodyKey{a.ID, true}, &partialBody{answer: a, length: a.BodyLength})
}

// handleBody appends a chunk to its body and handles the call or answer when the body is complete. A chunk with an
// unknown id belongs to a call that was given up and is dropped.
func (l *Link) handleBody(payload []byte) error {
	var b framer.Body
	if err := framer.Decode(payload, &b); err != nil {
		return err
	}
	key := partialBodyKey{b.ID, b.Answer}
	l.mu.Lock()
	p := l.partialBodies[key]
	if p == nil {
		l.mu.Unlock()
		return nil
	}
	if b.Offset != len(p.body) || len(p.body)+len(b.Data) > p.length {
		l.mu.Unlock()
		return errors.Errorf("body chunk has offset %d after %d of %d bytes", b.Offset, len(p.body), p.length)
	}
	p.body = append(p.body, b.Data...)
	if b.Last {
		delete(l.partialBodies, key)
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
		l.deliverAnswer(p.answer)
		return nil
	}
	p.call.Body = p.body
	l.runCall(p.call)
	return nil
}

// deliverAnswer passes an answer to the call or outcome query with the same id. If that was given up, the answer is
// counted as late and dropped.
func (l *Link) deliverAnswer(a hornbeamcroft.Answer) {
	l.mu.Lock()
	ch := l.pendingAnswers[a.ID]
	delete(l.pendingAnswers, a.ID)
	l.mu.Unlock()
	if ch == nil {
		l.connector.LateAnswers.Add(1)
		return
	}
	ch <- a
}

// runCall runs a call of the peer in its own goroutine and sends the answer.
func (l *Link) runCall(call hornbeamcroft.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Remaining)
	l.mu.Lock()
	l.runningCalls[call.ID] = runningCall{cancel: cancel, idempotent: call.Idempotent}
	l.mu.Unlock()
	if call.Idempotent && l.Ended() {
		cancel()
	}
	go func() {
		defer func() {
			l.mu.Lock()
			delete(l.runningCalls, call.ID)
			l.mu.Unlock()
			cancel()
		}()
		a := l.connector.OnCall(ctx, l.Peer, call)
		a.ID = call.ID
		l.sendAnswer(a)
	}()
}

// cancelCall cancels the running call of the peer with the id, if there is one.
func (l *Link) cancelCall(id uint64) {
	l.mu.Lock()
	s, ok := l.runningCalls[id]
	l.mu.Unlock()
	if ok {
		s.cancel()
	}
}

func (l *Link) handleOutcomeQuery(payload []byte) error {
	var q framer.OutcomeQuery
	if err := framer.Decode(payload, &q); err != nil {
		return err
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), max(q.Remaining, time.Second))
		defer cancel()
		a := l.connector.OnOutcome(ctx, q)
		a.ID = q.ID
		l.sendAnswer(a)
	}()
	return nil
}
