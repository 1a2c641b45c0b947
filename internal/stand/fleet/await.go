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

// EntryStatus is the status that an entry reports on its region.
type EntryStatus struct {
	Epoch     uint64 `json:"epoch"`
	Fresh     bool   `json:"fresh"`     // the table confirmed the epoch recently
	Catalogue uint64 `json:"catalogue"` // version
	Shards    int    `json:"shards"`    // number of all shards
	Nodes     []Node `json:"nodes"`
}

// Node is a node in the status of an entry.
type Node struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"inc"`
	Slots       int    `json:"slots"`  // of its target; 0 if it has none
	Shards      int    `json:"shards"` // number of shards that it owns
	Leaving     bool   `json:"leaving"`
}

// NodeStatus is the status that a node reports on itself.
type NodeStatus struct {
	Incarnation uint64 `json:"inc"`
	Epoch       uint64 `json:"epoch"`
	Catalogue   uint64 `json:"catalogue"` // version
	Running     int    `json:"running"`   // tasks that run at its target
	Jobs        int    `json:"jobs"`      // jobs in progress
}

// Await waits until ok returns true, checking every pollInterval. If ctx ends before,
// it returns an error that says what was awaited.
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

// awaitListening waits until the named address accepts connections.
func (f *Fleet) awaitListening(ctx context.Context, addrName string) error {
	return Await(ctx, addrName+" accepts connections", func() bool {
		conn, err := net.Dial("tcp", f.Addr(addrName))
		if err != nil {
			return false
		}
		return conn.Close() == nil
	})
}

// AwaitNodes waits until every running entry lists exactly count nodes, each of which
// has a target and is not leaving, and which together own all shards; until every
// running node is listed with its current incarnation; and until all of them report
// the same epoch.
func (f *Fleet) AwaitNodes(ctx context.Context, count int) error {
	return Await(ctx, "all processes agree on the nodes", func() bool {
		epochs := map[uint64]bool{}
		listed := map[string]uint64{}
		for _, name := range f.ProcNames("e") {
			var s EntryStatus
			if f.Get(ctx, name+".http", "/v1/status", &s) != nil || !s.isComplete(count) {
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

// PutPlan creates the catalogue entry "plan" and waits until all processes have it.
func (f *Fleet) PutPlan(ctx context.Context) error {
	doc := map[string]string{"name": "plan", "owner": "leistenwerk", "class": "urgent", "service": "dehnplan"}
	if err := f.Send(ctx, http.MethodPut, "e1.http", "/v1/catalogue/plan", doc, nil); err != nil {
		return err
	}
	return f.AwaitCatalogue(ctx, 1)
}

// AwaitCatalogue waits until every running entry and node has at least the given
// version of the catalogue.
func (f *Fleet) AwaitCatalogue(ctx context.Context, version uint64) error {
	return Await(ctx, "all processes have the catalogue", func() bool {
		for _, name := range slices.Concat(f.ProcNames("e"), f.ProcNames("n")) {
			var s NodeStatus
			if f.Get(ctx, name+".http", "/v1/status", &s) != nil || s.Catalogue < version {
				return false
			}
		}
		return true
	})
}

// Counters returns the values of all counters, by name, summed over the running
// processes whose names start with any of the prefixes. Processes that do not answer
// are left out.
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

// isComplete reports whether the entry lists count nodes, each of which has a target
// and is not leaving, and which together own all shards.
func (s EntryStatus) isComplete(count int) bool {
	shards := 0
	for _, node := range s.Nodes {
		if node.Slots == 0 || node.Leaving {
			return false
		}
		shards += node.Shards
	}
	return len(s.Nodes) == count && shards == s.Shards
}
