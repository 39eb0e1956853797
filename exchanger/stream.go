package exchanger

import (
	"io"

	"github.com/go-faster/errors"

	"hornbeamcroft"
)

// streamBytes is the size up to which the body of an answer is read whole. Answers up to it, which are nearly all, can still be asked for
// again when they break off.
const streamBytes = 256 << 10

// ErrStreamClosed is the error of a stream that was closed before its end.
var ErrStreamClosed = errors.New("stream of the answer is closed")

// stream is the body of an answer whose beginning was accepted by checkOwn. It keeps the connection until the body ends.
type stream struct {
	exchanger *Exchanger
	conn      *conn
	answer    answer
	attempt   string
	// prefix is what was read of the body before the answer was accepted and is not passed on; memory is the account in which the whole
	// beginning is reserved until its last byte is passed on.
	prefix []byte
	memory hornbeamcroft.Memory
	// written receives the result of writing the body of the request.
	written <-chan error
	// stop ends the watch over the context and returns false if the context has ended.
	stop func() bool
	// err is what Read returns from now on; nil before the end.
	err error
}

// Read implements io.Reader. It returns io.EOF only if the body is complete.
func (s *stream) Read(p []byte) (int, error) {
	switch {
	case s.err != nil:
		return 0, s.err
	case len(s.prefix) > 0:
		n := copy(p, s.prefix)
		if s.prefix = s.prefix[n:]; len(s.prefix) == 0 {
			s.releasePrefix()
		}
		return n, nil
	}
	s.conn.source.resume()
	n, err := s.answer.response.Body.Read(p)
	s.conn.source.pause()
	if err != nil {
		s.end(err)
	}
	return n, err
}

// releasePrefix drops the beginning of the body.
func (s *stream) releasePrefix() {
	size := cap(s.answer.body)
	s.prefix, s.answer.body = nil, nil
	if s.memory != nil {
		s.memory.Release(size)
	}
}

// Close implements io.Closer. It ends the exchange, unless the body was read to its end. It always returns nil.
func (s *stream) Close() error {
	if s.err == nil {
		s.end(ErrStreamClosed)
	}
	return nil
}

// end ends the exchange with the error of the body, and keeps the connection if the body is complete.
func (s *stream) end(err error) {
	s.err = err
	s.releasePrefix()
	c := s.conn
	c.reusable = s.stop() && err == io.EOF && s.answer.keepsConnection() && c.reader.Buffered() == 0
	c.setReusable(s.attempt, Result{Outcome: OutcomeAnswered, Status: s.answer.response.StatusCode}, s.written)
	s.exchanger.release(c)
}
