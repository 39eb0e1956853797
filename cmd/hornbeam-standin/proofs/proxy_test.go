package proofs

import (
	"io"
	"net"
	"sync"
)

// mode says what a proxy does with connections.
type mode int

const (
	// pass copies bytes both ways.
	pass mode = iota
	// cut closes open connections and refuses new ones by closing them at once.
	cut
	// silent keeps the connections open that were open when it was set, and passes no more bytes on them; new ones work.
	silent
)

// proxy is a TCP proxy between a node and its upstream.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	pairs map[*pair]bool
}

type pair struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, pairs: make(map[*pair]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(cut)
}

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.pairs {
		switch m {
		case cut:
			c.close()
		case silent:
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		}
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	refused := p.mode == cut
	if !refused {
		p.pairs[c] = true
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pairs, c)
	}()
	defer c.close()
	if refused {
		return
	}
	go c.copy(server, client)
	c.copy(client, server)
}

func (c *pair) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// copy passes bytes on until an end closes; a silent pair drops them.
func (c *pair) copy(w io.Writer, r io.Reader) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		c.mu.Lock()
		drop := c.silent
		c.mu.Unlock()
		if !drop && n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
