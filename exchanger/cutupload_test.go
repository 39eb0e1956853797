package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"hornbeamcroft"
)

const (
	// cutUploadRuns is how often each case is played: which call learns of a reset is a race.
	cutUploadRuns = 20
	// cutUploadBytes is the size of a body that does not fit into the buffers of a connection.
	cutUploadBytes = 16 << 20
	// cutUploadTime bounds one exchange. It is shorter than an upload that is read slowly.
	cutUploadTime = 10 * time.Second
	// slowReadBytes and slowReadPause make an upload of cutUploadBytes take 25 s.
	slowReadBytes = 64 << 10
	slowReadPause = 100 * time.Millisecond
	// maxResetDelay is the longest time between an answer and the reset of its connection.
	maxResetDelay = 2 * time.Millisecond
)

// cutUpload is a line of testdata/cut-uploads.txt.
type cutUpload struct {
	name, head, body, end string
	readAfter             time.Duration
	// want is what the caller gets: "whole" or "broken".
	want string
}

func cutUploads(t *testing.T) (list []cutUpload) {
	t.Helper()
	text, err := os.ReadFile("testdata/cut-uploads.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		columns := strings.Split(strings.TrimSpace(line), " | ")
		if len(columns) != 6 {
			t.Fatalf("malformed line %q", line)
		}
		head, err := strconv.Unquote(`"` + columns[1] + `"`)
		if err != nil {
			t.Fatalf("malformed line %q: %v", line, err)
		}
		ms, err := strconv.Atoi(columns[4])
		if err != nil {
			t.Fatalf("malformed line %q: %v", line, err)
		}
		list = append(list, cutUpload{
			columns[0], head, columns[2], columns[3], time.Duration(ms) * time.Millisecond, columns[5],
		})
	}
	return list
}

// size returns the number of bytes of the body.
func (c cutUpload) size() int {
	n, _ := strconv.Atoi(strings.TrimLeft(c.body, "+="))
	return n
}

// bytes returns what the upstream sends.
func (c cutUpload) bytes() []byte {
	body := strings.Repeat("x", c.size())
	if c.body[0] == '+' || c.body[0] == '=' {
		body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	if c.body[0] == '+' {
		body += "0\r\n\r\n"
	}
	return []byte(strings.ReplaceAll(c.head, "FIELDS", "Attempt: a\r\n") + body)
}

// serve answers a request whose body it has not read and ends as the case says, at the latest when the test ends.
func (c cutUpload) serve(ended <-chan struct{}, conn *net.TCPConn) {
	answer := c.bytes()
	if _, err := conn.Write(answer); err != nil {
		return
	}
	if strings.HasPrefix(c.end, "end") {
		_ = conn.CloseWrite()
	}
	switch c.end {
	case "reset":
		time.Sleep(rand.N(maxResetDelay))
		_ = conn.SetLinger(0)
	case "close":
		await(conn, unix.TIOCINQ, func(unread int) bool { return unread > 0 }) // without it, the kernel ends the stream
	case "end-reset":
		readUntilArrived(conn)
		_ = conn.SetLinger(0)
	case "stall":
		<-ended
	case "arrived-stall", "end-stall":
		readUntilArrived(conn)
		<-ended
	case "end":
		readSlowly(ended, conn)
	}
}

// await waits until the size of a queue of the connection is as wanted.
func await(conn *net.TCPConn, queue uint, wanted func(bytes int) bool) {
	for !wanted(queued(conn, queue)) {
		time.Sleep(time.Millisecond)
	}
}

// queued returns the number of bytes in a queue of the connection.
func queued(conn *net.TCPConn, queue uint) (n int) {
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), queue) })
	}
	return n
}

// readUntilArrived reads until all that was written has arrived at the other side: an upload that nobody reads ends the connection.
func readUntilArrived(conn *net.TCPConn) {
	buf := make([]byte, slowReadBytes)
	for queued(conn, unix.TIOCOUTQ) > 0 {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// readSlowly reads what arrives until the connection or the test ends.
func readSlowly(ended <-chan struct{}, conn net.Conn) {
	buf := make([]byte, slowReadBytes)
	for {
		if _, err := io.ReadFull(conn, buf); err != nil {
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(slowReadPause):
		}
	}
}

// TestCutUpload guards against the part of an answer that counts as whole because the write of a long body was told of the end of the
// connection, which the read of the answer then takes for an orderly one; and against a whole answer that does not count, or comes only
// when the body is written. It plays testdata/cut-uploads.txt.
func TestCutUpload(t *testing.T) {
	upload := bytes.Repeat([]byte("u"), cutUploadBytes)
	for _, c := range cutUploads(t) {
		t.Run(c.name, func(t *testing.T) {
			var wrong atomic.Int64
			var wg sync.WaitGroup
			for range cutUploadRuns {
				wg.Go(func() {
					if got := c.play(t, upload); got != c.want {
						wrong.Add(1)
					}
				})
			}
			wg.Wait()
			if n := wrong.Load(); n > 0 {
				t.Errorf("not %s in %d of %d runs", c.want, n, cutUploadRuns)
			}
		})
	}
}

// play sends the upload once and tells what the caller gets: the answer as a whole one, a part as a whole one, or a broken one.
func (c cutUpload) play(t *testing.T, upload []byte) string {
	t.Helper()
	ended := make(chan struct{})
	defer close(ended)
	address := serveConns(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			c.serve(ended, conn.(*net.TCPConn))
		}
	})
	e := &Exchanger{Address: address, HeaderNames: headerNames, MaxBody: 1 << 20}
	ctx, cancel := context.WithTimeout(t.Context(), cutUploadTime)
	defer cancel()
	res := e.Exchange(ctx, Request{
		Attempt: "a", Body: upload, Stream: true, Message: hornbeamcroft.Message{Method: http.MethodPost, Host: "h", Target: "/"},
	})
	n, err := int64(len(res.Body)), res.Err
	if res.Stream != nil {
		time.Sleep(c.readAfter)
		n, err = io.Copy(io.Discard, res.Stream)
	}
	switch {
	case res.Outcome != OutcomeAnswered || err != nil:
		return "broken"
	case int(n) < c.size():
		return "part"
	}
	return "whole"
}

// TestCutUploadWithoutStream guards against the same where answers are always read whole.
func TestCutUploadWithoutStream(t *testing.T) {
	is := is.New(t)
	c := cutUpload{head: "HTTP/1.1 200 OK\r\nFIELDS\r\n", body: "100", end: "reset"}
	upload := bytes.Repeat([]byte("u"), cutUploadBytes)
	ended := make(chan struct{})
	defer close(ended)
	for range cutUploadRuns {
		address := serveConns(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err == nil {
				c.serve(ended, conn.(*net.TCPConn))
			}
		})
		e := &Exchanger{Address: address, HeaderNames: headerNames, MaxBody: 1 << 20}
		m := hornbeamcroft.Message{Method: http.MethodPost, Host: "h", Target: "/"}
		res := e.Exchange(t.Context(), Request{Attempt: "a", Body: upload, Message: m})
		is.Equal(res.Outcome.String(), OutcomeMalformed.String())
	}
}
