package pipeliner

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamcroft/reserver"
)

// TestBrokenOff guards against an answer that was not completed and that ends like a complete one: without a length, over HTTP/1.0, only a
// reset of the connection shows it. The handler gives up, or the connection is closed meanwhile.
func TestBrokenOff(t *testing.T) {
	for name, end := range map[string]func(*Pipeliner){
		"handler": func(*Pipeliner) { panic(http.ErrAbortHandler) },
		"closed":  func(p *Pipeliner) { p.CloseIf(func(State) bool { return true }) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(readBrokenOff(t, end) != nil)
		})
	}
	t.Run("complete", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(readBrokenOff(t, func(*Pipeliner) {}))
	})
}

// readBrokenOff returns the error of a client of HTTP/1.0 that reads an answer without a length, after a part of which end is called.
func readBrokenOff(t *testing.T, end func(*Pipeliner)) error {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	is.NoErr(err)
	account := (&reserver.Reserver{}).Open()
	p := &Pipeliner{Conn: conn, Memory: account, Ahead: account}
	p.Rules = &Rules{
		MaxHeadBytes: func() int { return 1 << 16 }, MaxFields: 100, OnEnd: func(*Pipeliner) {},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 3*bufferBytes))
			end(p)
		}),
	}
	p.Init()
	go p.Serve()
	_, err = io.WriteString(client, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	_ = client.SetReadDeadline(time.Now().Add(waitTime))
	_, err = io.Copy(io.Discard, client)
	return err
}
