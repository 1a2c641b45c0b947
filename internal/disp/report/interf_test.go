package report

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/proc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

var (
	reported = []msgs.Interference{{Slowed: "a", By: "b", Factor: 150, Evidence: 400}}
	shown    = []InterferenceDoc{{"s", "a", "b", 150, 400}}
)

// TestStatusShowsInterference checks that operators see the pairs that a node has found, and those
// that an entry acts on.
func TestStatusShowsInterference(t *testing.T) {
	d := newNodeDoc(gate.State{Incarnation: targ.Incarnation{Service: "s"}, Load: msgs.Load{Interference: reported}})
	if !slices.Equal(d.Interference, shown) {
		t.Errorf("node: got %+v, want %+v", d.Interference, shown)
	}

	l := &link.Link{Addr: "g", Entry: "e", Incarnation: 1, Drop: func(string) {}}
	l.Call = func(_ context.Context, _, _ string, _, reply any) error {
		load := msgs.Load{
			Incarnation: 1, Timestamp: int64(boot.Now()), Service: "s", TargetIncarnation: "t", CPU: 1000, Memory: 1000, Speed: 1, Interference: reported,
		}
		switch out := reply.(type) {
		case *msgs.Load:
			*out = load
		case *msgs.TaskReply:
			*out = msgs.TaskReply{Result: msgs.Done, RunTime: 10, Load: load}
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go l.Run(ctx)
	for !l.View(boot.Now()).Available {
		time.Sleep(time.Millisecond)
	}
	e := &proc.Entry{Coord: &coord.Coordinator{Links: func() []*link.Link { return []*link.Link{l} }}}
	if d := newEntryDoc(e, boot.Now()); d.Interference != nil {
		t.Errorf("entry before a placement: got %+v", d.Interference)
	}
	job := coord.Job{
		ID: "j", Arrived: boot.Now(), Route: route.Route{Name: "a", Service: "s", MaxStretch: 2, LatencyMargin: time.Second},
		Steps: []coord.Step{{Count: 1, Size: rsrc.Vector{CPU: 10}, DeclaredRunTime: 100 * time.Millisecond}},
	}
	if a := e.Coord.Submit(ctx, job); a.State != coord.Done {
		t.Fatalf("got %+v", a)
	}
	if d := newEntryDoc(e, boot.Now()); !slices.Equal(d.Interference, shown) {
		t.Errorf("entry: got %+v, want %+v", d.Interference, shown)
	}
}
