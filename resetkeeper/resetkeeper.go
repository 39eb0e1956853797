// Package resetkeeper makes the reads of a TCP connection see that it broke off. The kernel tells of a reset or a timeout once, to the call
// that comes first. If that is a write, reads get the end of the stream, as if the other side had ended it, and a body that ends with its
// connection counts as whole.
package resetkeeper

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// ResetKeeper is a connection whose reads return io.EOF only if the other side has ended the stream.
type ResetKeeper struct {
	// Conn must be set before the first read or write.
	net.Conn

	// received is the number of bytes that reads have returned. Only the reader uses it.
	received uint64
	// writing is held while a write runs, and guards failure.
	writing sync.Mutex
	// failure is the first error of a write that ended the connection; nil if there is none.
	failure error
}

// DialContext returns a function for http.Transport that opens connections with the dialer.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &ResetKeeper{Conn: conn}, nil
	}
}

// Write implements net.Conn.
func (k *ResetKeeper) Write(p []byte) (int, error) {
	k.writing.Lock()
	defer k.writing.Unlock()
	n, err := k.Conn.Write(p)
	if k.failure == nil && endsConn(err) {
		k.failure = err
	}
	return n, err
}

// endsConn reports whether an error of a write tells of the end of the connection. Its deadline does not, nor does a connection that
// this process has closed.
func endsConn(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn. It returns the error of the write that was told that the connection broke off. A read that finds the end of the
// stream ends a write that runs, because no answer can follow.
func (k *ResetKeeper) Read(p []byte) (int, error) {
	n, err := k.Conn.Read(p)
	k.received += uint64(n)
	if err != io.EOF {
		return n, err
	}
	if failure := k.writeFailure(); failure != nil && !k.ended(failure) {
		return n, errors.Wrap(failure, "connection broke off while it was written to")
	}
	return n, io.EOF
}

// writeFailure returns the error with which a write has ended the connection, or nil. A write that may have been told of the end, but has
// not returned yet, is awaited; its deadline ends it if the other side takes no more bytes.
func (k *ResetKeeper) writeFailure() error {
	if !k.writing.TryLock() {
		_ = k.Conn.SetWriteDeadline(time.Now()) // fails only if the connection is closed, as the write then does
		k.writing.Lock()
	}
	defer k.writing.Unlock()
	return k.failure
}

// ended reports whether the other side had ended the stream before a write failed.
func (k *ResetKeeper) ended(failure error) bool {
	// The kernel reports a reset behind the end of the stream as a broken pipe. Other errors do not tell, but it counts the end as a byte.
	return errors.Is(failure, unix.EPIPE) || k.bytesArrived() == k.received+1
}

// bytesArrived returns the number of bytes that have arrived on the connection; zero if the platform does not report it.
func (k *ResetKeeper) bytesArrived() (n uint64) {
	raw, err := k.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = info.Bytes_received
		}
	})
	return n
}

// SyscallConn implements syscall.Conn. It returns an error if the connection is not one of the operating system.
func (k *ResetKeeper) SyscallConn() (syscall.RawConn, error) {
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("not a connection of the operating system")
	}
	return sc.SyscallConn()
}
