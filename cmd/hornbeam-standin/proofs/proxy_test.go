package proofs

import (
	"io"
	"net"
	"sync"
)

// mode determines what a proxy does with connections.
type mode int

const (
	// modeForward forwards bytes in both directions.
	modeForward mode = iota
	// modeCut closes the open connections, and new ones as soon as they are accepted.
	modeCut
	// modeSilence discards all bytes of the connections that are open when the mode is set, but keeps them open. New
	// connections work.
	modeSilence
)

// proxy is a TCP proxy between a node and its upstream.
type proxy struct {
	listener net.Listener
	target   string

	// mu guards mode and pairs.
	mu    sync.Mutex
	mode  mode
	pairs map[*connPair]bool
}

// connPair is a connection from the node and the connection to the upstream to which it is forwarded.
type connPair struct {
	client, server net.Conn
	// mu guards silent.
	mu sync.Mutex
	// silent means that bytes are discarded.
	silent bool
}

// newProxy starts a proxy to target that listens on a free port of the loopback address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, pairs: make(map[*connPair]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close stops accepting and closes all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeCut)
}

// setMode changes the mode and applies it to the open connections. Only modeCut closes connections, and a silenced
// connection stays silent in every mode.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	for c := range p.pairs {
		switch m {
		case modeCut:
			c.close()
		case modeSilence:
			c.mu.Lock()
			c.silent = true
			c.mu.Unlock()
		}
	}
}

// accept serves each connection until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

// serve forwards a connection of the node until one end closes.
func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connPair{client: client, server: server}
	p.mu.Lock()
	reject := p.mode == modeCut
	if !reject {
		p.pairs[c] = true
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pairs, c)
	}()
	defer c.close()
	if reject {
		return
	}
	go c.forward(server, client)
	c.forward(client, server)
}

// close closes both connections.
func (c *connPair) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// forward copies bytes from r to w until either fails, then closes both connections. It discards the bytes while the
// pair is silent.
func (c *connPair) forward(w io.Writer, r io.Reader) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := r.Read(buf)
		c.mu.Lock()
		discard := c.silent
		c.mu.Unlock()
		if !discard && n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
