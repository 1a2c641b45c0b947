package life

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// connection is the connection of a client.
type connection struct {
	net.Conn
	used atomic.Bool // IsFirstRequest was called for a request on it
}

// SyscallConn returns the raw connection. The error is syscall.ENOTSUP if it has none.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// withConnection returns the context of the requests on conn.
func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{Conn: conn})
}

// IsFirstRequest reports whether it is called for the first time for a request on the connection
// of the request with the given context.
func IsFirstRequest(ctx context.Context) bool {
	conn, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && conn.used.CompareAndSwap(false, true)
}

// CallerHasLeft returns a function that reports whether the caller of the request with the
// given context has closed its connection or reset it. The context of the request ends for
// the same reason, but only some time after the handler has been called: a request and the
// end of its connection may be read together, after the process has stood still. The
// function is nil if the connection can't be examined.
func CallerHasLeft(ctx context.Context) func() bool {
	conn, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	return func() bool { return peerHasClosed(raw) }
}

// peerHasClosed reports whether no more data can arrive on a connection. It does not wait
// and takes nothing from the connection, which may be being read.
func peerHasClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil && n == 0:
			closed = true
		case err == nil:
			closed = endIsQueued(int(fd))
		case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.ETIMEDOUT):
			closed = true
		}
	})
	return closed || err != nil
}

// endIsQueued reports whether the peer's end of a connection has arrived behind data that has not
// been read.
func endIsQueued(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}
