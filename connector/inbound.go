package connector

import (
	"context"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/flowcontroller"
	"hornbeamcroft/framer"
)

// errStreamBroken is the error of a stream that its sender could not complete.
var errStreamBroken = errors.New("body broken off by the peer")

// inboundStream is a body that is being streamed from the peer. It implements io.ReadCloser.
type inboundStream struct {
	link *Link
	id   uint64
	// length is the declared length of the body, or hornbeamcroft.UnknownLength.
	length int64
	// memory is the account in which the buffer is reserved; nil if it is not accounted for.
	memory hornbeamcroft.Memory
	// taken belongs to Link.mu. It is set when the answer was passed to its call.
	taken bool
	// unwatch ends the watch over the context of the call.
	unwatch func() bool

	mu sync.Mutex
	// changed is signaled when bytes or the end have arrived.
	changed sync.Cond
	flow    flowcontroller.FlowController
	// buffer is a ring of streamWindow bytes; start is the position of the first of its buffered bytes.
	buffer          []byte
	start, buffered int
	// received is the number of bytes that have arrived, lastRead the number that the last Read returned.
	received, lastRead int
	// complete is true once the last byte has arrived; err is the reason why it will not.
	complete bool
	err      error
}

// handleStream starts to receive the body of an answer and passes the answer to its call.
func (l *Link) handleStream(a hornbeamcroft.Answer) {
	s := &inboundStream{link: l, id: a.ID, length: a.StreamLength, flow: flowcontroller.FlowController{Window: streamWindow}}
	s.changed.L = &s.mu
	l.mu.Lock()
	pending, ok := l.pendingAnswers[a.ID]
	reserved := ok && !l.Ended() && (pending.memory == nil || pending.memory.Reserve(streamWindow))
	if reserved {
		s.memory, s.buffer = pending.memory, make([]byte, streamWindow)
		if l.inbound == nil {
			l.inbound = make(map[uint64]*inboundStream)
		}
		l.inbound[a.ID] = s
	}
	l.mu.Unlock()
	if !reserved {
		go l.cancelSent(a.ID, nil)
		a = hornbeamcroft.Answer{ID: a.ID, Code: hornbeamcroft.CodeOutcomeUnknown}
	} else {
		a.Stream = s
	}
	l.deliverAnswer(a)
}

// takeStream binds the stream of an answer, if there is one, to the context of its call.
func (l *Link) takeStream(ctx context.Context, a hornbeamcroft.Answer) hornbeamcroft.Answer {
	s, ok := a.Stream.(*inboundStream)
	if !ok {
		return a
	}
	l.mu.Lock()
	s.taken = true
	l.mu.Unlock()
	s.unwatch = context.AfterFunc(ctx, func() {
		if s.fail(ctx.Err()) {
			l.cancelSent(s.id, nil) // at once, although the receiver may not read at this time
		}
	})
	return a
}

// receive adds a chunk. An error means that the peer does not keep to the protocol.
func (s *inboundStream) receive(b framer.Body) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.complete || s.err != nil:
		return nil
	case b.Broken:
		s.err = errStreamBroken
		s.changed.Signal()
		return nil
	case b.Offset != s.received || s.length > 0 && int64(s.received+len(b.Data)) > s.length:
		return errors.Errorf("chunk of a stream has offset %d and %d bytes after %d of %d", b.Offset, len(b.Data), s.received, s.length)
	}
	if err := s.flow.Add(len(b.Data)); err != nil {
		return err
	}
	s.received += len(b.Data)
	s.store(b.Data)
	if b.Last {
		if s.length > 0 && int64(s.received) != s.length {
			return errors.Errorf("stream ended after %d of %d bytes", s.received, s.length)
		}
		s.complete = true
	}
	s.changed.Signal()
	return nil
}

// store copies bytes, for which flow has room, to the end of the ring. The caller must hold s.mu.
func (s *inboundStream) store(data []byte) {
	end := (s.start + s.buffered) % len(s.buffer)
	n := copy(s.buffer[end:], data)
	copy(s.buffer, data[n:])
	s.buffered += len(data)
}

// Read implements io.Reader. What the Read before returned counts as passed on.
func (s *inboundStream) Read(p []byte) (int, error) {
	s.mu.Lock()
	credit := s.flow.PassOn(s.lastRead)
	s.lastRead = 0
	wanted := credit > 0 && !s.complete && s.err == nil
	s.mu.Unlock()
	if wanted {
		// A failed write ends the link and thereby the stream.
		_ = s.link.Send(framer.TypeBodyCredit, framer.BodyCredit{ID: s.id, Bytes: credit})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.buffered == 0 && !s.complete && s.err == nil && len(p) > 0 {
		s.changed.Wait()
	}
	if s.err != nil {
		return 0, s.err
	}
	n := copy(p, s.buffer[s.start:min(s.start+s.buffered, len(s.buffer))])
	s.start, s.buffered, s.lastRead = (s.start+n)%len(s.buffer), s.buffered-n, n
	if s.buffered == 0 && s.complete {
		return n, io.EOF
	}
	return n, nil
}

// fail ends the stream with the reason, unless its last byte has arrived or it has ended, and reports whether it does.
func (s *inboundStream) fail(reason error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete || s.err != nil {
		return false
	}
	s.err = reason
	s.changed.Signal()
	return true
}

// Close implements io.Closer. It cancels the call unless the whole body has arrived, and releases the buffer. It always returns nil.
func (s *inboundStream) Close() error {
	l := s.link
	l.mu.Lock()
	known := l.inbound[s.id] == s
	delete(l.inbound, s.id)
	l.mu.Unlock()
	if !known {
		return nil
	}
	s.unwatch()
	s.mu.Lock()
	unfinished := !s.complete && s.err == nil
	s.complete, s.err, s.buffer, s.buffered = true, io.ErrClosedPipe, nil, 0
	s.mu.Unlock()
	s.releaseMemory()
	if unfinished && !l.Ended() {
		go l.cancelSent(s.id, nil)
	}
	return nil
}

// releaseMemory releases the reservation of the buffer. It is called once, by whoever removes the stream from Link.inbound.
func (s *inboundStream) releaseMemory() {
	if s.memory != nil {
		s.memory.Release(streamWindow)
	}
}
