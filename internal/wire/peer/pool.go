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
	dialTimeout  = 500 * time.Millisecond // longest wait for a connection
	writeTimeout = 2 * time.Second        // longest wait for a peer that does not read
)

// Errors of Call.
var (
	// ErrNotSent means that the call did not leave this process.
	ErrNotSent = merry.Sentinel("call not sent")
	// ErrRefused is an ErrNotSent whose address refused the connection.
	ErrRefused = merry.Sentinel("connection refused", merry.WithCause(ErrNotSent))
	// ErrBroken means that the call may have arrived, but no reply did.
	ErrBroken = merry.Sentinel("connection broken")
	// ErrLate means that the deadline passed before the reply.
	ErrDeadlinePassed = merry.Sentinel("no reply before the deadline")
)

// Pool keeps one connection to each address it calls. The zero value is ready
// for use. It is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	traffic atomic.Int64

	mu    sync.Mutex
	lines map[string]*line
}

// Traffic returns the bytes sent and received so far.
func (p *Pool) Traffic() int64 { return p.traffic.Load() }

// line is the connection to one address.
type line struct {
	mu     sync.Mutex
	client *rpc.Client
}

// Call calls method at addr and waits for the reply until ctx ends. An error
// that the method itself returned comes back as rpc.ServerError. After an error
// neither args nor reply may be used again, since both may still be in use here.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	l := p.line(addr)
	for {
		client, fresh, err := p.open(ctx, l, addr)
		if err != nil {
			return err
		}
		err = call(ctx, client, method, args, reply)
		if !errors.Is(err, errUnwritten) {
			return err
		}
		l.drop(client)
		if fresh {
			return merry.Append(ErrNotSent, "connection closed at once")
		}
	}
}

// Drop closes the connection to addr, so that the next call opens another. A
// connection may have gone silent for good while new ones work. Calls in
// progress on it fail with ErrBroken.
func (p *Pool) Drop(addr string) {
	l := p.line(addr)
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	l.drop(client)
}

// errUnwritten means that the connection was closed before the call was written.
var errUnwritten = merry.Sentinel("call not written")

// outgoing is the arguments of a call, and whether they were about to be written.
// net/rpc reports ErrShutdown both for calls that it did not write and, where the
// connection ends while it is being closed, for calls that the peer may have.
type outgoing struct {
	args  any
	begun atomic.Bool
}

// notingCodec notes which calls are written.
type notingCodec struct{ rpc.ClientCodec }

// WriteRequest writes a call.
func (c notingCodec) WriteRequest(r *rpc.Request, body any) error {
	if o, ok := body.(*outgoing); ok {
		o.begun.Store(true)
		body = o.args
	}
	return c.ClientCodec.WriteRequest(r, body)
}

func call(ctx context.Context, client *rpc.Client, method string, args, reply any) error {
	o := &outgoing{args: args}
	done := make(chan *rpc.Call, 1)
	go client.Go(method, o, reply, done)
	select {
	case c := <-done:
		return classify(c.Error, o.begun.Load())
	case <-ctx.Done():
		return ErrDeadlinePassed
	}
}

// classify returns the error of a call that was or was not about to be written.
func classify(err error, begun bool) error {
	var own rpc.ServerError
	switch {
	case err == nil, errors.As(err, &own):
		return err
	case !begun && errors.Is(err, rpc.ErrShutdown):
		return errUnwritten
	}
	return merry.Append(ErrBroken, err.Error())
}

func (p *Pool) line(addr string) *line {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.lines[addr]
	if !ok {
		if p.lines == nil {
			p.lines = map[string]*line{}
		}
		l = &line{}
		p.lines[addr] = l
	}
	return l
}

// open returns the line's client and whether it was opened just now.
func (p *Pool) open(ctx context.Context, l *line, addr string) (*rpc.Client, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, false, nil
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
	l.client = rpc.NewClientWithCodec(notingCodec{codec.NewClient(boundedConn{conn, &p.traffic})})
	return l.client, true, nil
}

func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, addr)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// boundedConn breaks a connection whose other end stops reading, and counts the
// bytes that pass.
type boundedConn struct {
	net.Conn
	traffic *atomic.Int64
}

// Read reads into b.
func (c boundedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Add(int64(n))
	return n, err
}

// Write writes b, or fails after writeTimeout.
func (c boundedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.Add(int64(n))
	return n, err
}

func (l *line) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}
