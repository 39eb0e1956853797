package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"hornbeamcroft"
)

const (
	// unackedTime ends a connection on which sent bytes are not acknowledged: something between both ends has forgotten it.
	unackedTime = 500 * time.Millisecond
	// settleTime is how long a new connection is watched before the upstream counts as alive.
	settleTime = 25 * time.Millisecond
	// inlineBody is the size in bytes up to which a body is written before the answer is read. A longer one may block
	// until the upstream reads it, which it may do after it has answered.
	inlineBody = 16 << 10
	// maxSkipped bounds the answers to earlier requests that are read before the own one.
	maxSkipped = 4
	bufferSize = 4 << 10
)

var (
	errTooManyConnections = errors.New("as many connections to the upstream are open as it accepts")
	errForeignAnswer      = errors.New("the answer is for another request")
)

// conn is one connection to the upstream. It carries one request at a time.
type conn struct {
	net  net.Conn
	read *bufio.Reader
	// kept is true if the connection can carry another request.
	kept      bool
	idleSince time.Time
	idleLimit time.Duration
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:   connectTime,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Without the option a silent connection is noticed later, by the deadline.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
			})
		},
	}
	n, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the upstream")
	}
	return &conn{net: n, read: bufio.NewReaderSize(n, bufferSize), idleLimit: defaultIdle}, nil
}

// abort makes a running exchange fail.
func (c *conn) abort() { _ = c.net.Close() }

// usable reports whether an idle connection can carry a request: nothing has arrived on it, and it is not closed.
func (c *conn) usable(now time.Time) bool {
	return !c.expired(now) && c.read.Buffered() == 0 && c.silent()
}

func (c *conn) expired(now time.Time) bool { return now.Sub(c.idleSince) >= c.idleLimit }

// silent reports whether a read would block.
func (c *conn) silent() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// quiet reports whether the connection stays open for the time without a byte.
func (c *conn) quiet(d time.Duration) bool {
	_ = c.net.SetReadDeadline(time.Now().Add(d))
	_, err := c.net.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// exchange sends the request and reads its answer.
func (c *conn) exchange(q Request, names Names, maxBody int) Result {
	c.kept = false
	written, err := c.write(q)
	if err != nil {
		return Result{Outcome: OutcomeLost, Err: err}
	}
	res := c.answer(q, names, maxBody)
	if !c.kept {
		return res
	}
	select {
	case err := <-written:
		c.kept = err == nil
	default:
		// The upstream has answered without reading the whole body; what it does with the rest is not waited for.
		c.kept = false
	}
	return res
}

// write sends the request. The channel tells the end of the writing of a long body.
func (c *conn) write(q Request) (<-chan error, error) {
	b := head(q)
	done := make(chan error, 1)
	if len(q.Body) <= inlineBody {
		b.Write(q.Body)
		_, err := c.net.Write(b.Bytes())
		done <- err
		return done, err
	}
	if _, err := c.net.Write(b.Bytes()); err != nil {
		return nil, err
	}
	go func() {
		_, err := c.net.Write(q.Body)
		done <- err
	}()
	return done, nil
}

// head returns the request line and the header.
func head(q Request) *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 1024+min(len(q.Body), inlineBody)))
	m := q.Message
	b.WriteString(m.Method + " " + m.Target + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	for _, f := range m.Header {
		b.WriteString(f.Name + ": " + f.Value + "\r\n")
	}
	if len(q.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// answer reads answers until the one for the request.
func (c *conn) answer(q Request, names Names, maxBody int) Result {
	for skipped := 0; ; skipped++ {
		r, err := c.next(q.Message.Method)
		if err != nil {
			return Result{Outcome: c.broken(err), Err: err}
		}
		own := r.Header.Get(names.Attempt) == q.Attempt
		body, err := readBody(r, maxBody)
		switch {
		case !own && (err != nil || r.Close || skipped == maxSkipped):
			return Result{Outcome: OutcomeSpoilt, Err: errForeignAnswer}
		case !own:
			continue
		case err != nil:
			return Result{Outcome: OutcomeSpoilt, Err: err}
		}
		c.kept = !r.Close && r.ProtoAtLeast(1, 1) && c.read.Buffered() == 0
		c.idleLimit = idleLimit(r.Header)
		return result(r, body, names)
	}
}

// next reads the head of the next answer that is not an interim one.
func (c *conn) next(method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(c.read, &http.Request{Method: method})
		if err != nil || r.StatusCode >= 200 || r.StatusCode == http.StatusSwitchingProtocols {
			return r, err
		}
	}
}

// broken tells a connection that ended from bytes that are no answer.
func (c *conn) broken(err error) Outcome {
	var op *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op) {
		return OutcomeLost
	}
	return OutcomeSpoilt
}

// readBody returns the whole body. An answer without a length ends with its connection, and is whole only if that was
// closed in an orderly way.
func readBody(r *http.Response, limit int) ([]byte, error) {
	defer func() { _ = r.Body.Close() }()
	if r.ContentLength > int64(limit) {
		return nil, errors.Errorf("answer of %d bytes: allowed are %d", r.ContentLength, limit)
	}
	if n := r.ContentLength; n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		return nil, errors.Errorf("answer of more than %d bytes", limit)
	}
	return body, err
}

func result(r *http.Response, body []byte, names Names) Result {
	res := Result{
		Outcome: OutcomeAnswered, Status: r.StatusCode, Body: body, Header: fields(r.Header),
		Instance: r.Header.Get(names.Instance),
	}
	switch {
	case r.StatusCode == names.MisdirectedStatus && names.MisdirectedStatus != 0:
		res.Outcome = OutcomeWrongInstance
	case r.Header.Get(names.NotRun) != "":
		res.Outcome = OutcomeNotRun
	}
	return res
}

// fields returns the end-to-end fields of an answer, in the order of their names.
func fields(h http.Header) []hornbeamcroft.Field {
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

// hopByHop reports whether a field concerns one connection only.
func hopByHop(name string, h http.Header) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
		"Upgrade", "Content-Length", "Proxy-Connection":
		return true
	}
	for _, v := range h["Connection"] {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// idleLimit returns how long the connection may be kept without a request.
func idleLimit(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}
