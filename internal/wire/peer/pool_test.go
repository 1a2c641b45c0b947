package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// resetConn is a connection that accepts all writes and whose reads return io.EOF once
// it is closed. A connection behaves so if another call has already seen its reset.
type resetConn struct {
	net.Conn
	written chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func newResetConn() *resetConn {
	end, _ := net.Pipe()
	return &resetConn{Conn: end, written: make(chan struct{}, 8), closed: make(chan struct{})}
}

func (c *resetConn) Write(p []byte) (int, error) {
	c.written <- struct{}{}
	return len(p), nil
}

func (c *resetConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, io.EOF
}

func (c *resetConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// A call that was written may have arrived. Call must not report it as not sent if the
// connection ends while Drop is closing it, and must not make it again.
func TestCallThatWasWrittenIsNeverNotSent(t *testing.T) {
	conn := newResetConn()
	dials := 0
	p := &Pool{Dial: func(context.Context, string) (net.Conn, error) {
		dials++
		if dials > 1 {
			return nil, merry.New("address unreachable")
		}
		return conn, nil
	}}
	errs := make(chan error, 1)
	go func() { errs <- p.Call(context.Background(), "a", "Gate.Take", &msgs.Task{}, &msgs.TaskReply{}) }()
	<-conn.written
	p.Drop("a")
	if err := <-errs; !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
		t.Errorf("got error %v, want ErrBroken", err)
	}
	if dials != 1 {
		t.Errorf("got %d connections for a call that was written, want 1", dials)
	}
}
