package proc

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

// eventLog records events about evacuations.
type eventLog struct {
	mu     sync.Mutex
	events []string
}

func (l *eventLog) add(event string, pairs ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if event == gate.EvacuatedEvent || event == gate.TakenBackEvent {
		l.events = append(l.events, fmt.Sprint(event, " ", pairs[1], " ", pairs[3]))
	}
}

func (l *eventLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.events)
}

// newServedEntry returns an entry that other processes can call, but that does not run.
func newServedEntry(t *testing.T) (*Entry, *eventLog) {
	log := &eventLog{}
	e := &Entry{Name: "e", Incarnation: 1, Event: log.add}
	e.Coord = &coord.Coordinator{Links: e.Links}
	e.ParseConfig = func(raw []byte) (*route.Table, error) { return &route.Table{Version: 1, Raw: raw}, nil }
	e.Addr = serve(t, map[string]any{EntryServiceName: e.Service()})
	return e, log
}

// Guards against an entry that serves with a configuration of another one, and does not know
// an evacuation that this one knew; and against orders that pass in one direction only.
func TestEntriesExchangeOrders(t *testing.T) {
	a, logA := newServedEntry(t)
	b, logB := newServedEntry(t)
	a.ApplyOrder(evac.Order{Domain: "z", Version: 3, Evacuated: true}, "store")
	a.ApplyConfig(&route.Table{Version: 1, Raw: []byte("c")}, "store")
	b.ApplyOrder(evac.Order{Domain: "y", Version: 4, Evacuated: true}, "store")
	b.ApplyOrder(evac.Order{Domain: "z", Version: 2}, "store")
	for range 2 {
		if err := b.exchange(context.Background(), a.Addr); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range []*Entry{a, b} {
		if got := e.Orders.Evacuated(); !slices.Equal(got, []string{"y", "z"}) || e.Config.Version() != 1 {
			t.Errorf("got %v with configuration %d", got, e.Config.Version())
		}
	}
	if got := fmt.Sprint(logA.all(), logB.all()); got != "[evacuated z 3 evacuated y 4] [evacuated y 4 evacuated z 3]" {
		t.Errorf("events %s", got)
	}
}

// Guards against an evacuation that survives its row: only a complete listing that is newer
// than the order, and lacks the row, takes the domain back.
func TestListingTakesAbsentDomainsBack(t *testing.T) {
	e, log := newServedEntry(t)
	for i, d := range []string{"x", "y", "z"} {
		e.ApplyOrder(evac.Order{Domain: d, Version: int64(3 + i), Evacuated: true}, "store")
	}
	e.ApplyListing(5, []string{"x"}, "store")
	if got := e.Orders.Evacuated(); !slices.Equal(got, []string{"x", "z"}) {
		t.Errorf("got %v", got)
	}
	e.ApplyOrder(evac.Order{Domain: "y", Version: 4, Evacuated: true}, "another entry")
	e.ApplyListing(6, nil, "store")
	if got := fmt.Sprint(log.all()[3:]); got != "[taken_back y 5 taken_back x 6 taken_back z 6]" {
		t.Errorf("events %s", got)
	}
}

// Guards against a gate that is informed only by the next regular call. The link learns the
// gate's domain from its first answer.
func TestGateLearnsOrderFromEntry(t *testing.T) {
	log := &eventLog{}
	g := &gate.Gate{IncarnationID: 2, Domain: "z", Event: log.add}
	g.HandleHeartbeat(targ.Incarnation{ID: "t", Addr: "127.0.0.1:1", Service: "s", Capacity: rsrc.Vector{CPU: 1000}})
	n := &Node{Gate: g, Event: discardEvent}
	n.Addr = serve(t, map[string]any{GateServiceName: n.Service()})
	e, _ := newServedEntry(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.ctx = ctx
	e.ApplyOrder(evac.Order{Domain: "z", Version: 3, Evacuated: true}, "store")
	e.AddMember(memb.Member{Role: memb.Gate, Addr: n.Addr})
	if !eventually(func() bool { return g.State().Evacuated }) {
		t.Fatal("the gate does not know the order")
	}
	began := boot.Now()
	e.ApplyOrder(evac.Order{Domain: "z", Version: 4}, "store")
	if !eventually(func() bool { return !g.State().Evacuated }) {
		t.Fatal("the gate does not know that the domain was taken back")
	}
	if took := boot.Now().Sub(began); took > time.Second {
		t.Errorf("after %v", took)
	}
	if got := fmt.Sprint(log.all()); got != "[evacuated z 3 taken_back z 4]" {
		t.Errorf("events %s", got)
	}
}
