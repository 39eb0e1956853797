package upstream

import (
	"context"
	"net"
	"sync"
)

// limitListener is a listener that limits the number of open connections and can silence those that are open.
type limitListener struct {
	net.Listener
	max int

	// mu guards open.
	mu   sync.Mutex
	open map[*trackedConn]bool
}

// trackedConn is a connection accepted by a limitListener. Once the channel silence is closed, requests on the
// connection are no longer answered, while the connection stays open.
type trackedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
	silence  chan struct{}
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// newLimitListener returns a listener that accepts at most limit open connections from l.
func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, max: limit, open: make(map[*trackedConn]bool)}
}

// Accept returns the next connection within the limit. It closes connections beyond the limit immediately, to simulate
// a server whose accept queue is full.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		full := len(l.open) >= l.max
		tracked := &trackedConn{Conn: c, listener: l, silence: make(chan struct{})}
		if !full {
			l.open[tracked] = true
		}
		l.mu.Unlock()
		if !full {
			return tracked, nil
		}
		_ = c.Close()
	}
}

// silenceOpen silences all connections that are open now and returns their number.
func (l *limitListener) silenceOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.once.Do(func() { close(c.silence) })
	}
	return len(l.open)
}

// Close closes the connection, which no longer counts against the limit.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// withConn returns ctx with the connection c, for silenced.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// silenced returns a channel that is closed when the connection of ctx is silenced. The channel is nil if ctx has no
// such connection.
func silenced(ctx context.Context) <-chan struct{} {
	if c, ok := ctx.Value(connContextKey{}).(*trackedConn); ok {
		return c.silence
	}
	return nil
}
