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

// bench is a gate with a target of one slot that runs a task until it is let go.
type bench struct {
	gate     *Gate
	announce target.Announcement
	calls    atomic.Int64
	begun    chan struct{}
	letGo    chan struct{}
}

func newBench(t *testing.T) *bench {
	b := &bench{begun: make(chan struct{}, 9), letGo: make(chan struct{}, 9)}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b.calls.Add(1)
		b.begun <- struct{}{}
		<-b.letGo
		_, _ = w.Write([]byte("done"))
	}))
	t.Cleanup(srv.Close)
	b.announce = target.Announcement{Service: "s", Addr: srv.Listener.Addr().String(), Slots: 1, Connections: 4}
	b.gate = &Gate{Clock: &clock.Clock{}, Stats: &stats.Set{}, Retention: time.Second}
	b.gate.StartIncarnation(7)
	if err := b.gate.HandleAnnouncement(b.announce); err != nil {
		t.Fatal(err)
	}
	return b
}

// send sends one message and returns its reply.
func (b *bench) send(mode msgs.Mode, task int, inc uint64) *msgs.StartReply {
	left := 5 * time.Second
	reply := &msgs.StartReply{}
	b.gate.Start(&msgs.Start{
		Mode: mode, Key: "k", Task: task, GateIncarnation: inc, TimeLeft: left.Milliseconds(), MaxWait: -1,
		Deadline: msgs.Millis(time.Now().Add(left)),
	}, reply)
	return reply
}

// later sends one message and returns the channel of its reply.
func (b *bench) later(mode msgs.Mode, task int) <-chan *msgs.StartReply {
	replies := make(chan *msgs.StartReply, 1)
	go func() { replies <- b.send(mode, task, 7) }()
	return replies
}

// occupy starts task 0 and has task 1 wait for its slot.
func (b *bench) occupy() (running, waiting <-chan *msgs.StartReply) {
	running = b.later(msgs.Begin, 0)
	<-b.begun
	waiting = b.later(msgs.Begin, 1)
	for b.gate.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	return running, waiting
}

func want(t *testing.T, reply *msgs.StartReply, state ledger.State, reason ledger.Reason) {
	t.Helper()
	if reply.State != int(state) || reply.Reason != string(reason) {
		t.Errorf("got %s %q, want %s %q", ledger.State(reply.State), reply.Reason, state, reason)
	}
}

func TestTaskRunsOnceAndItsOutcomeIsTold(t *testing.T) {
	b := newBench(t)
	first := b.later(msgs.Begin, 0)
	<-b.begun
	second := b.later(msgs.Begin, 0)
	asked := b.later(msgs.Query, 0)
	b.letGo <- struct{}{}
	for _, replies := range []<-chan *msgs.StartReply{first, second, asked} {
		want(t, <-replies, ledger.Answered, "")
	}
	if n := b.calls.Load(); n != 1 {
		t.Errorf("the target ran the task %d times", n)
	}
}

func TestTaskAskedForBeforeItArrivesNeverStarts(t *testing.T) {
	b := newBench(t)
	want(t, b.send(msgs.Query, 0, 7), ledger.NotRun, starts.Unseen)
	want(t, b.send(msgs.Begin, 0, 7), ledger.NotRun, starts.Unseen)
	if n := b.calls.Load(); n != 0 {
		t.Errorf("the target ran the task %d times", n)
	}
}

func TestOtherIncarnationStartsNothing(t *testing.T) {
	b := newBench(t)
	want(t, b.send(msgs.Begin, 0, 6), ledger.NotRun, OtherIncarnation)
	want(t, b.send(msgs.Query, 0, 6), ledger.Unknown, OtherIncarnation)
}

func TestLeavingTargetEndsWhatRunsAndStartsNothing(t *testing.T) {
	b := newBench(t)
	running, waiting := b.occupy()
	b.announce.Leaving = true
	if err := b.gate.HandleAnnouncement(b.announce); err != nil {
		t.Fatal(err)
	}
	want(t, <-waiting, ledger.NotRun, slots.Leaving)
	want(t, b.send(msgs.Begin, 2, 7), ledger.NotRun, slots.Leaving)
	if service, open := b.gate.ServiceAndSlots(); service != "s" || open != 0 {
		t.Errorf("a leaving target is listed with %d slots", open)
	}
	b.letGo <- struct{}{}
	want(t, <-running, ledger.Answered, "")
	if n := b.calls.Load(); n != 1 || !b.gate.Idle() {
		t.Errorf("the target ran %d tasks, idle: %t", n, b.gate.Idle())
	}
}

func TestCancelTakesATaskOutOfTheQueueOnly(t *testing.T) {
	b := newBench(t)
	running, waiting := b.occupy()
	cancelled := b.later(msgs.Cancel, 0)
	b.send(msgs.Cancel, 1, 7)
	want(t, <-waiting, ledger.NotRun, slots.GaveUp)
	b.letGo <- struct{}{}
	want(t, <-running, ledger.Answered, "")
	want(t, <-cancelled, ledger.Answered, "")
}
