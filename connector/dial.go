package connector

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
)

// Link returns the dialed link to the address and dials if there is none. It waits until ctx ends. Concurrent callers share one
// dial, which does not end with the context of any of them. For redialDelay after a failed dial, it returns the error of that dial.
func (c *Connector) Link(ctx context.Context, address string) (*Link, error) {
	d := c.dialState(address)
	d.mu.Lock()
	if d.link != nil && !d.link.Ended() {
		defer d.mu.Unlock()
		return d.link, nil
	}
	if d.err != nil && time.Since(d.failedAt) < redialDelay {
		defer d.mu.Unlock()
		return nil, d.err
	}
	if d.running == nil {
		d.running = &dial{done: make(chan struct{})}
		go c.runDial(context.WithoutCancel(ctx), address, d, d.running)
	}
	running := d.running
	d.mu.Unlock()
	select {
	case <-running.done:
		return running.link, running.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "dial")
	}
}

// dialState returns the state of the address.
func (c *Connector) dialState(address string) *dialState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dialStates == nil {
		c.dialStates = make(map[string]*dialState)
	}
	d := c.dialStates[address]
	if d == nil {
		d = &dialState{}
		c.dialStates[address] = d
	}
	return d
}

// runDial dials the address and wakes the callers that wait for the link.
func (c *Connector) runDial(ctx context.Context, address string, d *dialState, running *dial) {
	running.link, running.err = c.dial(ctx, address)
	d.mu.Lock()
	d.running = nil
	d.link, d.err = running.link, running.err
	if d.err != nil {
		d.failedAt = time.Now()
	}
	d.mu.Unlock()
	close(running.done)
}

// DialedLink returns the open dialed link to the address, or nil if there is none or a dial is in progress. It does not
// block.
func (c *Connector) DialedLink(address string) *Link {
	c.mu.Lock()
	d := c.dialStates[address]
	c.mu.Unlock()
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.link == nil || d.link.Ended() {
		return nil
	}
	return d.link
}

func (c *Connector) dial(ctx context.Context, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dialer := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   4096,
		WriteBufferSize:  4096,
		WriteBufferPool:  upgrader.WriteBufferPool,
		TLSClientConfig:  c.TLS,
		NetDialContext:   (&net.Dialer{Timeout: handshakeTimeout}).DialContext,
	}
	scheme := "ws"
	if c.TLS != nil {
		scheme = "wss"
	}
	conn, resp, err := dialer.DialContext(ctx, scheme+"://"+address+"/link", nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return c.startLink(conn, true)
}
