// Package proxier forwards TCP connections on loopback and injects network faults into them on demand.
package proxier

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode selects the faults that the proxy injects. The zero value forwards all bytes.
type Mode struct {
	// Delay is the time that the proxy waits before it forwards each chunk of bytes, in both directions.
	Delay time.Duration
	// DropToTarget and DropFromTarget make the proxy read and discard the bytes that go to the target or come from it.
	// With both, the connection stays open but carries nothing.
	DropToTarget, DropFromTarget bool
	// Refuse makes the proxy reset new connections as soon as it has accepted them.
	Refuse bool
}

// Proxier forwards connections to one address. Set Target before Open. It is safe for concurrent use.
type Proxier struct {
	Target string

	mu       sync.Mutex
	mode     Mode
	listener net.Listener
	conns    map[*net.TCPConn]bool
}

// Open listens on a free port of loopback.
func (p *Proxier) Open() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listener, p.conns = l, make(map[*net.TCPConn]bool)
	go p.accept()
	return nil
}

// Address returns the address and port on which the proxy listens.
func (p *Proxier) Address() string { return p.listener.Addr().String() }

// SetMode changes the faults that the proxy injects, also into open connections.
func (p *Proxier) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *Proxier) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Reset closes all connections with a TCP reset.
func (p *Proxier) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(p.conns)
}

// Close stops listening and resets all connections.
func (p *Proxier) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxier) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *Proxier) forward(c *net.TCPConn) {
	if p.currentMode().Refuse {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	t, err := net.DialTimeout("tcp", p.Target, time.Second)
	if err != nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	target := t.(*net.TCPConn)
	p.track(c, target)
	go p.copyBytes(target, c, func(m Mode) bool { return m.DropToTarget })
	p.copyBytes(c, target, func(m Mode) bool { return m.DropFromTarget })
}

func (p *Proxier) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copyBytes copies bytes from one connection to the other. At the end of the stream it closes the write side of the
// other connection; after an error it resets both connections.
func (p *Proxier) copyBytes(to, from *net.TCPConn, drops func(Mode) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forwardChunk(to, buffer[:n], drops) {
			break
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
				return
			}
			break
		}
	}
	p.resetConn(to)
	p.resetConn(from)
}

// forwardChunk applies the current mode to one chunk of bytes. It reports false if writing failed.
func (p *Proxier) forwardChunk(to *net.TCPConn, data []byte, drops func(Mode) bool) bool {
	m := p.currentMode()
	if m.Delay > 0 {
		time.Sleep(m.Delay)
	}
	if drops(m) {
		return true
	}
	_, err := to.Write(data)
	return err == nil
}

// resetConn resets a connection unless that has been done before.
func (p *Proxier) resetConn(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c] {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(p.conns, c)
	}
}
