package route

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestFind(t *testing.T) {
	table := &Table{Routes: []Route{
		{Name: "short", Host: "h", PathPrefix: "/a/"},
		{Name: "long", Host: "h", PathPrefix: "/a/b/"},
		{Name: "other", Host: "g", PathPrefix: "/a/b/c/"},
	}}
	for _, tt := range []struct{ host, path, name, rest string }{
		{"h", "/a/1", "short", "1"},
		{"h", "/a/b/1", "long", "1"},
		{"h", "/a/b/c/1", "long", "c/1"},
		{"g", "/a/b/c/", "other", ""},
		{"h", "/b/", "", ""},
		{"x", "/a/1", "", ""},
	} {
		r, rest, ok := table.Find(tt.host, tt.path)
		if r.Name != tt.name || rest != tt.rest || ok != (tt.name != "") {
			t.Errorf("%s%s: got route %q, rest %q, %v", tt.host, tt.path, r.Name, rest, ok)
		}
	}
}

func TestLatencyBudget(t *testing.T) {
	r := Route{MaxStretch: 1.6, LatencyMargin: 60 * time.Millisecond}
	if got := r.LatencyBudget(100 * time.Millisecond); got != 220*time.Millisecond {
		t.Errorf("got %v", got)
	}
	if got := (Route{}).LatencyBudget(time.Second); got != time.Second {
		t.Errorf("without a stretch: got %v", got)
	}
}

// TestCurrentNeverGoesBack checks that a process never returns to an older
// configuration, whatever the order of concurrent calls of StoreIfNewer.
func TestCurrentNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Current
		versions := rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 30).Draw(t, "versions")
		var wg sync.WaitGroup
		for _, v := range versions {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.StoreIfNewer(&Table{Version: v})
				if c.Version() < v {
					t.Errorf("the version is below %d after a table of that version was offered", v)
				}
			}()
		}
		wg.Wait()
		newest := int64(0)
		for _, v := range versions {
			newest = max(newest, v)
		}
		if c.Version() != newest {
			t.Errorf("got version %d, want %d", c.Version(), newest)
		}
	})
}
