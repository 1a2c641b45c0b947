package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
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
func (g *Guard) Listener(ln net.Listener) net.Listener { return listener{ln, g} }

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

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	Slot

	guard *Guard
	// Lines and bytes of the header that is being read, as far as they are reserved or free.
	lines, headerBytes int
	headerEnded        bool
	lastHeader         atomic.Int64 // bytes of the latest header that ended
	body               body
	once               sync.Once
}

// Read reads from the connection. It fails if a header has too many fields.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.Progress(time.Now().UnixNano())
	if c.guard.NoHTTP || c.Phase() != Header {
		c.lines, c.headerEnded = 0, true
	} else if !c.readHeader(p[:n]) {
		c.guard.report(CauseFields)
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// readHeader reserves what the lines of a part of a header cost, and reports whether it could.
func (c *Conn) readHeader(data []byte) bool {
	if c.headerEnded {
		c.lines, c.headerBytes, c.headerEnded = 0, 0, false
	}
	lines, bytes, ended := headerLines(data)
	cost := max(c.lines+lines-max(c.lines, freeFields), 0)*fieldCost + max(c.headerBytes+bytes-max(c.headerBytes, freeHeader), 0)*bodyCost
	if cost > 0 && !c.reserve(int64(cost)) {
		return false
	}
	c.lines, c.headerBytes, c.headerEnded = c.lines+lines, c.headerBytes+bytes, ended
	if ended {
		c.lastHeader.Store(int64(c.headerBytes))
	}
	return true
}

// Write writes to the connection. It fails if the client does not read.
func (c *Conn) Write(p []byte) (int, error) {
	if c.guard.NoHTTP {
		return c.Conn.Write(p)
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.guard.report(CauseUnread)
		_ = c.Close()
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.release()
	c.once.Do(func() {
		c.guard.Table.Remove(&c.Slot)
		c.guard.conns.Delete(&c.Slot)
	})
	return c.Conn.Close()
}

// SetBusy records whether calls are in progress on a connection that carries no HTTP.
func (c *Conn) SetBusy(busy bool) {
	if busy {
		c.Enter(Working)
		return
	}
	c.Enter(Header)
}

// CloseWrite closes the side of the connection that sends, as net/http does to let the client
// read an answer before a reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return syscall.ENOTSUP
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}

// release releases the bytes that are reserved for the connection.
func (c *Conn) release() {
	if n := c.reserved.Swap(0); n > 0 {
		c.guard.Bodies.Release(n)
	}
}

// reserve reserves bytes for the connection until its request has been answered. If there are too
// few, the slowest body gives way.
func (c *Conn) reserve(n int64) bool {
	b := c.guard.Bodies
	if b == nil {
		return true
	}
	for !b.Reserve(n, c.reserved.Load()) {
		victim := c.guard.Table.SlowestBody(time.Now().UnixNano())
		if victim == nil || victim == &c.Slot {
			c.guard.report(CauseBody)
			return false
		}
		c.guard.report(CauseSlow)
		c.guard.closeSlot(victim)
	}
	c.reserved.Add(n)
	return true
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
