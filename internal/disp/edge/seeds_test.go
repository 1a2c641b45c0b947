package edge

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

func silent(string, ...any) {}

// listen serves receivers at a free address until the test ends.
func listen(t *testing.T, receivers map[string]any) string {
	t.Helper()
	srv, err := peer.Listen("127.0.0.1:0", receivers)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = srv.Start(ctx) }()
	t.Cleanup(func() {
		cancel()
		_ = srv.Stop(ctx)
	})
	return srv.Addr()
}

// Settings that are read again bring seeds: a node that knew only stale ones
// announces itself to the new ones, and is found.
func TestNewSeedsAreUsed(t *testing.T) {
	e := &Entry{Name: "e", Incarnation: 1, Event: silent}
	e.Coord = &coord.Coordinator{Links: e.Links}
	e.Addr = listen(t, map[string]any{EntryServiceName: e.Service()})
	n := &Node{Gate: &gate.Gate{IncarnationID: 2}, Event: silent}
	n.Addr = listen(t, map[string]any{GateServiceName: n.Service()})
	n.SetSeeds([]string{"127.0.0.1:1"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(ctx)
	go n.Run(ctx)
	n.SetSeeds([]string{e.Addr})
	for limit := time.Now().Add(20 * time.Second); len(e.members.Addrs(memb.Gate)) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the node was not found")
		}
	}
	e.SetSeeds([]string{e.Addr, "127.0.0.1:1"})
	if got := e.members.Addrs(memb.Entry); len(got) != 1 || got[0] != "127.0.0.1:1" {
		t.Errorf("entries known: %v", got)
	}
}
