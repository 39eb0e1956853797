package exchanger

import (
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/headchecker"
)

const (
	// maxHeadBytes bounds the heads of all answers of one exchange together: status lines, header fields and interim
	// answers.
	maxHeadBytes = 128 << 10
	// freeHeadBytes is the part of a head's cost that is not reserved: the number of connections bounds it, and most heads take less.
	freeHeadBytes = 4 << 10
	// maxHeadTime bounds the time from the first byte of a head to its end.
	maxHeadTime = 2 * time.Second
	// A body must grow by minBodyProgress bytes in each progressTime or be complete.
	minBodyProgress = 1 << 10
	progressTime    = 2 * time.Second
)

// Reasons why an answer is not read to its end although the upstream goes on sending.
var (
	errHeadTooLarge = errors.Errorf("heads of the answer exceed %d bytes", maxHeadBytes)
	errHeadTooSlow  = errors.Errorf("head of the answer takes more than %s", maxHeadTime)
	errNoHeadMemory = errors.New("no memory left for the head of the answer")
	errBodyTooSlow  = errors.Errorf("body of the answer grows by less than %d bytes in %s", minBodyProgress, progressTime)
)

// boundedSource reads from a connection to the upstream. It bounds the size and the time of heads and the least progress of
// bodies, because an upstream in trouble may send bytes without end. Most answers arrive in one read, for which it sets no
// deadline.
type boundedSource struct {
	net net.Conn
	// headLeft is the number of bytes that the heads of the present exchange may still have.
	headLeft int
	// inHead is true while a head is expected or read, and begun once bytes of it have arrived. checker checks this head.
	inHead, begun bool
	checker       headchecker.HeadChecker
	// headErr is the reason why the head is not read to its end; nil if it is. All further reads fail with it, because the parser goes
	// on after some errors.
	headErr error
	// memory is the account that heads are reserved from, nil if they are not accounted for, and reserved what they take of it.
	memory   hornbeamcroft.Memory
	reserved int
	// hasDeadline is true while the connection has a read deadline, which is deadline.
	hasDeadline bool
	deadline    time.Time
	// left is how much of the time until the deadline was left at the last pause; zero if there was no deadline.
	left time.Duration
	// bodyBytes is the number of bytes of the body that have arrived, and mark the number that must have arrived by the
	// present read deadline.
	bodyBytes, mark int
}

// startAnswer prepares for the answer of a new exchange, whose heads are reserved from the account.
func (s *boundedSource) startAnswer(memory hornbeamcroft.Memory) {
	s.headLeft, s.memory, s.reserved = maxHeadBytes, memory, 0
}

// endAnswer ends an exchange. What its heads have reserved is released, unless the answer is kept: it is then released with the account.
func (s *boundedSource) endAnswer(kept bool) {
	if !kept && s.reserved > 0 {
		s.memory.Release(s.reserved)
	}
	s.memory, s.reserved = nil, 0
}

// startHead prepares for a head, and checks the bytes of it that were read before. The wait for its first byte has no limit here,
// because the upstream is running the request.
func (s *boundedSource) startHead(buffered []byte) error {
	s.inHead, s.begun = true, false
	s.clearDeadline()
	s.checker = headchecker.HeadChecker{}
	s.headErr = s.checkHead(buffered)
	return s.headErr
}

// checkHead checks the next bytes of a head and reserves what they cost.
func (s *boundedSource) checkHead(p []byte) error {
	if err := s.checker.Check(p); err != nil {
		return err
	}
	more := s.checker.Cost() - freeHeadBytes - s.reserved
	if s.memory == nil || more <= 0 {
		return nil
	}
	if !s.memory.Reserve(more) {
		return errNoHeadMemory
	}
	s.reserved += more
	return nil
}

// startBody prepares for a body.
func (s *boundedSource) startBody() {
	s.inHead, s.bodyBytes, s.mark = false, 0, 0
	s.clearDeadline()
}

// clearDeadline removes the read deadline, if there is one.
func (s *boundedSource) clearDeadline() {
	if s.hasDeadline {
		s.hasDeadline = false
		_ = s.net.SetReadDeadline(time.Time{}) // fails only if the connection is closed, as the next read will
	}
}

// setDeadline sets the read deadline.
func (s *boundedSource) setDeadline(d time.Duration) {
	s.hasDeadline, s.deadline = true, time.Now().Add(d)
	_ = s.net.SetReadDeadline(s.deadline) // fails only if the connection is closed, as the next read will
}

// pause stops the time in which a body must grow, until resume: its bytes are not read while the receiver of a stream takes no more.
func (s *boundedSource) pause() {
	s.left = 0
	if s.hasDeadline {
		s.left = max(time.Until(s.deadline), 1)
		s.clearDeadline()
	}
}

// resume continues after pause.
func (s *boundedSource) resume() {
	if s.left > 0 {
		s.setDeadline(s.left)
	}
}

// Read implements io.Reader.
func (s *boundedSource) Read(p []byte) (int, error) {
	if s.inHead {
		return s.readHead(p)
	}
	if s.bodyBytes >= s.mark {
		s.mark = s.bodyBytes + minBodyProgress
		s.setDeadline(progressTime)
	}
	n, err := s.net.Read(p)
	s.bodyBytes += n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errBodyTooSlow
	}
	return n, err
}

// readHead reads a part of a head. The bytes are counted, checked and reserved before they are parsed.
func (s *boundedSource) readHead(p []byte) (int, error) {
	switch {
	case s.headErr != nil:
		return 0, s.headErr
	case s.headLeft == 0:
		return 0, errHeadTooLarge
	}
	if s.begun && !s.hasDeadline {
		s.setDeadline(maxHeadTime)
	}
	n, err := s.net.Read(p[:min(len(p), s.headLeft)])
	s.begun = true
	s.headLeft -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHeadTooSlow
	}
	if s.headErr = s.checkHead(p[:n]); s.headErr != nil {
		return 0, s.headErr
	}
	return n, err
}
