package dispatcher

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// upstreamConn is a connection to the upstream.
type upstreamConn struct {
	net.Conn
	// discarded is true once an answer on the connection was malformed or may belong to an earlier call. The HTTP client may hold the
	// connection as idle for a while after that, because it reuses one as soon as an answer without a body has arrived.
	discarded atomic.Bool
}

// dial opens a connection to the upstream.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the upstream")
	}
	return &upstreamConn{Conn: conn}, nil
}

// discard closes the connection and makes no call use it.
func (c *upstreamConn) discard() {
	c.discarded.Store(true)
	_ = c.Close()
}

// connUse is the connection that the HTTP client has chosen for a call.
type connUse struct {
	*upstreamConn
	// reused is true if the connection has carried another call before.
	reused bool
	// unusable is true if the connection had been discarded before the call was written to it, so that the call was not sent.
	unusable bool
}
