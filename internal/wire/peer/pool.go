package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/codec"
)

const (
	dialTimeout  = 500 * time.Millisecond // longest time to open a connection
	writeTimeout = 2 * time.Second        // longest time of one write, in case the peer does not read
)

// Errors returned by Pool.Call.
var (
	// ErrNotSent means that the call was not sent, and so can't have arrived.
	ErrNotSent = merry.Sentinel("call not sent")
	// ErrRefused means that the address refused the connection. It is an ErrNotSent.
	ErrRefused = merry.Sentinel("connection refused", merry.WithCause(ErrNotSent))
	// ErrBroken means that the connection failed before the reply. The call may have
	// arrived.
	ErrBroken = merry.Sentinel("connection broken")
	// ErrDeadlinePassed means that the context ended before the reply. The call may
	// have arrived.
	ErrDeadlinePassed = merry.Sentinel("no reply before the deadline")
)

// Pool makes calls and keeps one connection to each address that it calls. The zero
// value is ready for use. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	traffic atomic.Int64 // bytes sent and received

	mu          sync.Mutex
	connections map[string]*connection
}

// Traffic returns the number of bytes sent and received so far.
func (p *Pool) Traffic() int64 { return p.traffic.Load() }

// connection holds the client that is connected to one address, if there is one.
type connection struct {
	mu     sync.Mutex
	client *rpc.Client // nil if not connected
}

// Call calls method at addr and waits for the reply until ctx ends. An error returned
// by the method itself is an rpc.ServerError; for others see ErrNotSent, ErrBroken and
// ErrDeadlinePassed. After an error the caller must not use args or reply again, since
// net/rpc may still be using them.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	conn := p.connection(addr)
	for {
		client, isNew, err := p.connect(ctx, conn, addr)
		if err != nil {
			return err
		}
		err = call(ctx, client, method, args, reply)
		if !errors.Is(err, errNotWritten) {
			return err
		}
		conn.drop(client)
		if isNew {
			return merry.Append(ErrNotSent, "new connection was closed before the call was written")
		}
	}
}

// Drop closes the connection to addr, so that the next call opens a new one. It is
// meant for connections that no longer carry data although new ones would work. Calls
// in progress on the connection fail with ErrBroken.
func (p *Pool) Drop(addr string) {
	conn := p.connection(addr)
	conn.mu.Lock()
	client := conn.client
	conn.mu.Unlock()
	conn.drop(client)
}

// errNotWritten means that the connection was closed before the call was written.
var errNotWritten = merry.Sentinel("call not written")

// trackedArgs holds the arguments of a call and records whether writing them has begun.
// This is needed since net/rpc returns ErrShutdown both for calls that it did not write
// and, if the connection ends while it is being closed, for calls that the peer may
// have received.
type trackedArgs struct {
	args         any
	writeStarted atomic.Bool
}

// trackingCodec sets writeStarted in the trackedArgs of each call that it writes.
type trackingCodec struct{ rpc.ClientCodec }

// WriteRequest writes a call whose arguments are trackedArgs.
func (c trackingCodec) WriteRequest(r *rpc.Request, body any) error {
	if tracked, ok := body.(*trackedArgs); ok {
		tracked.writeStarted.Store(true)
		body = tracked.args
	}
	return c.ClientCodec.WriteRequest(r, body)
}

// call makes one call through client. It returns errNotWritten if the call was not
// written and may be repeated on a new connection.
func call(ctx context.Context, client *rpc.Client, method string, args, reply any) error {
	tracked := &trackedArgs{args: args}
	done := make(chan *rpc.Call, 1)
	go client.Go(method, tracked, reply, done)
	select {
	case c := <-done:
		return classify(c.Error, tracked.writeStarted.Load())
	case <-ctx.Done():
		return ErrDeadlinePassed
	}
}

// classify returns the error of Call for an error of net/rpc. The parameter
// writeStarted says whether writing the call had begun.
func classify(err error, writeStarted bool) error {
	var serverErr rpc.ServerError
	switch {
	case err == nil, errors.As(err, &serverErr):
		return err
	case !writeStarted && errors.Is(err, rpc.ErrShutdown):
		return errNotWritten
	}
	return merry.Append(ErrBroken, err.Error())
}

// connection returns the connection to addr, which may not be open yet.
func (p *Pool) connection(addr string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.connections[addr]
	if !ok {
		if p.connections == nil {
			p.connections = map[string]*connection{}
		}
		conn = &connection{}
		p.connections[addr] = conn
	}
	return conn
}

// connect returns the client of c and reports whether this call opened the connection.
func (p *Pool) connect(ctx context.Context, c *connection, addr string) (*rpc.Client, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		return c.client, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, false, ErrRefused
	}
	if err != nil {
		return nil, false, merry.Append(ErrNotSent, err.Error())
	}
	c.client = rpc.NewClientWithCodec(trackingCodec{codec.NewClient(monitoredConn{conn, &p.traffic})})
	return c.client, true, nil
}

// dial opens a network connection to addr.
func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// monitoredConn counts the bytes sent and received, and makes a write fail if the peer
// stops reading.
type monitoredConn struct {
	net.Conn
	traffic *atomic.Int64 // bytes sent and received
}

// Read reads into b and counts the bytes.
func (c monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Add(int64(n))
	return n, err
}

// Write writes b and counts the bytes. It fails after writeTimeout.
func (c monitoredConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.Add(int64(n))
	return n, err
}

// drop closes client, and makes the next call open a new connection unless that has
// happened already.
func (c *connection) drop(client *rpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}
