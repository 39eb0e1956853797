package connector

import (
	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/framer"
	"hornbeamcroft/reserver"
)

// maxPartialBodies is the maximum number of bodies that are being received on one link at a time.
const maxPartialBodies = 256

// partialBodyKey identifies a body that is being received: that of the call or of the answer with the id.
type partialBodyKey struct {
	id     uint64
	answer bool
}

// partialBody is a received call or answer whose body is still incomplete. Length is the announced length in bytes.
type partialBody struct {
	call   hornbeamcroft.Call
	answer hornbeamcroft.Answer
	body   []byte
	length int
	// memory is the account from which the body is reserved; nil if it is not accounted for.
	memory hornbeamcroft.Memory
	// account is the account of a call, which is closed when the call has ended; nil for an answer.
	account *reserver.Account
}

// add appends a chunk. It returns false if no memory is left for it. The buffer doubles up to the announced length, so that
// the announcement alone holds no memory.
func (p *partialBody) add(chunk []byte) bool {
	if need := len(p.body) + len(chunk); need > cap(p.body) {
		size := min(max(2*cap(p.body), need), p.length)
		if p.memory != nil && !p.memory.Reserve(size-cap(p.body)) {
			return false
		}
		p.body = append(make([]byte, 0, size), p.body...)
	}
	p.body = append(p.body, chunk...)
	return true
}

// openAccount opens an account for a call of the peer; nil without a limit of memory.
func (l *Link) openAccount() *reserver.Account {
	if l.connector.Memory == nil {
		return nil
	}
	return l.connector.Memory.Open()
}

// closeAccount closes an account unless it is nil.
func closeAccount(account *reserver.Account) {
	if account != nil {
		account.Close()
	}
}

// addPartialBody starts to receive a body and reports whether it may: a peer may send a limited number of bodies at the same time. The
// caller must hold l.mu.
func (l *Link) addPartialBody(key partialBodyKey, p *partialBody) bool {
	if len(l.partialBodies) >= maxPartialBodies {
		return false
	}
	l.partialBodies[key] = p
	return true
}

// dropPartialBody gives up a body. Its further chunks are dropped. The caller must hold l.mu.
func (l *Link) dropPartialBody(key partialBodyKey) {
	if p := l.partialBodies[key]; p != nil {
		closeAccount(p.account)
		delete(l.partialBodies, key)
	}
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
		s := l.inbound[b.ID]
		l.mu.Unlock()
		if s == nil || !b.Answer {
			return nil
		}
		return s.receive(b)
	}
	if b.Offset != len(p.body) || len(p.body)+len(b.Data) > p.length {
		l.mu.Unlock()
		return errors.Errorf("body chunk has offset %d after %d of %d bytes", b.Offset, len(p.body), p.length)
	}
	if !p.add(b.Data) {
		delete(l.partialBodies, key)
		l.mu.Unlock()
		l.giveUpBody(b.Answer, p)
		return nil
	}
	if b.Last {
		delete(l.partialBodies, key)
	}
	l.mu.Unlock()
	if !b.Last {
		return nil
	}
	if len(p.body) != p.length {
		closeAccount(p.account)
		return errors.Errorf("body ended after %d of %d bytes", len(p.body), p.length)
	}
	l.completeBody(b.Answer, p)
	return nil
}

// completeBody handles a call or answer whose body is complete.
func (l *Link) completeBody(isAnswer bool, p *partialBody) {
	if isAnswer {
		p.answer.Body = p.body
		l.deliverAnswer(p.answer)
		return
	}
	p.call.Body = p.body
	l.runCall(p.call, p.account)
}

// giveUpBody ends a call or answer whose body cannot be received: the call is refused, and the outcome of the call that was answered
// is unknown.
func (l *Link) giveUpBody(isAnswer bool, p *partialBody) {
	if isAnswer {
		l.deliverAnswer(hornbeamcroft.Answer{ID: p.answer.ID, Code: hornbeamcroft.CodeOutcomeUnknown})
		return
	}
	go l.refuseCall(p.call, p.account)
}

// refuseCall refuses a call as not run, because its body cannot be received, and closes its account, which may be nil.
func (l *Link) refuseCall(call hornbeamcroft.Call, account *reserver.Account) {
	closeAccount(account)
	l.sendAnswer(hornbeamcroft.Answer{ID: call.ID, Code: hornbeamcroft.CodeOverloaded, UnspentRetries: call.RetryBudget})
}
