package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A process that was short of processor time opened new connections whenever an answer was late,
// which cost it more of that time.
func TestSlowConnectionIsKeptAndSilentOneIsNot(t *testing.T) {
	service, addr := serveSlow(t, Limits{})
	close(service.release)
	var dials atomic.Int64
	pool := &Pool{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		dials.Add(1)
		return new(net.Dialer).DialContext(ctx, "tcp", addr)
	}}
	watch := func() {
		if err := pool.Call(t.Context(), addr, "Slow.Watch", &msgs.Watch{}, &msgs.Empty{}); err != nil {
			t.Fatal(err)
		}
	}
	const silence = 50 * time.Millisecond
	watch()
	pool.DropSilent(addr, time.Minute)
	watch()
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections, though the first one carried data", n)
	}
	time.Sleep(silence)
	pool.DropSilent(addr, silence)
	watch()
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections, want a second one", n)
	}
}

// Data that waits to be read shows that a connection is not silent, though the process has not come to
// read it.
func TestConnectionWithUnreadDataIsNotSilent(t *testing.T) {
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	c := clientConn{monitoredConn: monitoredConn{Conn: client, traffic: &atomic.Int64{}}, lastRead: &atomic.Int64{}}
	if c.hasUnread() {
		t.Error("data waits before any was sent")
	}
	if _, err := server.Write([]byte{1}); err != nil {
		t.Fatal(err)
	}
	for begin := time.Now(); !c.hasUnread(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > time.Second {
			t.Fatal("no data waits after some was sent")
		}
	}
	if _, err := c.Read(make([]byte, 1)); err != nil || c.hasUnread() {
		t.Errorf("data waits after it was read (%v)", err)
	}
}
