package life

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/guard"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
)

// Connections that never send a request must not keep out callers, and are counted.
func TestSilentConnectionsGiveWay(t *testing.T) {
	counters := &stats.Set{}
	in := NewIngress(1, 0, logs.Logger{}, counters)
	srv, err := NewGuardedHTTPServer("127.0.0.1:0", logs.Logger{}, counters, in.Clients())
	if err != nil {
		t.Fatal(err)
	}
	srv.HandlePrefix("/", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, len(body))
	}))
	url, err := srv.Endpoint()
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Start(context.Background()) }()
	t.Cleanup(func() { _ = srv.Close() })
	for range 3 * in.Sizes.ClientConns {
		conn, err := net.Dial("tcp", url.Host)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	resp, err := http.Post(url.String(), "text/plain", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if text, _ := io.ReadAll(resp.Body); string(text) != "4" {
		t.Errorf("got %q", text)
	}
	if n := counters.Value(guard.CounterPrefix + guard.CauseConnections); n == 0 {
		t.Error("no connection was counted")
	}
}
