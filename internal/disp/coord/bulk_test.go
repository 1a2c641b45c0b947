package coord

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/bulk"
)

// raiseBulkheads raises the bulkheads of service "s" between the given routes.
func raiseBulkheads(c *Coordinator, routes ...string) {
	g := &bulk.Guard{}
	now := boot.Now().Add(-1500 * time.Millisecond)
	for i, gate := range []string{"x", "y", "z"} {
		g.Observe(gate, true, now.Add(time.Duration(i)*500*time.Millisecond))
	}
	for _, r := range routes {
		g.Use(r, boot.Now())
	}
	c.guards = map[string]*bulk.Guard{"s": g}
}

// A job that fits only targets of other routes must not be refused as too large.
func TestBulkheadsDoNotMakeJobsTooLarge(t *testing.T) {
	for large := range 3 {
		f := newFakeGates(t, 3)
		f.mu.Lock()
		f.loads[large].CPU = 4000
		f.mu.Unlock()
		waitUntil(t, "the load is known", func() bool { return f.links[large].View(boot.Now()).Load.CPU == 4000 })
		c := f.coordinator()
		raiseBulkheads(c, "a", "b", "r")
		if a := c.Submit(context.Background(), newTestJob(1, 2000)); a.State != Done {
			t.Errorf("the large target is %d: got %+v", large, a)
		}
	}
}

// Routes whose steps require a label must not get targets of other routes.
func TestSharesAreDisjointWithLabels(t *testing.T) {
	for _, labelled := range [][2]int{{0, 1}, {0, 2}, {0, 3}, {1, 2}, {1, 3}, {2, 3}} {
		f := newFakeGates(t, 4)
		f.mu.Lock()
		for i := range f.loads {
			f.loads[i].Labels = []string{"any"}
			if i == labelled[0] || i == labelled[1] {
				f.loads[i].Labels = []string{"any", "ssd"}
			}
		}
		f.mu.Unlock()
		for i := range f.links {
			waitUntil(t, "the load is known", func() bool { return len(f.links[i].View(boot.Now()).Load.Labels) > 0 })
		}
		c := f.coordinator()
		raiseBulkheads(c, "b", "r")
		owners := map[string]int{}
		j := newTestJob(1, 100)
		for name, label := range map[string]string{"b": "", "r": "ssd"} {
			r, s := j.Route, j.Steps[0]
			r.Name, s.RequiredLabel = name, label
			cands := c.findCandidates(r, s)
			for _, l := range cands.links {
				owners[l.Addr]++
			}
			if len(cands.links) == 4 {
				t.Errorf("%s has all gates", name)
			}
		}
		for addr, n := range owners {
			if n > 1 && sharesLabel(c, labelled) {
				t.Errorf("labelled %v: %s belongs to %d routes", labelled, addr, n)
			}
		}
	}
}

// sharesLabel reports whether route "r" has a labelled gate in its share. Otherwise it uses
// those of others.
func sharesLabel(c *Coordinator, labelled [2]int) bool {
	names := []string{"g0", "g1", "g2", "g3"}
	share := c.guards["s"].Share("r", names, boot.Now())
	return share[names[labelled[0]]] || share[names[labelled[1]]]
}
