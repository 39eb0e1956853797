package finisher

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// acceptQueue is the queue of connections that a listening socket has completed and the server has not accepted yet.
type acceptQueue struct{ raw syscall.RawConn }

// newAcceptQueue returns the queue of a listener, or false if the listener has no socket.
func newAcceptQueue(l net.Listener) (acceptQueue, bool) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return acceptQueue{}, false
	}
	raw, err := sc.SyscallConn()
	return acceptQueue{raw}, err == nil
}

// dropSYN is a socket filter that drops the packets that begin a handshake. Byte 13 of a TCP header holds the flags.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jf: 1, K: synFlag},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: wholePacket},
}

const (
	// synFlag is the flag SYN in a TCP header.
	synFlag = 0x02
	// wholePacket is the result of a filter that keeps a packet.
	wholePacket = 1 << 18
)

// refuseHandshakes lets the socket ignore new handshakes while those that were begun go on. It returns false if the platform
// does not support that.
func (q acceptQueue) refuseHandshakes() bool {
	prog := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
	var filterErr error
	err := q.raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &prog)
	})
	return err == nil && filterErr == nil
}

// length returns the number of connections in the queue; zero if the platform does not report it.
func (q acceptQueue) length() int {
	n := 0
	_ = q.raw.Control(func(fd uintptr) {
		// For a listening socket, the field holds the length of the accept queue.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked)
		}
	})
	return n
}

// hasData reports whether bytes have arrived on the connection that were not read yet.
func hasData(c net.Conn) bool {
	n := 0
	control(c, func(fd int) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0
}

// bytesReceived returns the number of bytes that have arrived on the connection; zero if the platform does not report it.
func bytesReceived(c net.Conn) uint64 {
	n := uint64(0)
	control(c, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = info.Bytes_received
		}
	})
	return n
}

// control calls fn with the file descriptor of the connection, if it has one and is open.
func control(c net.Conn, fn func(fd int)) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { fn(int(fd)) }) // fails if the connection is closed, which track will report
}
