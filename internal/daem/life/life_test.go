package life

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"golang.org/x/sys/unix"
)

// socketOptions returns the values of TCP options of the connection that a request came on.
func socketOptions(ctx context.Context, names ...int) ([]int, error) {
	conn, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection can't be examined")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var values []int
	var optErr error
	err = raw.Control(func(fd uintptr) {
		for _, name := range names {
			v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			if err != nil {
				optErr = err
			}
			values = append(values, v)
		}
	})
	if err == nil {
		err = optErr
	}
	return values, err
}

// A client's connection was reset while the network lost the reset, and the server kept it for
// as long as the job ran, though the client was elsewhere.
func TestServerProbesSilentConnections(t *testing.T) {
	srv, err := NewHTTPServer("127.0.0.1:0", logs.Logger{}, &stats.Set{})
	if err != nil {
		t.Fatal(err)
	}
	srv.HandlePrefix("/", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		options, err := socketOptions(r.Context(), unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL)
		if err != nil {
			t.Error(err)
		}
		for _, s := range options {
			if s != 1 {
				t.Errorf("probes after %d s, want 1 s", s)
			}
		}
	}))
	endpoint, err := srv.Endpoint()
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Start(context.Background()) }()
	t.Cleanup(func() { _ = srv.Close() })
	resp, err := http.Get(endpoint.String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if err := resp.Body.Close(); err != nil {
		t.Error(err)
	}
}
