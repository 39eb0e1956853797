package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// arrival is a request as the backend received it.
type arrival struct {
	attempt, caller, method, target string
	deadlineMs                      int
	request                         *http.Request
	conn                            net.Conn
	reader                          *bufio.Reader
}

// backend is a stand-in for an application backend beside a node.
type backend struct {
	node  *node
	id    string
	born  int64
	slots int
	// answer handles a request whose head has arrived and that names this backend. It returns false if the connection ends.
	answer func(b *backend, a *arrival) bool

	// unhealthy reports whether the health check answers 503; nil if it never does.
	unhealthy func() bool

	sequence atomic.Int64
	// silent is true once no further heartbeat is sent.
	silent   atomic.Bool
	listener net.Listener
	stop     chan struct{}
	once     sync.Once
}

// startBackend listens at the node's application address and sends heartbeats.
// A receive buffer other than 0 bounds what its connections take before it reads.
func startBackend(n *node, id string, receiveBuffer int, answer func(b *backend, a *arrival) bool) (*backend, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		var err error
		if cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	l, err := cfg.Listen(context.Background(), "tcp", n.appAddr)
	if err != nil {
		return nil, err
	}
	b := &backend{node: n, id: id, born: unixMilli(), slots: 32, answer: answer, listener: l, stop: make(chan struct{})}
	go b.accept()
	go b.beat()
	return b, nil
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// serve serves one connection, one request at a time.
func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.URL.Path == "/health" {
			status := "200 OK"
			if b.unhealthy != nil && b.unhealthy() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, b.id)
			continue
		}
		a := &arrival{
			attempt: q.Header.Get("Attempt-Id"), caller: q.Header.Get("Caller-Service"), method: q.Method, target: q.RequestURI,
			request: q, conn: c, reader: r,
		}
		a.deadlineMs, _ = strconv.Atoi(q.Header.Get("Deadline-Ms"))
		if e := q.Header.Get("Expected-Instance"); e != "" && e != b.id {
			_, _ = io.Copy(io.Discard, q.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", a.attempt, b.id)
			continue
		}
		if !b.answer(b, a) {
			return
		}
	}
}

// head returns the head of a success with a body of the given length.
func (b *backend) head(a *arrival, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s-%s\r\nInstance-Id: %s\r\nContent-Length: %d\r\n\r\n",
		a.attempt, b.id, a.attempt, b.id, length)
}

// beat sends a heartbeat at once and then every 1.5 s.
func (b *backend) beat() {
	for {
		if !b.silent.Load() {
			_ = b.announceAs("ready", b.sequence.Add(1))
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-b.stop:
			return
		}
	}
}

// stopBeats ends the heartbeats.
func (b *backend) stopBeats() { b.silent.Store(true) }

// announceAs sends one heartbeat with the sequence and returns an error if it was not acknowledged.
func (b *backend) announceAs(state string, sequence int64) error {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":%d},`+
		`"status":{"state":%q,"sequence":%d,"coldRemainingMs":0}}`,
		b.node.appAddr, b.born, b.node.service, b.slots, state, sequence)
	return b.call("instances.heartbeat", body)
}

// deregister says that the backend leaves, until that is acknowledged.
func (b *backend) deregister() error {
	var err error
	for range 5 {
		if err = b.call("instances.deregister", fmt.Sprintf(`{"born":%d}`, b.born)); err == nil {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return err
}

// call makes one call to the node and returns an error if it was not acknowledged within a second.
func (b *backend) call(name, body string) error {
	c := http.Client{Timeout: time.Second}
	r, err := c.Post("http://"+b.node.control+"/hornbeamcroft/rpc?call="+name+"&of="+b.id, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	_ = r.Body.Close()
	if r.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	return nil
}

// close ends the backend.
func (b *backend) close() {
	b.once.Do(func() {
		close(b.stop)
		_ = b.listener.Close()
	})
}
