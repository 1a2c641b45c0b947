package roster

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// testNode returns the given incarnation of a node.
func testNode(id string, inc uint64) Node {
	return Node{Ref: Ref{ID: id, Inc: inc}, Addr: id, Domain: "d", Service: "s", Slots: 8}
}

// drawChange draws a change, which may be of a node that is not in the roster. Each
// incarnation drawn gets the number after *lastInc.
func drawChange(t *rapid.T, r Roster, lastInc *uint64) Change {
	id := fmt.Sprintf("n%d", rapid.IntRange(0, 7).Draw(t, "node"))
	kind := rapid.SampledFrom([]ChangeKind{Join, Join, Leave, Remove}).Draw(t, "kind")
	present, ok := r.FindByID(id)
	if kind == Join && (!ok || rapid.Bool().Draw(t, "restart")) {
		*lastInc++
		return Change{Kind: Join, Node: testNode(id, *lastInc)}
	}
	return Change{Kind: kind, Node: present}
}

func TestChangesKeepShardsOwnedAndBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(rapid.IntRange(1, 64).Draw(t, "shards"))
		lastInc := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var changes []Change
			for range rapid.IntRange(1, 3).Draw(t, "batch") {
				changes = append(changes, drawChange(t, r, &lastInc))
			}
			next := r.With(changes...)
			checkTransition(t, r, next)
			r = next
		}
	})
}

// checkTransition fails the test if two successive rosters break a rule: the epoch
// increases by one, a shard that moves records its previous owner and the epoch, and
// owners are present, not leaving and balanced.
func checkTransition(t *rapid.T, before, after Roster) {
	if after.Epoch() == before.Epoch() {
		return
	}
	if after.Epoch() != before.Epoch()+1 {
		t.Fatalf("epoch went from %d to %d", before.Epoch(), after.Epoch())
	}
	shardCounts := after.shardCounts()
	for i, s := range after.Shards() {
		old := before.Shard(i)
		if s.Owner != old.Owner && (s.MoveEpoch != after.Epoch() || s.PrevOwner != old.Owner) {
			t.Fatalf("shard %d moved without recording it: %+v, was %+v", i, s, old)
		}
		if s.Owner == old.Owner && s != old {
			t.Fatalf("shard %d changed without a move: %+v, was %+v", i, s, old)
		}
		if _, ok := shardCounts[s.Owner]; !ok && len(shardCounts) > 0 {
			t.Fatalf("shard %d is owned by %+v, which is not in the roster or is leaving", i, s.Owner)
		}
	}
	low, high := len(after.Shards()), 0
	for _, n := range shardCounts {
		low = min(low, n)
		high = max(high, n)
	}
	if len(shardCounts) > 0 && high-low > 1 {
		t.Fatalf("owners have %d to %d shards", low, high)
	}
}

func TestJoinMovesShardsOnlyToTheNewNode(t *testing.T) {
	r := New(100).With(Change{Kind: Join, Node: testNode("a", 1)}, Change{Kind: Join, Node: testNode("b", 2)})
	next := r.With(Change{Kind: Join, Node: testNode("c", 3)})
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

func TestUnknownAndRepeatedChangesHaveNoEffect(t *testing.T) {
	a := testNode("a", 1)
	r := New(4).With(Change{Kind: Join, Node: a})
	for _, c := range []Change{
		{Kind: Join, Node: a},
		{Kind: Remove, Node: testNode("a", 9)},
		{Kind: Leave, Node: testNode("b", 2)},
		{Kind: Remove, Node: testNode("b", 2)},
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
		changes = append(changes, Change{Kind: Join, Node: testNode(fmt.Sprintf("n%04d", i), uint64(i+1))})
	}
	r = r.With(changes...)
	b.ReportAllocs()
	for b.Loop() {
		r.With(Change{Kind: Remove, Node: r.Nodes()[7]})
	}
}
