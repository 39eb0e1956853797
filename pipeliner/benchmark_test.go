package pipeliner

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkKeepAlive compares a request on a kept connection with net/http's server.
func BenchmarkKeepAlive(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "hello")
	})
	b.Run("pipeliner", func(b *testing.B) {
		request(b, open(b, Rules{Handler: handler}).client)
	})
	b.Run("net-http", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
		go func() { _ = s.Serve(l) }()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		request(b, c)
		_ = s.Shutdown(context.Background())
	})
}

// request sends requests on the connection and waits for each answer.
func request(b *testing.B, c net.Conn) {
	text := []byte("GET /i/a?b=c HTTP/1.1\r\nHost: test.example\r\nX-Attempt: abc\r\nX-Remaining: 5000\r\nContent-Length: 0\r\n\r\n")
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(text); err != nil {
			b.Fatal(err)
		}
		for n := 0; ; {
			m, err := c.Read(buf[n:])
			if err != nil {
				b.Fatal(err)
			}
			if n += m; strings.HasSuffix(string(buf[:n]), "hello") {
				break
			}
		}
	}
	_ = c.Close()
}
