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

// resetConn takes what is written, and ends what is read once it is closed, as a
// connection does whose reset another call has seen already.
type resetConn struct {
	net.Conn
	wrote  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newResetConn() *resetConn {
	one, _ := net.Pipe()
	return &resetConn{Conn: one, wrote: make(chan struct{}, 8), closed: make(chan struct{})}
}

func (c *resetConn) Write(p []byte) (int, error) {
	c.wrote <- struct{}{}
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

// A call that was written may have arrived, also if the connection ends just while
// it is being closed, and whatever becomes of a further try.
func TestCallThatWasWrittenIsNeverNotSent(t *testing.T) {
	conn := newResetConn()
	dials := 0
	p := &Pool{Dial: func(context.Context, string) (net.Conn, error) {
		dials++
		if dials > 1 {
			return nil, merry.New("no way there")
		}
		return conn, nil
	}}
	errs := make(chan error, 1)
	go func() { errs <- p.Call(context.Background(), "a", "Gate.Take", &msgs.Task{}, &msgs.TaskReply{}) }()
	<-conn.wrote
	p.Drop("a")
	if err := <-errs; !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
	if dials != 1 {
		t.Errorf("%d connections for a call that was written", dials)
	}
}
