package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Causes for which a request is refused or a connection closed.
const (
	CauseConnections = "connections" // too many connections
	CauseAddress     = "address"     // too many connections from one address
	CauseBody        = "body"        // too many bytes of bodies in flight
	CauseSlow        = "slow"        // a slow body gave way to another one, or stopped
	CauseFields      = "fields"      // too many fields of headers in flight
	CauseUnread      = "unread"      // the client does not read the answers
	CauseMessage     = "message"     // a message between processes is malformed or too large
)

// Causes returns all causes.
func Causes() []string {
	return []string{CauseConnections, CauseAddress, CauseBody, CauseSlow, CauseFields, CauseUnread, CauseMessage}
}

const (
	// freeFields is the number of lines of a header that need no reservation, and fieldCost what a
	// further one costs in bytes. A line of 6 bytes costs over 100 when it is parsed.
	freeFields = 100
	fieldCost  = 160
	// freeHeader is the length of a header that needs no reservation and is always permitted.
	freeHeader = 16 << 10
	// MaxHeaderBytes bounds the limit that MaxHeader may return.
	MaxHeaderBytes = 1 << 20
	// writeTimeout is how long a client may take to make room for a part of an answer.
	writeTimeout = 20 * time.Second
)

// ErrBusy is the error of reading a body that exceeds the budget. The request is to be refused
// with status 503.
var ErrBusy = errors.New("too many bytes of requests in flight")

// Guard bounds the connections and requests of one server. The zero value has no bounds beside
// those of headers and of time. The fields must be set before use.
type Guard struct {
	Table  Table
	Bodies *Budget // may be shared by several guards; nil means no bound
	// Report is called for each refused request and closed connection; nil means nothing.
	Report func(cause string)
	// MaxHeader returns the longest permitted header in bytes, where that is more than 16 KiB; nil
	// means 16 KiB.
	MaxHeader func() int
	// NoHTTP means that the connections carry another protocol, whose server limits the length of
	// messages and the time of writes.
	NoHTTP bool

	conns sync.Map // *Conn by *Slot
}

// report reports a cause.
func (g *Guard) report(cause string) {
	if g.Report != nil {
		g.Report(cause)
	}
}

// listener is a listener that applies the limits on connections.
type listener struct {
	net.Listener
	guard *Guard
}

// Listener returns a listener that accepts the connections of ln that are within the limits. Its
// connections are of type *Conn.
func (g *Guard) Listener(ln net.Listener) net.Listener {
	g.Table.Unread = g.unread
	return listener{ln, g}
}

// unread reports whether data has arrived on the connection of a slot and has not been read.
func (g *Guard) unread(s *Slot) bool {
	value, _ := g.conns.Load(s)
	c, ok := value.(*Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}

// Accept waits for the next connection that is admitted.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn); c != nil {
			return c, nil
		}
	}
}

// admit returns a connection for conn, or nil after closing conn if a limit is reached.
func (g *Guard) admit(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, guard: g}
	if addr, err := netip.ParseAddrPort(conn.RemoteAddr().String()); err == nil {
		c.Addr = addr.Addr()
	}
	victim, limit, ok := g.Table.Admit(&c.Slot, time.Now().UnixNano())
	if limit != "" {
		g.report(limit)
	}
	if !ok {
		_ = conn.Close()
		return nil
	}
	g.conns.Store(&c.Slot, c)
	if victim != nil {
		g.closeSlot(victim)
	}
	return c
}

// closeSlot closes the connection of a slot and releases what it has reserved.
func (g *Guard) closeSlot(s *Slot) {
	if c, ok := g.conns.Load(s); ok {
		if conn, isConn := c.(*Conn); isConn {
			conn.release()
			_ = conn.Close()
		}
	}
}

// connKey is the key of the *Conn in the context of a request.
type connKey struct{}

// WithConn returns a context for the requests on conn, as http.Server.ConnContext does.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnState records that a connection waits for its next request, as http.Server.ConnState does.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.Serve()
		c.Enter(Header)
	}
}

// FinishBody records that no more of the body of a request will be read, for a handler that does
// not read it to its end. The context is that of the request.
func FinishBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.finishBody()
	}
}

// Reserve reserves bytes for what a request has been decoded to, until it has been answered. It
// reports false if they exceed the budget; the request is then to be refused with status 503. The
// context is that of the request. Without a Guard, Reserve reports true.
func Reserve(ctx context.Context, bytes int64) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return !ok || bytes <= freeBytes || c.reserve(bytes)
}
