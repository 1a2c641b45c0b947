package peer

import (
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/codec"
)

const (
	// maxUnread is the number of calls in progress on a connection from which on no further call
	// is read while a reply is being written. A client that makes calls and reads no replies
	// otherwise adds a goroutine for each.
	maxUnread = 128
	// unreadTime is how long a reply is being written before the connection counts as one whose
	// client does not read.
	unreadTime = 100 * time.Millisecond
	// freeCalls is the number of calls that each connection may have in progress while those of all
	// connections together have reached their limit.
	freeCalls = 16
)

// Limits bound what the clients of a Server can make it hold. Zero fields mean no bound.
type Limits struct {
	codec.Limits
	// Calls is the number of calls in progress from which on a connection with more than freeCalls
	// waits with its next one.
	Calls int
	// Listener returns a listener that limits the connections of the given one.
	Listener func(net.Listener) net.Listener
	// OnMessage is called when a connection is closed for a message that is malformed or too large.
	OnMessage func()
	// OnUnread is called when a connection is closed because the client does not read.
	OnUnread func()
}

// SetLimits sets the limits. It must be called before Start.
func (s *Server) SetLimits(l Limits) {
	s.limits = l
	if l.Listener != nil {
		s.ln = l.Listener(s.ln)
	}
}

// calls counts the calls in progress on all connections of a server.
type calls struct {
	mu      sync.Mutex
	ended   sync.Cond
	count   int
	waiting int
}

func newCalls() *calls {
	c := &calls{}
	c.ended.L = &c.mu
	return c
}

// awaitRoom waits until fewer calls than the limit are in progress, or the connection has failed;
// 0 is no limit.
func (c *calls) awaitRoom(limit int, failed *atomic.Bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for limit > 0 && c.count >= limit && !failed.Load() {
		c.waiting++
		c.ended.Wait()
		c.waiting--
	}
}

func (c *calls) begin() {
	c.mu.Lock()
	c.count++
	c.mu.Unlock()
}

func (c *calls) end() {
	c.mu.Lock()
	c.count--
	c.mu.Unlock()
	c.wake()
}

// wake makes those that wait for room look again. One of them may have no further call, so all are
// woken.
func (c *calls) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting > 0 {
		c.ended.Broadcast()
	}
}

// limitedCodec limits the calls in progress on a connection.
type limitedCodec struct {
	rpc.ServerCodec
	conn   net.Conn
	limits *Limits
	calls  *calls

	mu       sync.Mutex
	changed  sync.Cond // a reply has been written, or the connection has failed
	inFlight int       // calls without a reply
	writing  bool
	replies  int // that have been begun
	failed   atomic.Bool
}

func newLimitedCodec(inner rpc.ServerCodec, conn net.Conn, limits *Limits, all *calls) *limitedCodec {
	c := &limitedCodec{ServerCodec: inner, conn: conn, limits: limits, calls: all}
	c.changed.L = &c.mu
	return c
}

// ReadRequestHeader reads the header of the next call, once there are few enough in progress.
func (c *limitedCodec) ReadRequestHeader(r *rpc.Request) error {
	c.mu.Lock()
	for !c.failed.Load() && c.inFlight >= maxUnread && c.writing {
		c.changed.Wait()
	}
	inFlight := c.inFlight
	c.mu.Unlock()
	if inFlight >= freeCalls {
		c.calls.awaitRoom(c.limits.Calls, &c.failed)
	}
	if err := c.ServerCodec.ReadRequestHeader(r); err != nil {
		return c.checkMessage(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls.begin()
	if c.inFlight++; c.inFlight == 1 {
		c.setBusy(true)
	}
	return nil
}

// ReadRequestBody reads the body of a call. The body is nil for a method that does not exist.
func (c *limitedCodec) ReadRequestBody(body any) error {
	err := c.checkMessage(c.ServerCodec.ReadRequestBody(body))
	if s, ok := c.conn.(interface{ Serve() }); ok && err == nil && body != nil {
		s.Serve()
	}
	return err
}

// checkMessage closes the connection after a message that breaks the limits, and returns err.
func (c *limitedCodec) checkMessage(err error) error {
	if errors.Is(err, codec.ErrMalformed) || errors.Is(err, codec.ErrTooLarge) {
		if c.limits.OnMessage != nil {
			c.limits.OnMessage()
		}
		c.fail()
	}
	return err
}

// WriteResponse sends a reply. If the client does not read it, the connection is closed.
func (c *limitedCodec) WriteResponse(r *rpc.Response, body any) error {
	c.mu.Lock()
	c.writing = true
	c.replies++
	many, reply := c.inFlight > freeCalls, c.replies
	c.mu.Unlock()
	if many {
		defer time.AfterFunc(unreadTime, func() { c.countAsIdle(reply) }).Stop()
	}
	err := c.ServerCodec.WriteResponse(r, body)
	c.calls.end()
	c.mu.Lock()
	c.writing = false
	if c.inFlight--; c.inFlight == 0 || many {
		c.setBusy(c.inFlight > 0)
	}
	first := err != nil && !c.failed.Load()
	c.changed.Broadcast()
	c.mu.Unlock()
	if first {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.limits.OnUnread != nil {
			c.limits.OnUnread()
		}
		c.fail()
	}
	return err
}

// countAsIdle lets the connection count as idle if the given reply is still being written: its
// client does not read.
func (c *limitedCodec) countAsIdle(reply int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing && c.replies == reply {
		c.setBusy(false)
	}
}

// setBusy tells the connection whether calls are in progress.
func (c *limitedCodec) setBusy(busy bool) {
	if b, ok := c.conn.(interface{ SetBusy(bool) }); ok {
		b.SetBusy(busy)
	}
}

// fail closes the connection. Its calls in progress go on without a reply.
func (c *limitedCodec) fail() {
	c.failed.Store(true)
	c.mu.Lock()
	c.changed.Broadcast()
	c.mu.Unlock()
	c.calls.wake()
	_ = c.conn.Close()
}
