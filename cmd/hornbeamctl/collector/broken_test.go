package collector_test

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeromicro/go-zero/core/logx"

	"hornbeamcroft/cmd/hornbeamctl/collector"
)

// brokenAnswerRuns is how often each case is played: whether the request is written before or after the end of the connection is a race.
const brokenAnswerRuns = 1000

// maxResetDelay is the longest time between the answer and the reset.
const maxResetDelay = 100 * time.Microsecond

// TestBrokenAnswer guards against an answer that broke off, or has a status that HTTP does not know, and counts as that of a node. The
// other side answers before it reads the request.
func TestBrokenAnswer(t *testing.T) {
	logx.Disable()
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"HTTP/1.1 200 OK\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 2\r\n\r\n{}",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
					_, _ = io.WriteString(conn, text)
					time.Sleep(rand.N(maxResetDelay))
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
				}
			}()
			c := collector.Collector{Addresses: []string{l.Addr().String()}}
			for range brokenAnswerRuns {
				is.True(c.RequestAll(t.Context(), "POST", "/drain")[0].Err != nil)
			}
		})
	}
}
