package finisher

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// CloseListener closes a listening socket once all connections that callers have begun to open are accepted. Others are refused as
// soon as it is closed. Its server must accept meanwhile.
func CloseListener(ctx context.Context, l net.Listener) {
	if queue, ok := newAcceptQueue(l); ok {
		queueCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		if queue.refuseHandshakes() {
			wait(ctx, handshakeTime)
		} else {
			time.AfterFunc(handshakeTime, cancel) // the queue may never be empty while handshakes go on
		}
		for queueCtx.Err() == nil && queue.length() > 0 {
			wait(queueCtx, pollInterval)
		}
	}
	_ = l.Close()
}

// IsQuiet reports whether a connection may be closed by a planned stop: no bytes have arrived on it beyond the given number, which were
// read and belong to answered requests. A new connection, on which none have arrived, must have been open for long enough to send its
// first request.
func IsQuiet(c net.Conn, received uint64, isNew bool, age time.Duration) bool {
	return (!isNew || age > firstRequestTime) && bytesReceived(c) <= received && !hasData(c)
}

// HasLeft reports whether the other side has closed the connection, even if bytes are left to read.
func HasLeft(c net.Conn) bool {
	state := uint8(0)
	control(c, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state == tcpClose || state == tcpCloseWait
}

// States of a TCP socket, as in the kernel's tcp_states.h.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)
