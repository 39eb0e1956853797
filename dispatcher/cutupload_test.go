package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft"
)

const (
	// cutUploadBytes is the size of a body that does not fit into the buffers of a connection.
	cutUploadBytes = 8 << 20
	// cutUploadRuns is how often each case is played: which call learns of a reset is a race.
	cutUploadRuns = 20
)

// TestCutUpload guards against a part of an answer that counts as a whole one, or as a refusal, because the connection was reset while the
// body of the call was still written; and against a whole answer that waits for the rest of the body.
func TestCutUpload(t *testing.T) {
	body := strings.Repeat("u", cutUploadBytes)
	for _, tt := range []struct {
		name, raw string
		reset     bool
		want      hornbeamcroft.Code
	}{
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhello", true, hornbeamcroft.CodeAnswerTruncated},
		{"no length, rejected", "HTTP/1.1 413 No\r\n\r\nhello", true, hornbeamcroft.CodeAnswerTruncated},
		{"no length, failed", "HTTP/1.1 500 No\r\n\r\nhello", true, hornbeamcroft.CodeAnswerTruncated},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello", true, hornbeamcroft.CodeAnswerTruncated},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true, hornbeamcroft.CodeAnswerTruncated},
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false, hornbeamcroft.CodeAnswered},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			defer close(ended)
			address := rawUpstream(t, func(_ int, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, tt.raw)
				if !tt.reset {
					<-ended
					return
				}
				time.Sleep(time.Millisecond) // the answer has left the buffer, mostly
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			for range cutUploadRuns {
				code := open(address).Run(context.Background(), call(body)).Answer.Code
				// The write may learn of the reset before the head of the answer is read.
				is.True(code == tt.want || tt.reset && code == hornbeamcroft.CodeOutcomeUnknown)
			}
		})
	}
}
