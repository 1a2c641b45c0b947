package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/codec"
)

// acceptRetryInterval is the time between two attempts to accept a connection after an error.
const acceptRetryInterval = 10 * time.Millisecond

// Server serves net/rpc methods at one TCP address. It implements the Server interface
// of kratos transports. It must be made by Listen.
type Server struct {
	ln  net.Listener
	rpc *rpc.Server

	limits Limits
	calls  *calls

	traffic atomic.Int64 // bytes sent and received

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Listen binds addr and returns a server for the methods of the receivers. The keys of
// receivers are the names under which they are called. The server accepts no
// connections before Start.
func Listen(addr string, receivers map[string]any) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, rpc: rpc.NewServer(), calls: newCalls(), conns: map[net.Conn]struct{}{}}
	for name, receiver := range receivers {
		if err := s.rpc.RegisterName(name, receiver); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Addr returns the address that the server is bound to.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Traffic returns the number of bytes sent and received so far.
func (s *Server) Traffic() int64 { return s.traffic.Load() }

// Start accepts and serves connections until Stop. It always returns nil.
func (s *Server) Start(context.Context) error {
	for {
		conn, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Descriptors may have run out. To return would end the process.
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.add(conn)
		go s.serve(conn)
	}
}

// Stop closes the listener and all connections. This interrupts calls in progress; the
// caller must first wait for those that have to complete.
func (s *Server) Stop(context.Context) error {
	err := s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return err
}

func (s *Server) serve(conn net.Conn) {
	limits := s.limits.Limits
	limits.SetReadDeadline = conn.SetReadDeadline
	inner := codec.NewLimitedServer(monitoredConn{conn, &s.traffic}, limits)
	s.rpc.ServeCodec(newLimitedCodec(inner, conn, &s.limits, s.calls))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}
