package connector

import (
	"context"
	"io"

	"hornbeamcroft"
	"hornbeamcroft/flowcontroller"
	"hornbeamcroft/framer"
)

// streamWindow is the maximum number of bytes of a streamed body that its sender has sent and its receiver has not passed on. The receiver
// holds as many.
const streamWindow = 256 << 10

// outboundStream is a body that is being streamed to the peer. The flow belongs to Link.mu.
type outboundStream struct {
	flow flowcontroller.FlowController
	// credited receives an element when a credit has arrived that the sender may not have seen.
	credited chan struct{}
}

// sendStream sends an answer whose body is streamed, and closes its stream. It returns when the body has ended, or with ctx, which
// the peer or the end of the link cancels.
func (l *Link) sendStream(ctx context.Context, a hornbeamcroft.Answer, memory hornbeamcroft.Memory) {
	defer a.CloseStream()
	if memory != nil && !memory.Reserve(framer.ChunkSize) {
		l.sendAnswer(hornbeamcroft.Answer{ID: a.ID, Code: hornbeamcroft.CodeOutcomeUnknown}) // without a load: the sender may retry
		return
	}
	s := &outboundStream{flow: flowcontroller.FlowController{Window: streamWindow}, credited: make(chan struct{}, 1)}
	l.mu.Lock()
	if l.outbound == nil {
		l.outbound = make(map[uint64]*outboundStream)
	}
	l.outbound[a.ID] = s
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.outbound, a.ID)
		l.mu.Unlock()
	}()
	stream := a.Stream
	a.Body, a.BodyLength = nil, 0
	if err := l.Send(framer.TypeAnswer, a); err != nil {
		if !l.Ended() {
			l.sendTruncated(a, err)
		}
		return
	}
	if err := l.sendChunks(ctx, a.ID, s, stream); err != nil && !l.Ended() {
		_ = l.Send(framer.TypeBody, framer.Body{ID: a.ID, Answer: true, Broken: true})
	}
}

// sendChunks sends a body as far as the peer gives credit. It returns nil when the whole body is sent.
func (l *Link) sendChunks(ctx context.Context, id uint64, s *outboundStream, stream io.Reader) error {
	buf := make([]byte, framer.ChunkSize)
	for offset := 0; ; {
		free, err := l.awaitWindow(ctx, s)
		if err != nil {
			return err
		}
		n, err := stream.Read(buf[:min(len(buf), free)])
		if err != nil && err != io.EOF {
			return err
		}
		if n == 0 && err == nil {
			continue
		}
		l.mu.Lock()
		flowErr := s.flow.Add(n)
		l.mu.Unlock()
		if flowErr != nil {
			return flowErr
		}
		chunk := framer.Body{ID: id, Answer: true, Offset: offset, Data: buf[:n], Last: err == io.EOF}
		if err := l.sendChunk(chunk); err != nil || chunk.Last {
			return err
		}
		offset += n
	}
}

// sendChunk sends a chunk of a stream. Chunks of other streams wait meanwhile.
func (l *Link) sendChunk(b framer.Body) error {
	l.streamMu.Lock()
	defer l.streamMu.Unlock()
	return l.Send(framer.TypeBody, b)
}

// awaitWindow waits until bytes may be sent and returns their number. Credits are for many chunks, so that few chunks are small.
func (l *Link) awaitWindow(ctx context.Context, s *outboundStream) (int, error) {
	for {
		l.mu.Lock()
		free := s.flow.Free()
		l.mu.Unlock()
		if free > 0 {
			return free, nil
		}
		select {
		case <-s.credited:
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-l.done:
			return 0, ErrLinkLost
		}
	}
}

// handleCredit adds a credit of the peer to its stream. A credit for a stream that has ended is dropped.
func (l *Link) handleCredit(payload []byte) error {
	var c framer.BodyCredit
	if err := framer.Decode(payload, &c); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.outbound[c.ID]
	if s == nil {
		return nil
	}
	if err := s.flow.Credit(c.Bytes); err != nil {
		return err
	}
	select {
	case s.credited <- struct{}{}:
	default:
	}
	return nil
}
