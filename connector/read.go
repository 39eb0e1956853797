package connector

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/framer"
	"hornbeamcroft/reserver"
)

// readLoop reads and handles frames until reading or handling one fails, then closes the link.
func (l *Link) readLoop() {
	for {
		_, r, err := l.conn.NextReader()
		if err != nil {
			l.Close(errors.Wrap(err, "read"))
			return
		}
		if !l.readFrame(r) {
			return
		}
	}
}

// readFrame reads and handles one frame. If that fails, it closes the link and returns false.
func (l *Link) readFrame(r io.Reader) bool {
	buf := takeFrameBuffer()
	defer returnFrameBuffer(buf)
	if _, err := buf.ReadFrom(r); err != nil {
		l.Close(errors.Wrap(err, "read"))
		return false
	}
	l.lastRead.Store(int64(time.Since(l.openedAt)))
	l.connector.BytesIn.Add(int64(buf.Len()))
	if err := l.handleFrame(buf.Bytes()); err != nil {
		l.connector.Log.Warn().Str("peer", l.Peer.Name).Err(err).Msg("connector: frame not handled, link closed")
		l.Close(err)
		return false
	}
	return true
}

func (l *Link) handleFrame(frame []byte) error {
	t, payload, err := framer.Split(frame)
	if t > framer.TypeAnswer {
		l.connector.ControlIn.Add(int64(len(frame)))
	}
	switch {
	case t == framer.TypeCall || t == framer.TypeAnswer:
		return l.handleMessage(t, payload, err)
	case err != nil:
		return err
	}
	switch t {
	case framer.TypeBody:
		return l.handleBody(payload)
	case framer.TypeCancel:
		var f framer.Cancel
		if err := framer.Decode(payload, &f); err != nil {
			return err
		}
		l.cancelCall(f.ID)
		return nil
	case framer.TypeRetryGranted:
		var f framer.RetryGranted
		if err := framer.Decode(payload, &f); err != nil {
			return err
		}
		l.handleRetryGranted(f.ID)
		return nil
	case framer.TypeBodyCredit:
		return l.handleCredit(payload)
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

// handleMessage handles a call or an answer; err is that of its frame. One that cannot be read ends its own call only, with an unknown
// outcome: an error would end all calls on the link, and the peer might send the same frame over the next one.
func (l *Link) handleMessage(t framer.Type, payload []byte, err error) error {
	var call hornbeamcroft.Call
	var a hornbeamcroft.Answer
	switch {
	case err != nil:
	case t == framer.TypeCall:
		err = framer.DecodeRaw(payload, &call)
	default:
		err = framer.DecodeRaw(payload, &a)
	}
	if err != nil {
		return l.endUnreadable(t, payload, err)
	}
	if t == framer.TypeCall {
		l.handleCall(call)
	} else {
		l.handleAnswer(a)
	}
	return nil
}

// endUnreadable ends the call to which an unreadable call or answer belongs. If its id cannot be read either, it returns the reason.
func (l *Link) endUnreadable(t framer.Type, payload []byte, reason error) error {
	id, err := framer.DecodeID(payload)
	if err != nil {
		return reason
	}
	l.connector.Log.Warn().Str("peer", l.Peer.Name).Uint64("id", id).Err(reason).Msg("connector: call or answer not readable")
	unknown := hornbeamcroft.Answer{ID: id, Code: hornbeamcroft.CodeOutcomeUnknown}
	if t == framer.TypeCall {
		go l.sendAnswer(unknown)
	} else {
		l.deliverAnswer(unknown)
	}
	return nil
}

func (l *Link) handleCall(call hornbeamcroft.Call) {
	if call.BodyLength > l.connector.MaxBody() {
		go l.sendAnswer(hornbeamcroft.Answer{ID: call.ID, Code: hornbeamcroft.CodeBodyTooLarge, UnspentRetries: call.RetryBudget})
		return
	}
	account := l.openAccount()
	if account != nil {
		call.Memory = account
	}
	if call.BodyLength != len(call.Body) {
		p := &partialBody{call: call, account: account, memory: call.Memory, length: call.BodyLength}
		l.mu.Lock()
		accepted := l.addPartialBody(partialBodyKey{call.ID, false}, p)
		l.mu.Unlock()
		if !accepted {
			l.giveUpBody(false, p)
		}
		return
	}
	if account != nil && !account.Reserve(len(call.Body)) {
		go l.refuseCall(call, account)
		return
	}
	l.runCall(call, account)
}

func (l *Link) handleAnswer(a hornbeamcroft.Answer) {
	if a.StreamLength != 0 {
		l.handleStream(a)
		return
	}
	if a.BodyLength > l.connector.MaxBody() {
		l.connector.Log.Warn().Str("peer", l.Peer.Name).Int("bytes", a.BodyLength).Msg("connector: body of an answer is too large")
		l.deliverAnswer(hornbeamcroft.Answer{ID: a.ID, Code: hornbeamcroft.CodeOutcomeUnknown})
		return
	}
	if a.BodyLength == len(a.Body) {
		l.deliverAnswer(a)
		return
	}
	l.mu.Lock()
	pending, ok := l.pendingAnswers[a.ID]
	p := &partialBody{answer: a, memory: pending.memory, length: a.BodyLength}
	accepted := ok && l.addPartialBody(partialBodyKey{a.ID, true}, p)
	l.mu.Unlock()
	switch {
	case !ok:
		// The account of a call that was given up is closed, so that the body has no place.
		l.connector.LateAnswers.Add(1)
	case !accepted:
		l.giveUpBody(true, p)
	}
}

// deliverAnswer passes an answer to the call or outcome query with the same id. If that was given up, the answer is
// counted as late and dropped.
func (l *Link) deliverAnswer(a hornbeamcroft.Answer) {
	l.mu.Lock()
	p, ok := l.pendingAnswers[a.ID]
	delete(l.pendingAnswers, a.ID)
	l.mu.Unlock()
	if !ok {
		l.connector.LateAnswers.Add(1)
		return
	}
	p.answer <- a
}

// runCall runs a call of the peer in its own goroutine, sends the answer and closes the account; the account may be nil.
func (l *Link) runCall(call hornbeamcroft.Call, account *reserver.Account) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Remaining)
	l.mu.Lock()
	l.runningCalls[call.ID] = runningCall{cancel: cancel, idempotent: call.Idempotent}
	l.mu.Unlock()
	if call.Idempotent && l.Ended() {
		cancel()
	}
	if call.Idempotent && l.Peer.Knows(framer.TypeRetryGranted) {
		call.OnRetryGranted = func() { _ = l.Send(framer.TypeRetryGranted, framer.RetryGranted{ID: call.ID}) }
	}
	call.Streams = call.Idempotent && l.Peer.Knows(framer.TypeBodyCredit)
	go func() {
		defer func() {
			l.mu.Lock()
			delete(l.runningCalls, call.ID)
			l.mu.Unlock()
			cancel()
			closeAccount(account)
		}()
		a := l.connector.OnCall(ctx, l.Peer, call)
		a.ID = call.ID
		if a.Stream != nil {
			l.sendStream(ctx, a, call.Memory)
			return
		}
		l.sendAnswer(a)
	}()
}

// handleRetryGranted passes a grant on to the call with the id, if it still waits for its answer.
func (l *Link) handleRetryGranted(id uint64) {
	l.mu.Lock()
	p := l.pendingAnswers[id]
	l.mu.Unlock()
	if p.onRetryGranted != nil {
		p.onRetryGranted()
	}
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
		if account := l.openAccount(); account != nil {
			defer account.Close()
			a = a.ReservedIn(account)
		}
		a.ID = q.ID
		l.sendAnswer(a)
	}()
	return nil
}
