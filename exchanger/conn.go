package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"hornbeamcroft"
	"hornbeamcroft/resetkeeper"
)

const (
	// unackedTimeout is the TCP user timeout: it ends a connection on which sent bytes stay unacknowledged, for example
	// because a device between both ends has dropped the connection's state.
	unackedTimeout = 500 * time.Millisecond
	// stableTime is the shortest time for which a new connection must stay open for the upstream to count as alive.
	stableTime = 25 * time.Millisecond
	// maxInlineBody is the size in bytes up to which a body is written before the answer is read. Writing a longer one
	// may block until the upstream reads it, which it may do only after it has answered.
	maxInlineBody = 16 << 10
	bufferSize    = 4 << 10
)

var errTooManyConnections = errors.New("connection limit of the upstream reached")

// conn is one connection to the upstream. It carries one request at a time.
type conn struct {
	net net.Conn
	// source bounds what reader takes from net.
	source *boundedSource
	reader *bufio.Reader
	// refused holds the attempts whose answers on this connection may lead to another send.
	refused attemptSet
	// reusable is true if the connection can carry another request.
	reusable    bool
	idleSince   time.Time
	idleTimeout time.Duration
}

// dial opens a connection to the upstream.
func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:   connectTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// The option is not essential: without it, a dead connection is noticed later, at the deadline.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
		},
	}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the upstream")
	}
	kept := &resetkeeper.ResetKeeper{Conn: n}
	source := &boundedSource{net: kept}
	return &conn{net: kept, source: source, reader: bufio.NewReaderSize(source, bufferSize), idleTimeout: defaultIdleTimeout}, nil
}

// abort closes the connection, which makes a running exchange fail.
func (c *conn) abort() { _ = c.net.Close() }

// usable reports whether an idle connection can carry a request: it has not reached its idle timeout, no data has
// arrived on it, and the upstream has not closed it.
func (c *conn) usable(now time.Time) bool {
	return !c.expired(now) && c.reader.Buffered() == 0 && c.noDataPending()
}

func (c *conn) expired(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleTimeout }

// noDataPending reports whether a read would block, because neither data nor an end of the stream has arrived.
func (c *conn) noDataPending() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// staysOpen reports whether the connection stays open for the duration d without receiving a byte.
func (c *conn) staysOpen(d time.Duration) bool {
	_ = c.net.SetReadDeadline(time.Now().Add(d))
	_, err := c.net.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// exchange sends the request and reads its answer. It sets reusable, unless the result has a *stream, which sets it when it ends.
func (c *conn) exchange(request Request, headerNames HeaderNames, maxBody int) Result {
	c.reusable = false
	written, err := c.write(request)
	if err != nil {
		return Result{Outcome: OutcomeLost, Err: err}
	}
	c.source.startAnswer(request.Memory)
	res := c.readAnswer(request, headerNames, maxBody)
	c.source.endAnswer(res.Outcome == OutcomeAnswered)
	if s, ok := res.Stream.(*stream); ok {
		c.source.pause()
		s.written = written
		return res
	}
	c.source.clearDeadline()
	c.setReusable(request.Attempt, res, written)
	return res
}

// setReusable clears reusable after an answer that was read to its end if the connection cannot carry another request.
func (c *conn) setReusable(attempt string, res Result, written <-chan error) {
	if !c.reusable {
		return
	}
	if res.Outcome != OutcomeAnswered || res.Status >= http.StatusInternalServerError {
		c.reusable = c.refused.add(attempt)
	}
	if !c.reusable {
		return
	}
	select {
	case err := <-written:
		c.reusable = err == nil
	default:
		// The upstream answered before it read the whole body. Do not wait for it to read the rest.
		c.reusable = false
	}
}

// write sends the request. A body of more than maxInlineBody bytes is written in the background. The channel receives
// the result of writing the body.
func (c *conn) write(request Request) (<-chan error, error) {
	b := requestHead(request)
	written := make(chan error, 1)
	if len(request.Body) <= maxInlineBody {
		b.Write(request.Body)
		_, err := c.net.Write(b.Bytes())
		written <- err
		return written, err
	}
	if _, err := c.net.Write(b.Bytes()); err != nil {
		return nil, err
	}
	body := request.Body // captured alone: a closure over the request would move it to the heap for all requests
	go func() {
		_, err := c.net.Write(body)
		written <- err
	}()
	return written, nil
}

// requestHead returns a buffer with the request line and the header, and with room for an inline body.
func requestHead(request Request) *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 1024+min(len(request.Body), maxInlineBody)))
	m := request.Message
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	for _, f := range m.Header {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if len(request.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// newResult returns the result of the upstream's own answer.
func newResult(a answer, headerNames HeaderNames) Result {
	r := a.response
	res := Result{
		Outcome: OutcomeAnswered, Status: r.StatusCode, Body: a.body, Header: endToEndFields(r.Header),
		Instance: r.Header.Get(headerNames.Instance),
	}
	switch {
	case headerNames.misdirected(r):
		res.Outcome = OutcomeWrongInstance
		return res
	case r.Header.Get(headerNames.NotRun) != "":
		res.Outcome = OutcomeNotRun
	case slices.Contains(headerNames.RefusalStatuses, r.StatusCode):
		res.Outcome = OutcomeUnprovenRefusal
		res.Err = errors.Wrapf(errUnprovenRefusal, "status %d", r.StatusCode)
	}
	res.Statement = statement(r.Header, headerNames)
	return res
}

// endToEndFields returns the end-to-end header fields of an answer in no particular order. The values of one name keep
// their order.
func endToEndFields(h http.Header) []hornbeamcroft.Field {
	list := make([]hornbeamcroft.Field, 0, len(h))
	for name, values := range h {
		if hopByHop(name, h) {
			continue
		}
		for _, v := range values {
			list = append(list, hornbeamcroft.Field{Name: name, Value: v})
		}
	}
	return list
}

// hopByHop reports whether the named field applies to a single connection only.
func hopByHop(name string, h http.Header) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length", "Proxy-Connection":
		return true
	}
	return hasToken(h["Connection"], name)
}

// hasToken reports whether one of the comma-separated lists has the token, in any case of its letters.
func hasToken(lists []string, token string) bool {
	for _, list := range lists {
		for part := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// idleTimeout returns for how long the connection may stay idle: idleMargin less than the timeout in the Keep-Alive
// field, or defaultIdleTimeout if there is none.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
