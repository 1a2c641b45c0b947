package peer

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/codec"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// slowService holds its calls until they are released.
type slowService struct {
	calls   atomic.Int64
	release chan struct{}
}

// Watch waits for the release.
func (s *slowService) Watch(*msgs.Watch, *msgs.Empty) error {
	s.calls.Add(1)
	<-s.release
	return nil
}

// serveSlow serves a slowService with limits and returns it with its address.
func serveSlow(t *testing.T, limits Limits) (*slowService, string) {
	t.Helper()
	service := &slowService{release: make(chan struct{})}
	srv, err := Listen("127.0.0.1:0", map[string]any{"Slow": service})
	if err != nil {
		t.Fatal(err)
	}
	srv.SetLimits(limits)
	go func() { _ = srv.Start(context.Background()) }()
	t.Cleanup(func() { _ = srv.Stop(context.Background()) })
	return service, srv.Addr()
}

// dialRaw opens a connection and writes data to it.
func dialRaw(t *testing.T, addr string, data []byte) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
	return conn
}

// slowCall is a call of slowService.
var slowCall = []byte("\x92\xaaSlow.Watch\x01\x90")

// A client that makes many calls at once must not use up the calls of others.
func TestCallsBeyondLimitLeaveRoomForOthers(t *testing.T) {
	service, addr := serveSlow(t, Limits{Calls: 20})
	dialRaw(t, addr, bytes.Repeat(slowCall, 1000))
	for service.calls.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	pool := &Pool{}
	go func() { _ = pool.Call(t.Context(), addr, "Slow.Watch", &msgs.Watch{}, &msgs.Empty{}) }()
	for service.calls.Load() < 21 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if n := service.calls.Load(); n != 21 {
		t.Errorf("%d calls in progress", n)
	}
	close(service.release)
	for service.calls.Load() < 1001 {
		time.Sleep(time.Millisecond)
	}
}

// A connection whose message breaks the limits must be closed, and reported once.
func TestMalformedMessageClosesConnection(t *testing.T) {
	var reports atomic.Int64
	_, addr := serveSlow(t, Limits{Limits: codec.Limits{MaxMessage: 1 << 20}, OnMessage: func() { reports.Add(1) }})
	for _, data := range [][]byte{{0xc1}, []byte("\x92\xdb\x40\x00\x00\x00"), bytes.Repeat([]byte{0x91}, 100)} {
		conn := dialRaw(t, addr, data)
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("% x was answered", data)
		}
	}
	if n := reports.Load(); n != 3 {
		t.Errorf("%d reports", n)
	}
}

// Each call of a client that reads no replies otherwise keeps a goroutine.
func TestUnreadRepliesCloseConnection(t *testing.T) {
	var reports atomic.Int64
	service, addr := serveSlow(t, Limits{OnUnread: func() { reports.Add(1) }})
	close(service.release)
	before := runtime.NumGoroutine()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	// The connection is closed once the buffers of both sockets are full.
	many := bytes.Repeat(slowCall, 10_000)
	for err == nil {
		_, err = conn.Write(many)
	}
	for reports.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for runtime.NumGoroutine() > before+20 {
		time.Sleep(time.Millisecond)
	}
}
