package upstream

import (
	"context"
	"net"
	"sync"
)

// gate accepts at most a number of connections and remembers which of the open ones were silenced.
type gate struct {
	net.Listener
	max int

	mu   sync.Mutex
	open map[*gateConn]bool
}

// gateConn is an accepted connection. After silence is closed, requests that arrive on it are never answered, while
// the connection stays open.
type gateConn struct {
	net.Conn
	gate    *gate
	once    sync.Once
	silence chan struct{}
}

type connKey struct{}

func newGate(l net.Listener, limit int) *gate {
	return &gate{Listener: l, max: limit, open: make(map[*gateConn]bool)}
}

// Accept closes connections beyond the limit at once, as a full accept queue would.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		full := len(g.open) >= g.max
		gc := &gateConn{Conn: c, gate: g, silence: make(chan struct{})}
		if !full {
			g.open[gc] = true
		}
		g.mu.Unlock()
		if !full {
			return gc, nil
		}
		_ = c.Close()
	}
}

// silenceOpen silences the connections that are open now and returns their number.
func (g *gate) silenceOpen() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		c.once.Do(func() { close(c.silence) })
	}
	return len(g.open)
}

// Close removes the connection from the count.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.open, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// silenced returns a channel that is closed when the connection of ctx goes silent.
func silenced(ctx context.Context) <-chan struct{} {
	if c, ok := ctx.Value(connKey{}).(*gateConn); ok {
		return c.silence
	}
	return nil
}
