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

// TestCutHealthAnswer guards against a health answer that was cut anywhere in its head and counts as that of a healthy upstream, or of
// another instance.
func TestCutHealthAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nInstance-Id: i-1234\r\nContent-Length: 0\r\n\r\n"
	for cut := range len(whole) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, whole[:cut])
			}
			_ = c.Close()
		}()
		a := &Agent{Log: logger.New(io.Discard, "info"), observer: observer.Observer{Service: "s", Address: l.Addr().String()}}
		a.Settings.Agent.Upstream = l.Addr().String()
		a.probeOnce(t.Context(), "/health")
		if a.observer.Known() {
			t.Errorf("cut after %q: %+v", whole[:cut], a.observer.Upstream())
		}
		_ = l.Close()
	}
}
