package roster

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func member(id string, inc uint64) Node {
	return Node{Ref: Ref{ID: id, Inc: inc}, Addr: id, Domain: "d", Service: "s", Slots: 8}
}

// drawChange draws a change that may name nodes not listed.
func drawChange(t *rapid.T, r Roster, inc *uint64) Change {
	id := fmt.Sprintf("n%d", rapid.IntRange(0, 7).Draw(t, "node"))
	kind := rapid.SampledFrom([]Kind{Join, Join, Leave, Remove}).Draw(t, "kind")
	listed, ok := r.FindByID(id)
	if kind == Join && (!ok || rapid.Bool().Draw(t, "restart")) {
		*inc++
		return Change{Kind: Join, Node: member(id, *inc)}
	}
	return Change{Kind: kind, Node: listed}
}

func TestChangesKeepShardsOwnedAndBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(rapid.IntRange(1, 64).Draw(t, "shards"))
		inc := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var changes []Change
			for range rapid.IntRange(1, 3).Draw(t, "batch") {
				changes = append(changes, drawChange(t, r, &inc))
			}
			next := r.With(changes...)
			checkStep(t, r, next)
			r = next
		}
	})
}

func checkStep(t *rapid.T, before, after Roster) {
	if after.Epoch() == before.Epoch() {
		return
	}
	if after.Epoch() != before.Epoch()+1 {
		t.Fatalf("epoch went from %d to %d", before.Epoch(), after.Epoch())
	}
	counts := after.counts()
	for i, s := range after.Shards() {
		old := before.Shard(i)
		if s.Owner != old.Owner && (s.Moved != after.Epoch() || s.PrevOwner != old.Owner) {
			t.Fatalf("shard %d moved without a trace: %+v, was %+v", i, s, old)
		}
		if s.Owner == old.Owner && s != old {
			t.Fatalf("shard %d changed without a move: %+v, was %+v", i, s, old)
		}
		if _, ok := counts[s.Owner]; !ok && len(counts) > 0 {
			t.Fatalf("shard %d is owned by %+v, who is gone or leaving", i, s.Owner)
		}
	}
	low, high := len(after.Shards()), 0
	for _, n := range counts {
		low = min(low, n)
		high = max(high, n)
	}
	if len(counts) > 0 && high-low > 1 {
		t.Fatalf("owners have %d to %d shards", low, high)
	}
}

func TestJoinMovesOnlyWhatTheNewNodeGets(t *testing.T) {
	r := New(100).With(Change{Kind: Join, Node: member("a", 1)}, Change{Kind: Join, Node: member("b", 2)})
	next := r.With(Change{Kind: Join, Node: member("c", 3)})
	moved := 0
	for i, s := range next.Shards() {
		if s.Owner == r.Shard(i).Owner {
			continue
		}
		moved++
		if s.Owner.ID != "c" {
			t.Errorf("shard %d moved to %s", i, s.Owner.ID)
		}
	}
	if moved != 33 {
		t.Errorf("%d shards moved, want 33", moved)
	}
}

func TestUnknownAndRepeatedChangesDoNothing(t *testing.T) {
	a := member("a", 1)
	r := New(4).With(Change{Kind: Join, Node: a})
	for _, c := range []Change{
		{Kind: Join, Node: a},
		{Kind: Remove, Node: member("a", 9)},
		{Kind: Leave, Node: member("b", 2)},
		{Kind: Remove, Node: member("b", 2)},
		{},
	} {
		if next := r.With(c); next.Epoch() != r.Epoch() {
			t.Errorf("%+v changed the roster", c)
		}
	}
}

func BenchmarkWith(b *testing.B) {
	r := New(4096)
	var changes []Change
	for i := range 1160 {
		changes = append(changes, Change{Kind: Join, Node: member(fmt.Sprintf("n%04d", i), uint64(i+1))})
	}
	r = r.With(changes...)
	b.ReportAllocs()
	for b.Loop() {
		r.With(Change{Kind: Remove, Node: r.Nodes()[7]})
	}
}
