package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"hornbeamcroft/logger"
	"hornbeamcroft/observer"
)

// probe returns an agent that has probed an upstream which answers with the text and closes the connection.
func probe(t *testing.T, text string) *Agent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text)
		}
		_ = c.Close()
	}()
	a := &Agent{Log: logger.New(io.Discard, "info"), observer: observer.Observer{Service: "s", Address: l.Addr().String()}}
	a.metrics = newMetricSet()
	a.Settings.Agent.Upstream = l.Addr().String()
	a.observer.ApplyServed("i-1234", 10)
	a.probeOnce(t.Context(), "/health")
	return a
}

// TestCutHealthAnswer guards against a health answer that was cut anywhere in its head and counts as that of a healthy upstream, or of
// another instance.
func TestCutHealthAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nInstance-Id: i-1234\r\nContent-Length: 0\r\n\r\n"
	for cut := range len(whole) {
		if a := probe(t, whole[:cut]); a.observer.Known() {
			t.Errorf("cut after %q: %+v", whole[:cut], a.observer.Upstream())
		}
	}
}

// TestBrokenHealthAnswer guards against a health answer that is not valid HTTP and counts as that of a healthy upstream, or of another
// instance.
func TestBrokenHealthAnswer(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nInstance-Id: i-1234\r\n\r\n",
		"HTTP/1.1 200 OK\r\nInstance-Id: i-1234\r\n X: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nInstance-Id: i-1234\r\nX Y: z\r\n\r\n",
		"HTTP/1.1 200 OK\r\nInstance Id: i-1234\r\n\r\n",
		"HTTP/1.1 200 OK\r\nInstance-Id: i-1234\r\nX\x01Y: z\r\n\r\n",
		"HTTP/1.1 200 OK\r\nInstance-Id: i-12\n\r\n",
	} {
		if a := probe(t, text); a.observer.Known() {
			t.Errorf("%q: %+v", text, a.observer.Upstream())
		}
	}
}
