package gate

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/slots"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/node/target"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// testGate is a gate whose target has one slot. The target signals on started that a
// task has arrived, and completes the task on receiving from release.
type testGate struct {
	gate         *Gate
	announcement target.Announcement
	calls        atomic.Int64
	started      chan struct{}
	release      chan struct{}
}

// newTestGate returns a testGate whose gate is in incarnation 7.
func newTestGate(t *testing.T) *testGate {
	g := &testGate{started: make(chan struct{}, 9), release: make(chan struct{}, 9)}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		g.calls.Add(1)
		g.started <- struct{}{}
		<-g.release
		_, _ = w.Write([]byte("done"))
	}))
	t.Cleanup(srv.Close)
	g.announcement = target.Announcement{Service: "s", Addr: srv.Listener.Addr().String(), Slots: 1, Connections: 4}
	g.gate = &Gate{Clock: &clock.Clock{}, Stats: &stats.Set{}, Retention: time.Second}
	g.gate.StartIncarnation(7)
	if err := g.gate.HandleAnnouncement(g.announcement); err != nil {
		t.Fatal(err)
	}
	return g
}

// send sends a message and returns its reply.
func (g *testGate) send(mode msgs.Mode, task int, incarnation uint64) *msgs.StartReply {
	timeLeft := 5 * time.Second
	reply := &msgs.StartReply{}
	g.gate.Start(&msgs.Start{
		Mode: mode, Key: "k", Task: task, GateIncarnation: incarnation, TimeLeft: timeLeft.Milliseconds(), MaxWait: -1,
		Deadline: msgs.Millis(time.Now().Add(timeLeft)),
	}, reply)
	return reply
}

// sendAsync sends a message to the present incarnation and returns a channel that
// receives its reply.
func (g *testGate) sendAsync(mode msgs.Mode, task int) <-chan *msgs.StartReply {
	replies := make(chan *msgs.StartReply, 1)
	go func() { replies <- g.send(mode, task, 7) }()
	return replies
}

// occupySlot starts task 0 and queues task 1 behind it.
func (g *testGate) occupySlot() (running, waiting <-chan *msgs.StartReply) {
	running = g.sendAsync(msgs.Begin, 0)
	<-g.started
	waiting = g.sendAsync(msgs.Begin, 1)
	for g.gate.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	return running, waiting
}

// checkReply checks the state and the reason in a reply.
func checkReply(t *testing.T, reply *msgs.StartReply, state ledger.State, reason ledger.Reason) {
	t.Helper()
	if reply.State != int(state) || reply.Reason != string(reason) {
		t.Errorf("got %s %q, want %s %q", ledger.State(reply.State), reply.Reason, state, reason)
	}
}

func TestTaskRunsOnceAndEveryRequestGetsItsResult(t *testing.T) {
	g := newTestGate(t)
	first := g.sendAsync(msgs.Begin, 0)
	<-g.started
	second := g.sendAsync(msgs.Begin, 0)
	resolved := g.sendAsync(msgs.Query, 0)
	g.release <- struct{}{}
	for _, replies := range []<-chan *msgs.StartReply{first, second, resolved} {
		checkReply(t, <-replies, ledger.Answered, "")
	}
	if n := g.calls.Load(); n != 1 {
		t.Errorf("the target ran the task %d times", n)
	}
}

func TestTaskResolvedBeforeItArrivesNeverStarts(t *testing.T) {
	g := newTestGate(t)
	checkReply(t, g.send(msgs.Query, 0, 7), ledger.NotRun, starts.Unseen)
	checkReply(t, g.send(msgs.Begin, 0, 7), ledger.NotRun, starts.Unseen)
	if n := g.calls.Load(); n != 0 {
		t.Errorf("the target ran the task %d times", n)
	}
}

func TestMisdirectedMessageStartsNothing(t *testing.T) {
	g := newTestGate(t)
	checkReply(t, g.send(msgs.Begin, 0, 6), ledger.NotRun, OtherIncarnation)
	checkReply(t, g.send(msgs.Query, 0, 6), ledger.Unknown, OtherIncarnation)
}

func TestLeavingTargetEndsWhatRunsAndStartsNothing(t *testing.T) {
	g := newTestGate(t)
	running, waiting := g.occupySlot()
	g.announcement.Leaving = true
	if err := g.gate.HandleAnnouncement(g.announcement); err != nil {
		t.Fatal(err)
	}
	checkReply(t, <-waiting, ledger.NotRun, slots.Leaving)
	checkReply(t, g.send(msgs.Begin, 2, 7), ledger.NotRun, slots.Leaving)
	if service, openSlots := g.gate.ServiceAndSlots(); service != "s" || openSlots != 0 {
		t.Errorf("a leaving target offers %d slots for new tasks", openSlots)
	}
	g.release <- struct{}{}
	checkReply(t, <-running, ledger.Answered, "")
	if n := g.calls.Load(); n != 1 || !g.gate.Idle() {
		t.Errorf("the target ran %d tasks, idle: %t", n, g.gate.Idle())
	}
}

func TestCancelRemovesOnlyQueuedTasks(t *testing.T) {
	g := newTestGate(t)
	running, waiting := g.occupySlot()
	cancelled := g.sendAsync(msgs.Cancel, 0)
	g.send(msgs.Cancel, 1, 7)
	checkReply(t, <-waiting, ledger.NotRun, slots.GaveUp)
	g.release <- struct{}{}
	checkReply(t, <-running, ledger.Answered, "")
	checkReply(t, <-cancelled, ledger.Answered, "")
}
