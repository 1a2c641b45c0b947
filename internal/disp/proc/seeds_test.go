package proc

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

func discardEvent(string, ...any) {}

// serve serves the receivers by net/rpc at a free address until the test ends,
// and returns the address.
func serve(t *testing.T, receivers map[string]any) string {
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

// A node that had only stale seeds announces itself to the seeds that it is given
// later, as when its settings are reloaded, and the entry there learns of it. An
// entry does not add its own address from its seeds.
func TestNewSeedsAreUsed(t *testing.T) {
	e := &Entry{Name: "e", Incarnation: 1, Event: discardEvent}
	e.Coord = &coord.Coordinator{Links: e.Links}
	e.Addr = serve(t, map[string]any{EntryServiceName: e.Service()})
	n := &Node{Gate: &gate.Gate{IncarnationID: 2}, Event: discardEvent}
	n.Addr = serve(t, map[string]any{GateServiceName: n.Service()})
	n.SetSeeds([]string{"127.0.0.1:1"})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(ctx)
	go n.Run(ctx)
	n.SetSeeds([]string{e.Addr})
	for limit := time.Now().Add(20 * time.Second); len(e.members.Addrs(memb.Gate)) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the entry did not learn of the node")
		}
	}
	e.SetSeeds([]string{e.Addr, "127.0.0.1:1"})
	if got := e.members.Addrs(memb.Entry); len(got) != 1 || got[0] != "127.0.0.1:1" {
		t.Errorf("got entries %v, want only the stale seed", got)
	}
}
