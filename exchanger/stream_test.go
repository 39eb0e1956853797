package exchanger

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/reserver"
)

// framed returns an answer to the attempt with a body of the size, whose end is shown by its length, by chunks or by the end of the
// connection.
func framed(framing, attempt string, size int) []byte {
	body, fields := bytes.Repeat([]byte("0123456789"), size/10+1)[:size], "Content-Length: "+strconv.Itoa(size)
	switch framing {
	case "chunks":
		fields = "Transfer-Encoding: chunked"
		first := size / 3
		body = []byte(strconv.FormatInt(int64(first), 16) + "\r\n" + string(body[:first]) + "\r\n" +
			strconv.FormatInt(int64(size-first), 16) + "\r\n" + string(body[first:]) + "\r\n0\r\n\r\n")
	case "close":
		fields = "Connection: close"
	}
	return append([]byte("HTTP/1.1 200 OK\r\nAttempt: "+attempt+"\r\nSignature: s\r\n"+fields+"\r\n\r\n"), body...)
}

// streamFrom sends a request to an upstream that writes the answer and then closes the connection when hold is closed. It returns the
// result, and the account of its body, which has room for little more than the beginning.
func streamFrom(t *testing.T, answer []byte, hold chan struct{}) (Result, *reserver.Account, *Exchanger) {
	t.Helper()
	e := &Exchanger{HeaderNames: headerNames, MaxBody: 4 << 20}
	e.HeaderNames.Signature = "Signature"
	e.Address = serveConns(t, func(c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = c.Write(answer)
			<-hold
		}
	})
	q := Request{Attempt: "a", Stream: true}
	q.Message.Method, q.Message.Host, q.Message.Target = http.MethodGet, "h", "/"
	account := (&reserver.Reserver{Limit: streamBytes + 1}).Open()
	q.Memory = account
	return e.Exchange(t.Context(), q), account, e
}

// TestStreamedFrom guards against small answers that are streamed, so that they could not be retried, against large ones that are not,
// and against bytes that are lost where the beginning and the rest of a body meet. An incomplete body must not end like a complete one.
func TestStreamedFrom(t *testing.T) {
	ended := make(chan struct{})
	close(ended)
	for _, framing := range []string{"length", "chunks", "close"} {
		for _, size := range []int{5000, streamBytes, streamBytes + 1, streamBytes + 2, 3*streamBytes + 17} {
			is := is.New(t)
			hold, whole := make(chan struct{}), framed(framing, "a", size)
			if framing == "close" {
				hold = ended
			}
			res, account, e := streamFrom(t, whole, hold)
			is.Equal(res.Outcome.String(), OutcomeAnswered.String())
			is.Equal(res.Stream != nil, size > streamBytes)
			if res.Stream == nil {
				is.Equal(len(res.Body), size)
				continue
			}
			is.Equal(res.StreamLength == int64(size), framing == "length")
			is.True(account.Reserved() >= streamBytes)
			got, err := io.ReadAll(res.Stream)
			is.NoErr(err)
			is.True(bytes.HasSuffix(framed("length", "a", size), append([]byte("\r\n\r\n"), got...)))
			is.NoErr(res.Stream.Close())
			is.Equal(account.Reserved(), int64(0))
			_, idle := e.Counts()
			is.Equal(idle == 1, framing != "close") // the connection is kept
			if framing != "close" {
				close(hold)
				res, _, e = streamFrom(t, whole[:len(whole)-1], ended)
				if res.Stream != nil {
					_, err = io.ReadAll(res.Stream)
					is.NoErr(res.Stream.Close())
				}
				is.True(err != nil || res.Outcome == OutcomeMalformed)
				open, _ := e.Counts()
				is.Equal(open, 0)
			}
		}
	}
}

// TestStreamNotAccepted guards against a body that is passed on although the answer is not the upstream's own, and against a request
// that ends because a large answer to an earlier attempt comes first.
func TestStreamNotAccepted(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	close(ended)
	large := framed("length", "a", 2*streamBytes)
	res, _, _ := streamFrom(t, bytes.Replace(large, []byte("Signature: s\r\n"), nil, 1), ended)
	is.Equal(res.Outcome.String(), OutcomeMalformed.String())
	is.True(res.Stream == nil)
	res, _, _ = streamFrom(t, bytes.Replace(large, []byte("200 OK"), []byte("503 No\r\nNot-Run: 1"), 1), ended)
	is.Equal(res.Outcome.String(), OutcomeNotRun.String())
	is.True(res.Stream == nil)
	for _, framing := range []string{"length", "chunks"} {
		res, _, _ = streamFrom(t, append(framed(framing, "z", 2*streamBytes), framed(framing, "a", 100)...), ended)
		is.Equal(len(res.Body), 100)
	}
}

// TestStreamWaits guards against a stream that fails because its receiver takes nothing for longer than the time in which a body must
// grow, and against an upstream that sends nothing without an end.
func TestStreamWaits(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	defer close(hold)
	answer := framed("length", "a", 3*streamBytes)
	res, _, _ := streamFrom(t, answer[:len(answer)-1], hold)
	defer func() { _ = res.Stream.Close() }()
	_, err := io.CopyN(io.Discard, res.Stream, streamBytes+100)
	is.NoErr(err)
	time.Sleep(progressTime + 200*time.Millisecond)
	_, err = io.CopyN(io.Discard, res.Stream, 2*streamBytes-101)
	is.NoErr(err)
	_, err = res.Stream.Read(make([]byte, 1))
	is.Equal(err, errBodyTooSlow)
}
