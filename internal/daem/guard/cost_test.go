package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// discard is a response writer that keeps nothing.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// pathCost returns a function that passes one small request through wrap to a handler that reads it.
func pathCost(tb testing.TB, wrap func(*Guard, http.Handler) http.Handler) func() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	local, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _, _ = local.Close(), ln.Close() })
	g := &Guard{Bodies: &Budget{Total: 1 << 20}}
	c := &Conn{Conn: local, guard: g}
	content := strings.NewReader("")
	r := httptest.NewRequestWithContext(context.WithValue(tb.Context(), connKey{}, c), http.MethodPost, "/", nil)
	r.ContentLength = 100
	buf := make([]byte, 512)
	h := wrap(g, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		for {
			if _, err := r.Body.Read(buf); err != nil {
				return
			}
		}
	}))
	w, text, source := discard{http.Header{}}, strings.Repeat("x", 100), io.NopCloser(content)
	return func() {
		content.Reset(text)
		r.Body = source
		h.ServeHTTP(w, r)
	}
}

// The memory of an entry is at its peak when it serves the most requests.
func TestSmallRequestAllocatesNothing(t *testing.T) {
	request := pathCost(t, (*Guard).Handler)
	if n := testing.AllocsPerRun(100, request); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// The difference of the two is what the guard costs.
func BenchmarkSmallRequest(b *testing.B) {
	for name, wrap := range map[string]func(*Guard, http.Handler) http.Handler{
		"guarded": (*Guard).Handler, "bare": func(_ *Guard, h http.Handler) http.Handler { return h },
	} {
		b.Run(name, func(b *testing.B) {
			request := pathCost(b, wrap)
			b.ReportAllocs()
			for b.Loop() {
				request()
			}
		})
	}
}
