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

// newTable serves an empty stand-in whose replies to writes are cut as lose
// tells, counting the writes.
func newTable(tb testing.TB, lose func(n int) bool) *table.Client {
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
		lost := lose(writes)
		mu.Unlock()
		if !lost {
			srv.ServeHTTP(w, r)
			return
		}
		srv.ServeHTTP(discard{header: http.Header{}}, r)
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

// discard takes a reply that nobody will see.
type discard struct{ header http.Header }

// Header returns the reply's header.
func (d discard) Header() http.Header { return d.header }

// Write drops b.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (discard) WriteHeader(int) {}

func newEditor(t *table.Client) *Editor {
	return &Editor{Table: t, Clock: &clock.Clock{}, Stats: &stats.Set{}}
}

// TestEveryAcceptedEditIsMadeOnce has operators race for one entry while replies
// are lost. Each reads, edits what it read, and repeats after a conflict.
func TestEveryAcceptedEditIsMadeOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lost := rapid.SliceOfNDistinct(rapid.IntRange(1, 12), 0, 6, rapid.ID).Draw(rt, "lost replies")
		operators := rapid.IntRange(1, 3).Draw(rt, "operators")
		client := newTable(t, func(n int) bool {
			for _, l := range lost {
				if l == n {
					return true
				}
			}
			return false
		})
		accepted := race(newEditor(client), operators)
		edits, err := newEditor(client).History(context.Background())
		if err != nil {
			rt.Fatal(err)
		}
		check(rt, accepted, edits)
	})
}

// race has each operator make two edits and returns the owners written by
// those that were told that their edit took effect.
func race(e *Editor, operators int) map[string]bool {
	var mu sync.Mutex
	accepted := map[string]bool{}
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			for n := range 2 {
				owner := fmt.Sprintf("owner-%d-%d", i, n)
				if persist(e, owner) {
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

// persist puts the entry until it is told that this took effect.
func persist(e *Editor, owner string) bool {
	ctx := context.Background()
	for range 30 {
		var version uint64
		if old, err := e.read(ctx, "plan"); err == nil {
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

func (e *Editor) read(ctx context.Context, name string) (catlg.Entry, error) {
	row, err := e.get(ctx, rows.EntryName(name))
	if err != nil {
		return catlg.Entry{}, err
	}
	return rows.DecodeEntry(row.Value)
}

func check(t *rapid.T, accepted map[string]bool, edits []rows.Edit) {
	made := map[string]int{}
	for i, e := range edits {
		if e.Entry.Version != uint64(i+1) {
			t.Fatalf("edit %d made version %d", i+1, e.Entry.Version)
		}
		made[e.Entry.Owner]++
	}
	for owner, n := range made {
		if n > 1 {
			t.Fatalf("the edit of %s was made %d times", owner, n)
		}
		if !accepted[owner] {
			t.Fatalf("the edit of %s was made, but its operator was not told", owner)
		}
	}
	for owner := range accepted {
		if made[owner] != 1 {
			t.Fatalf("the edit of %s was accepted, but is not in the history", owner)
		}
	}
}
