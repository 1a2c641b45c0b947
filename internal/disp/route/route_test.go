package route

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestFind(t *testing.T) {
	table := &Table{Routes: []Route{
		{Name: "short", Host: "h", Prefix: "/a/"},
		{Name: "long", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/a/b/c/"},
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
			t.Errorf("%s%s: got %q, %q, %v", tt.host, tt.path, r.Name, rest, ok)
		}
	}
}

func TestAllowance(t *testing.T) {
	r := Route{Stretch: 1.6, LatencyMargin: 60 * time.Millisecond}
	if got := r.LatencyBudget(100 * time.Millisecond); got != 220*time.Millisecond {
		t.Errorf("got %v", got)
	}
	if got := (Route{}).LatencyBudget(time.Second); got != time.Second {
		t.Errorf("without stretch: got %v", got)
	}
}

// A process never goes back to an older configuration, whoever offers it.
func TestCurrentNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Current
		offers := rapid.SliceOfN(rapid.Int64Range(1, 50), 1, 30).Draw(t, "versions")
		var wg sync.WaitGroup
		for _, v := range offers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.StoreIfNewer(&Table{Version: v})
				if c.Version() < v {
					t.Errorf("older than %d after it was offered", v)
				}
			}()
		}
		wg.Wait()
		newest := int64(0)
		for _, v := range offers {
			newest = max(newest, v)
		}
		if c.Version() != newest {
			t.Errorf("got %d, want %d", c.Version(), newest)
		}
	})
}
