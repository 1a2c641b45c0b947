package fleet

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Status is what an entry tells of its region.
type EntryStatus struct {
	Epoch     uint64 `json:"epoch"`
	Fresh     bool   `json:"fresh"`
	Catalogue uint64 `json:"catalogue"`
	Shards    int    `json:"shards"`
	Nodes     []Node `json:"nodes"`
}

// Node is a node as an entry lists it.
type Node struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"inc"`
	Slots       int    `json:"slots"`
	Shards      int    `json:"shards"`
	Leaving     bool   `json:"leaving"`
}

// NodeStatus is what a node tells of itself.
type NodeStatus struct {
	Incarnation uint64 `json:"inc"`
	Epoch       uint64 `json:"epoch"`
	Catalogue   uint64 `json:"catalogue"`
	Running     int    `json:"running"`
	Jobs        int    `json:"jobs"`
}

// Await waits until ok reports true, or ctx ends.
func Await(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return merry.Errorf("gave up waiting until %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// await waits until the address accepts connections.
func (f *Fleet) await(ctx context.Context, addr string) error {
	return Await(ctx, addr+" accepts connections", func() bool {
		conn, err := net.Dial("tcp", f.Addr(addr))
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
}

// AwaitNodes waits until every running entry lists just n nodes, all with a
// target and together with all shards, and every running node is listed with
// its present incarnation and has that epoch.
func (f *Fleet) AwaitNodes(ctx context.Context, n int) error {
	return Await(ctx, "all processes agree on the nodes", func() bool {
		epochs := map[uint64]bool{}
		listed := map[string]uint64{}
		for _, name := range f.ProcNames("e") {
			var s EntryStatus
			if f.Get(ctx, name+".http", "/v1/status", &s) != nil || !s.complete(n) {
				return false
			}
			epochs[s.Epoch] = true
			for _, node := range s.Nodes {
				listed[node.ID] = node.Incarnation
			}
		}
		for _, name := range f.ProcNames("n") {
			var s NodeStatus
			if f.Get(ctx, name+".http", "/v1/status", &s) != nil || listed[name] != s.Incarnation {
				return false
			}
			epochs[s.Epoch] = true
		}
		return len(epochs) == 1
	})
}

// PutPlan puts the catalogue entry "plan" and waits until it is everywhere.
func (f *Fleet) PutPlan(ctx context.Context) error {
	doc := map[string]string{"name": "plan", "owner": "leistenwerk", "class": "urgent", "service": "dehnplan"}
	if err := f.Send(ctx, http.MethodPut, "e1.http", "/v1/catalogue/plan", doc, nil); err != nil {
		return err
	}
	return f.AwaitCatalogue(ctx, 1)
}

// AwaitCatalogue waits until every running entry and node has the catalogue's
// version.
func (f *Fleet) AwaitCatalogue(ctx context.Context, version uint64) error {
	return Await(ctx, "the catalogue is everywhere", func() bool {
		for _, name := range slices.Concat(f.ProcNames("e"), f.ProcNames("n")) {
			var s NodeStatus
			if f.Get(ctx, name+".http", "/v1/status", &s) != nil || s.Catalogue < version {
				return false
			}
		}
		return true
	})
}

// Counters returns the sum of the named counters over the running processes
// whose names start with any of the prefixes.
func (f *Fleet) Counters(ctx context.Context, prefixes ...string) map[string]int64 {
	sum := map[string]int64{}
	for _, prefix := range prefixes {
		for _, name := range f.ProcNames(prefix) {
			var metrics map[string]map[string]any
			if f.Get(ctx, name+".http", "/metrics", &metrics) != nil {
				continue
			}
			for counter, fields := range maps.All(metrics) {
				if n, ok := fields["count"].(float64); ok {
					sum[counter] += int64(n)
				}
			}
		}
	}
	return sum
}

func (s EntryStatus) complete(n int) bool {
	shards := 0
	for _, node := range s.Nodes {
		if node.Slots == 0 || node.Leaving {
			return false
		}
		shards += node.Shards
	}
	return len(s.Nodes) == n && shards == s.Shards
}
