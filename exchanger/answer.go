package exchanger

import (
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"

	"hornbeamcroft"
	"hornbeamcroft/bodyreader"
)

const (
	// maxSkippedAnswers bounds the number of answers to other attempts that are read and skipped before the expected
	// one.
	maxSkippedAnswers = 4
	// maxInterimAnswers bounds the number of interim answers (1xx) before the final one.
	maxInterimAnswers = 16
)

// Reasons why heads that net/http has read make an answer malformed.
var (
	errManyInterim   = errors.Errorf("more than %d interim answers", maxInterimAnswers)
	errInvalidStatus = errors.New("status of the answer is neither interim nor final")
	// net/http takes the body of such an answer as it is sent, in its encoding.
	errEncodedOld = errors.New("answer of HTTP/1.0 has a transfer encoding")
)

// readAnswer reads answers until it finds the one that names the attempt of the request. If its body is not read to its
// end, the result has a *stream that the caller must complete.
func (c *conn) readAnswer(request Request, headerNames HeaderNames, maxBody int) Result {
	for skipped := 0; ; skipped++ {
		a, err := c.readNext(request, maxBody)
		if err != nil {
			return Result{Outcome: readErrorOutcome(err), Err: err}
		}
		err = headerNames.checkOwn(a, request.Attempt)
		switch {
		case errors.Is(a.bodyErr, bodyreader.ErrNoMemory):
			return Result{Outcome: OutcomeNoMemory, Err: a.bodyErr}
		case errors.Is(err, errAnswerMismatch) && a.bodyErr == nil && !a.response.Close && skipped < maxSkippedAnswers &&
			a.skip(maxBody, request.Memory):
			continue
		case err != nil:
			return Result{Outcome: OutcomeMalformed, Err: err}
		}
		res := newResult(a, headerNames)
		c.idleTimeout = idleTimeout(a.response.Header)
		switch {
		case !a.unread:
			c.reusable = a.keepsConnection() && c.reader.Buffered() == 0
			return res
		case res.Outcome != OutcomeAnswered:
			return res // its body is not passed on
		}
		res.Body, res.StreamLength = nil, a.response.ContentLength
		res.Stream = &stream{conn: c, answer: a, attempt: request.Attempt, prefix: a.body, memory: request.Memory}
		return res
	}
}

// readNext reads the next answer, or the beginning of one that is streamed. The error is that of its head.
func (c *conn) readNext(request Request, maxBody int) (answer, error) {
	r, err := c.readResponse(request.Message.Method)
	if err != nil {
		return answer{}, err
	}
	a := answer{response: r}
	if request.Stream {
		a.body, a.unread, a.bodyErr = c.readBeginning(r, request.Memory)
	} else {
		a.body, a.bodyErr = c.readBody(r, bodyreader.BodyReader{Limit: maxBody, Memory: request.Memory})
	}
	return a, nil
}

// readResponse reads the head of the next answer, skipping interim responses (1xx).
func (c *conn) readResponse(method string) (*http.Response, error) {
	for range maxInterimAnswers + 1 {
		r, err := c.readHead(method)
		switch {
		case err != nil:
			return nil, err
		case hornbeamcroft.FinalStatus(r.StatusCode):
			return r, nil
		case !interimStatus(r.StatusCode):
			return nil, errInvalidStatus
		case announcesBody(r):
			return nil, errBodyNotAllowed
		}
	}
	return nil, errManyInterim
}

// readHead reads the head of one answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails for bytes that are buffered
	if err := c.source.startHead(buffered); err != nil {
		return nil, err
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil && !r.ProtoAtLeast(1, 1) && c.source.checker.Encoded() {
		return nil, errEncodedOld
	}
	return r, err
}

// interimStatus reports whether an answer with the status is followed by another one. 101 Switching Protocols is not, and no request
// asks for another protocol.
func interimStatus(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// readErrorOutcome returns OutcomeLost if the read failed because the connection ended, OutcomeNoMemory if no memory was left, or
// OutcomeMalformed if the bytes received are not an HTTP response.
func readErrorOutcome(err error) Outcome {
	if errors.Is(err, errNoHeadMemory) {
		return OutcomeNoMemory
	}
	var op *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) {
		return OutcomeLost
	}
	return OutcomeMalformed
}

// readBody returns the whole body. The body of an answer without a length ends with the connection; it is complete only if
// the connection was closed in an orderly way. The body is not closed, because Close would read a body that was given up to
// its end.
func (c *conn) readBody(r *http.Response, reader bodyreader.BodyReader) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil // the length of an answer to HEAD is that of a body which is not sent
	}
	c.source.startBody()
	return reader.Read(r.Body, r.ContentLength)
}

// readBeginning returns the whole body if it has at most streamBytes, and otherwise about as many bytes of its beginning and true.
func (c *conn) readBeginning(r *http.Response, memory hornbeamcroft.Memory) (body []byte, unread bool, err error) {
	if r.Body != http.NoBody && r.ContentLength > streamBytes {
		c.source.startBody()
		body, err = bodyreader.BodyReader{Memory: memory}.Read(r.Body, streamBytes)
		return body, err == nil, err
	}
	body, err = c.readBody(r, bodyreader.BodyReader{Limit: streamBytes, Memory: memory})
	if errors.Is(err, bodyreader.ErrTooLarge) {
		return body, true, nil
	}
	return body, false, err
}
