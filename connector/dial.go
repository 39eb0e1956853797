package connector

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/websocket"
)

// Link returns the dialed link to the address and dials if there is none. Concurrent callers share one dial. For
// redialDelay after a failed dial, it returns the error of that dial.
func (c *Connector) Link(ctx context.Context, address string) (*Link, error) {
	c.mu.Lock()
	if c.dialStates == nil {
		c.dialStates = make(map[string]*dialState)
	}
	d := c.dialStates[address]
	if d == nil {
		d = &dialState{}
		c.dialStates[address] = d
	}
	c.mu.Unlock()

	d.mu.Lock()
	defer d.mu.Unlock()
	if d.link != nil && !d.link.Ended() {
		return d.link, nil
	}
	if d.err != nil && time.Since(d.failedAt) < redialDelay {
		return nil, d.err
	}
	l, err := c.dial(ctx, address)
	if err != nil {
		d.link, d.err, d.failedAt = nil, err, time.Now()
		return nil, err
	}
	d.link, d.err = l, nil
	return l, nil
}

// DialedLink returns the open dialed link to the address, or nil if there is none or a dial is in progress. It does not
// block.
func (c *Connector) DialedLink(address string) *Link {
	c.mu.Lock()
	d := c.dialStates[address]
	c.mu.Unlock()
	if d == nil || !d.mu.TryLock() {
		return nil
	}
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
