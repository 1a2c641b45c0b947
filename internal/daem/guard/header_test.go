package guard

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A header of very many short lines costs many times its length, also before its end. One that is
// within the budget is served.
func TestLinesOfHeadersAreReserved(t *testing.T) {
	g := &Guard{Bodies: &Budget{Total: 64 << 10}}
	addr := serveGuarded(t, g, readBody)
	r, err := http.NewRequest(http.MethodGet, "http://"+addr, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		r.Header.Set(fmt.Sprint("A", i), "b")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || g.Bodies.Used() != 0 {
		t.Errorf("alone: status %d, %d bytes reserved afterwards", resp.StatusCode, g.Bodies.Used())
	}
	g.Bodies.Reserve(64<<10, 0)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("A: b\r\n", freeFields+5))
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection was answered")
	}
}

// Headers within the limit of the configuration were refused if they were longer than 16 KiB.
func TestHeaderLimitOfConfiguration(t *testing.T) {
	g := &Guard{Bodies: &Budget{Total: 1 << 20}, MaxHeader: func() int { return 40 << 10 }}
	addr := serveGuarded(t, g, readBody)
	for size, want := range map[int]int{15 << 10: 200, 38 << 10: 200, 42 << 10: 431} {
		r, err := http.NewRequest(http.MethodGet, "http://"+addr, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("A", strings.Repeat("x", size))
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%d bytes: status %d, want %d", size, resp.StatusCode, want)
		}
	}
	for g.Bodies.Used() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// Bodies of many lines must not count as headers, also if they come with them or after a handler
// that does not read them.
func TestLinesOfBodyAreNoHeader(t *testing.T) {
	addr := serveGuarded(t, &Guard{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	body := strings.Repeat("\n", 20_000)
	for range 3 {
		resp, err := http.Post("http://"+addr, "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusNotFound {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}
