// Package proxier forwards TCP connections on loopback and disturbs them on demand.
package proxier

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what the proxy does with the bytes of its connections.
type Mode struct {
	// Delay is added to each piece of bytes, in both directions.
	Delay time.Duration
	// DropThere and DropBack read and discard the bytes of one direction; with both the connection is silent.
	DropThere, DropBack bool
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxier forwards connections to one address. Set the exported fields before Open. It is safe for concurrent use.
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

// Address returns where the proxy listens.
func (p *Proxier) Address() string { return p.listener.Addr().String() }

// Set changes what the proxy does.
func (p *Proxier) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *Proxier) get() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Reset breaks all connections with a reset.
func (p *Proxier) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(p.conns)
}

// Close ends the proxy and its connections.
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
	if p.get().Refuse {
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
	go p.pump(target, c, func(m Mode) bool { return m.DropThere })
	p.pump(c, target, func(m Mode) bool { return m.DropBack })
}

func (p *Proxier) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// pump copies bytes until one side ends, and passes on whether the end was orderly.
func (p *Proxier) pump(to, from *net.TCPConn, drops func(Mode) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(to, buffer[:n], drops) {
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
	p.drop(to)
	p.drop(from)
}

func (p *Proxier) pass(to *net.TCPConn, data []byte, drops func(Mode) bool) bool {
	m := p.get()
	if m.Delay > 0 {
		time.Sleep(m.Delay)
	}
	if drops(m) {
		return true
	}
	_, err := to.Write(data)
	return err == nil
}

func (p *Proxier) drop(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[c] {
		_ = c.SetLinger(0)
		_ = c.Close()
		delete(p.conns, c)
	}
}
