package coord

import (
	"context"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// BenchmarkPlace measures one choice of a gate among 64, the most that an entry is
// linked to.
func BenchmarkPlace(b *testing.B) {
	c := &Coordinator{}
	var links []*link.Link
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 64 {
		l := &link.Link{Addr: "g", Entry: "e", Incarnation: 1, Drop: func(string) {}}
		l.Call = func(_ context.Context, _, _ string, _, reply any) error {
			load, ok := reply.(*msgs.Load)
			if ok {
				*load = msgs.Load{Incarnation: 1, Timestamp: int64(boot.Now()), Service: "s", TargetIncarnation: string(rune('a' + i)), CPU: 64_000, Memory: 1000, Speed: 1}
			}
			return nil
		}
		go l.Run(ctx)
		links = append(links, l)
	}
	for _, l := range links {
		for !l.View(boot.Now()).Available {
		}
	}
	c.Links = func() []*link.Link { return links }
	e := newExecution(newTestJob(4, 6000))
	ts := &taskState{name: "j.0.0.0", avoid: map[string]bool{}}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, _, ok := c.place(e, e.Steps[0], ts); !ok {
			b.Fatal("no gate")
		}
	}
}

// BenchmarkWeighInterference measures what interference adds to a placement among 64 gates while
// a pair is in force.
func BenchmarkWeighInterference(b *testing.B) {
	now := boot.Now()
	c := &Coordinator{Now: func() boot.Time { return now }}
	var links []*link.Link
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 64 {
		l := &link.Link{Addr: "g", Entry: "e", Incarnation: 1, Drop: func(string) {}}
		l.Call = func(_ context.Context, _, _ string, _, reply any) error {
			if load, ok := reply.(*msgs.Load); ok {
				*load = msgs.Load{
					Incarnation: 1, Timestamp: int64(boot.Now()), Service: "s", TargetIncarnation: "t", CPU: 64_000, Memory: 1000, Speed: 1,
					Interference: found, Kinds: []msgs.KindRuns{{Kind: "a", Runs: 1}, {Kind: "b", Runs: 2}, {Kind: "c", Runs: 3}},
				}
			}
			return nil
		}
		go l.Run(ctx)
		links = append(links, l)
	}
	for _, l := range links {
		for !l.View(boot.Now()).Available {
		}
	}
	now = boot.Now()
	c.Links = func() []*link.Link { return links }
	job := newTestJob(4, 6000)
	cands := c.findCandidates(job.Route, job.Steps[0])
	b.ReportAllocs()
	for b.Loop() {
		if !c.weighInterference(cands, "s", "r") {
			b.Fatal("nothing in force")
		}
	}
}
