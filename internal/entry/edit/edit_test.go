package edit

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/rows"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/table"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/store"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 40}) }

// newTableClient returns a client of an empty table service. The service makes the nth
// write without replying to it if loseReply(n) is true.
func newTableClient(tb testing.TB, loseReply func(n int) bool) *table.Client {
	srv := khttp.NewServer()
	(&store.Store{}).Serve(srv)
	var mu sync.Mutex
	writes := 0
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			srv.ServeHTTP(w, r)
			return
		}
		mu.Lock()
		writes++
		lost := loseReply(writes)
		mu.Unlock()
		if !lost {
			srv.ServeHTTP(w, r)
			return
		}
		srv.ServeHTTP(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	tb.Cleanup(func() { _ = server.Close() })
	client, err := table.New(context.Background(), ln.Addr().String())
	if err != nil {
		tb.Fatal(err)
	}
	return client
}

// discardWriter is a ResponseWriter that discards the reply.
type discardWriter struct{ header http.Header }

// Header returns the reply's header.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards b.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}

func newEditor(t *table.Client) *Editor {
	return &Editor{Table: t, Clock: &clock.Clock{}, Stats: &stats.Set{}}
}

// TestEveryAcceptedEditIsMadeOnce checks that every edit of an operator takes effect
// exactly once if it is reported as successful, and otherwise not at all. Operators edit
// the same entry concurrently while replies are lost. Each reads the entry, edits it,
// and retries after a conflict.
func TestEveryAcceptedEditIsMadeOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lostReplies := rapid.SliceOfNDistinct(rapid.IntRange(1, 12), 0, 6, rapid.ID).Draw(rt, "lost replies")
		operators := rapid.IntRange(1, 3).Draw(rt, "operators")
		client := newTableClient(t, func(n int) bool {
			for _, l := range lostReplies {
				if l == n {
					return true
				}
			}
			return false
		})
		accepted := raceOperators(newEditor(client), operators)
		edits, err := newEditor(client).History(context.Background())
		if err != nil {
			rt.Fatal(err)
		}
		checkHistory(rt, accepted, edits)
	})
}

// raceOperators lets each operator make two edits, each with a distinct owner, and
// returns the owners of the edits that were reported as successful.
func raceOperators(e *Editor, operators int) map[string]bool {
	var mu sync.Mutex
	accepted := map[string]bool{}
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			for n := range 2 {
				owner := fmt.Sprintf("owner-%d-%d", i, n)
				if putUntilAccepted(e, owner) {
					mu.Lock()
					accepted[owner] = true
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return accepted
}

// putUntilAccepted puts the entry until this is reported as successful. It returns false
// if that does not happen in 30 attempts, or after an error other than a conflict.
func putUntilAccepted(e *Editor, owner string) bool {
	ctx := context.Background()
	for range 30 {
		var version uint64
		if old, err := e.readEntry(ctx, "plan"); err == nil {
			version = old.Version
		}
		entry := catlg.Entry{Name: "plan", Owner: owner, Class: catlg.Normal, Service: "s"}
		_, err := e.Put(ctx, entry, version)
		if err == nil {
			return true
		}
		if !errors.Is(err, ErrVersionMismatch) && !errors.Is(err, ErrEntryNotFound) {
			return false
		}
	}
	return false
}

// readEntry reads an entry from the table.
func (e *Editor) readEntry(ctx context.Context, name string) (catlg.Entry, error) {
	row, err := e.getRow(ctx, rows.EntryName(name))
	if err != nil {
		return catlg.Entry{}, err
	}
	return rows.DecodeEntry(row.Value)
}

// checkHistory checks that the history contains each accepted edit once and no other
// edit, in order of version.
func checkHistory(t *rapid.T, accepted map[string]bool, edits []rows.Edit) {
	counts := map[string]int{}
	for i, e := range edits {
		if e.Entry.Version != uint64(i+1) {
			t.Fatalf("edit %d made version %d", i+1, e.Entry.Version)
		}
		counts[e.Entry.Owner]++
	}
	for owner, n := range counts {
		if n > 1 {
			t.Fatalf("the edit of %s was made %d times", owner, n)
		}
		if !accepted[owner] {
			t.Fatalf("the edit of %s was made, but not reported as successful", owner)
		}
	}
	for owner := range accepted {
		if counts[owner] != 1 {
			t.Fatalf("the edit of %s was reported as successful, but is not in the history", owner)
		}
	}
}
