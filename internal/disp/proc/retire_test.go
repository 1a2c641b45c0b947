package proc

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// fakeGate is the service of a gate whose tasks run until release is closed.
type fakeGate struct {
	taken   chan uint64 // IDs of the tasks that have arrived
	release chan struct{}

	mu        sync.Mutex
	cancelled map[uint64]bool
}

// Take runs a task until release is closed.
func (g *fakeGate) Take(m *msgs.Task, reply *msgs.TaskReply) error {
	g.taken <- m.ID
	<-g.release
	*reply = msgs.TaskReply{Result: msgs.Done, Load: g.load()}
	return nil
}

// Sync records the cancellations.
func (g *fakeGate) Sync(m *msgs.Sync, reply *msgs.Load) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range m.Cancel {
		g.cancelled[id] = true
	}
	*reply = g.load()
	return nil
}

func (g *fakeGate) load() msgs.Load {
	return msgs.Load{Incarnation: 1, Timestamp: int64(boot.Now()), Service: "s", CPU: 1000}
}

func (g *fakeGate) hasCancelled(id uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cancelled[id]
}

// linkedEntry is an entry with a link to a fakeGate that has a task of the entry with the
// ID 1, whose reply arrives on replies.
type linkedEntry struct {
	*Entry
	gate    *fakeGate
	node    memb.Member
	link    *link.Link
	replies chan msgs.TaskReply
}

func newLinkedEntry(t *testing.T) *linkedEntry {
	t.Helper()
	g := &fakeGate{taken: make(chan uint64, 10), release: make(chan struct{}), cancelled: map[uint64]bool{}}
	node := memb.Member{Role: memb.Gate, Addr: serve(t, map[string]any{GateServiceName: g})}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	e := &linkedEntry{Entry: &Entry{Name: "e", Incarnation: 1, ctx: ctx}, gate: g, node: node, replies: make(chan msgs.TaskReply, 1)}
	e.AddMember(node)
	e.link = e.Links()[0]
	if !eventually(func() bool { return e.link.View(boot.Now()).Available }) {
		t.Fatal("the gate has not answered")
	}
	go func() { e.replies <- e.link.RunTask(context.Background(), msgs.Task{ID: 1}, nil) }()
	<-g.taken
	return e
}

// eventually reports whether a condition becomes true within some seconds.
func eventually(condition func() bool) bool {
	for limit := time.Now().Add(5 * time.Second); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (e *linkedEntry) openLinks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links)
}

// A second link to a node would renew the lease on tasks that the first one reports as
// lost, and a closed link sends no cancellations.
func TestRemovedNodeKeepsItsOnlyLink(t *testing.T) {
	e := newLinkedEntry(t)
	e.RemoveMember(e.node)
	if len(e.Links()) > 0 {
		t.Error("a removed node is offered for placements")
	}
	e.AddMember(e.node)
	if got := e.Links(); len(got) != 1 || got[0] != e.link {
		t.Error("a node that is known again has not got its link back")
	}
	e.RemoveMember(e.node)
	e.link.Cancel(1)
	if !eventually(func() bool { return e.gate.hasCancelled(1) }) {
		t.Error("a task of a removed node is never cancelled")
	}
	close(e.gate.release)
	if r := <-e.replies; r.Result != msgs.Done {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
	if !eventually(func() bool { return e.openLinks() == 0 }) {
		t.Error("the link is never closed")
	}
}

// While another link renews the lease, a task goes on whose own link makes no calls. That
// must not take it for lost when the connection breaks, since it would be placed again.
func TestTaskOfRemovedNodeIsNotLostWhileItRuns(t *testing.T) {
	e := newLinkedEntry(t)
	e.RemoveMember(e.node)
	e.AddMember(e.node)
	e.pool.Drop(e.node.Addr)
	select {
	case r := <-e.replies:
		t.Errorf("got %v %q while the task runs", r.Result, r.Reason)
		close(e.gate.release)
	case <-time.After(gate.MaxOrphanTime * 3 / 2):
		close(e.gate.release)
		if r := <-e.replies; r.Result != msgs.Done {
			t.Errorf("got %v %q", r.Result, r.Reason)
		}
	}
}

// A node does not announce itself while it is called, so it must not stay removed for as
// long as it has tasks.
func TestRemovedNodeThatAnswersIsUsedAgain(t *testing.T) {
	e := newLinkedEntry(t)
	defer close(e.gate.release)
	e.RemoveMember(e.node)
	e.recordGateContacts()
	e.updateLinks()
	if got := e.Links(); len(got) != 1 || got[0] != e.link {
		t.Error("the node is not used again")
	}
}
