package link

import (
	"context"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// TestSyncAsksForKindsWhileWanted checks that the messages ask for the runs by kind only as long
// as the entry needs them, and that a task counts as a run from when it is sent until a load shows
// it, so that it is neither missed nor counted twice.
func TestSyncAsksForKindsWhileWanted(t *testing.T) {
	var asked []bool
	now := boot.Time(1_000_000_000)
	l := &Link{Addr: "g", Entry: "e", Incarnation: 1, Now: func() boot.Time { return now }, Drop: func(string) {}}
	l.Call = func(_ context.Context, _, _ string, args, reply any) error {
		m, known := args.(*msgs.Sync)
		out, ok := reply.(*msgs.Load)
		if !known || !ok {
			t.Fatalf("called with %T", args)
		}
		asked = append(asked, m.WantKinds)
		*out = msgs.Load{Incarnation: 5, Timestamp: int64(now), Service: "s", Kinds: []msgs.KindRuns{{Kind: "a", Runs: 2}}}
		return nil
	}
	l.sync(context.Background())
	l.WantKinds(now + 1)
	l.sync(context.Background())
	l.reserve(msgs.Task{Kind: "b"})
	l.reserve(msgs.Task{Kind: "a"})
	if a, b, c := l.Runs("a"), l.Runs("b"), l.Runs("c"); a != 3 || b != 1 || c != 0 {
		t.Errorf("got %d runs of a, %d of b, %d of c, want 3, 1, 0", a, b, c)
	}
	now = now.Add(loadLag)
	l.sync(context.Background())
	if a, b := l.Runs("a"), l.Runs("b"); a != 2 || b != 0 {
		t.Errorf("after a later load: got %d runs of a, %d of b, want 2, 0", a, b)
	}
	if len(asked) != 3 || asked[0] || !asked[1] || asked[2] {
		t.Errorf("asked %v, want only the second time", asked)
	}
}
