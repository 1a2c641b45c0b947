package link

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// fakeGate answers a link's calls as the test wants, on a clock that the test
// moves.
type fakeGate struct {
	mu      sync.Mutex
	now     boot.Time
	life    uint64
	silent  bool
	take    func(call int, m msgs.Task) (msgs.TaskReply, error)
	takes   []msgs.Task
	cancels []uint64
	drops   int
}

func newGate() (*fakeGate, *Link) {
	f := &fakeGate{now: boot.Time(time.Hour), life: 5}
	f.take = func(int, msgs.Task) (msgs.TaskReply, error) { return msgs.TaskReply{Result: msgs.Done}, nil }
	return f, &Link{Addr: "g", Entry: "e", Incarnation: 1, Call: f.call, Drop: func(string) { f.drops++ }, Now: f.clock}
}

func (f *fakeGate) clock() boot.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// awaitTake waits until the gate has been sent a task.
func (f *fakeGate) awaitTake() {
	for {
		f.mu.Lock()
		n := len(f.takes)
		f.mu.Unlock()
		if n > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fakeGate) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

func (f *fakeGate) call(_ context.Context, _, method string, args, reply any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now++
	if f.silent {
		return peer.ErrLate
	}
	load := msgs.Load{Life: f.life, Stamp: int64(f.now), Service: "s", CPU: 1000, Memory: 10}
	if method == SyncMethod {
		return f.sync(load, args, reply)
	}
	return f.run(load, args, reply)
}

func (f *fakeGate) sync(load msgs.Load, args, reply any) error {
	m, known := args.(*msgs.Sync)
	out, ok := reply.(*msgs.Load)
	if !known || !ok {
		return peer.ErrBroken
	}
	f.cancels = append(f.cancels, m.Cancel...)
	*out = load
	return nil
}

func (f *fakeGate) run(load msgs.Load, args, reply any) error {
	m, known := args.(*msgs.Task)
	out, ok := reply.(*msgs.TaskReply)
	if !known || !ok {
		return peer.ErrBroken
	}
	f.takes = append(f.takes, *m)
	got, err := f.take(len(f.takes), *m)
	got.Load = load
	*out = got
	return err
}

func do(l *Link, m msgs.Task) chan msgs.TaskReply {
	replies := make(chan msgs.TaskReply, 1)
	go func() { replies <- l.RunTask(context.Background(), m) }()
	return replies
}

// none checks that no reply comes while the link polls some times.
func none(t *testing.T, replies chan msgs.TaskReply, while string) {
	t.Helper()
	select {
	case r := <-replies:
		t.Fatalf("got %v %q while %s", r.Result, r.Reason, while)
	case <-time.After(4 * pollEvery):
	}
}

func TestDo(t *testing.T) {
	f, l := newGate()
	if r := l.RunTask(context.Background(), msgs.Task{}); r.Result != msgs.Refused {
		t.Errorf("before the gate is known: got %v", r.Result)
	}
	l.sync(context.Background())
	if r := l.RunTask(context.Background(), msgs.Task{ID: 3}); r.Result != msgs.Done {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
	m := f.takes[0]
	if m.Entry != "e" || m.Life != 1 || m.GateLife != 5 || m.Echo == 0 {
		t.Errorf("sent %+v", m.Sender)
	}
}

func TestDoRefusesWhatNeverLeft(t *testing.T) {
	f, l := newGate()
	l.sync(context.Background())
	f.take = func(int, msgs.Task) (msgs.TaskReply, error) { return msgs.TaskReply{}, peer.ErrRefused }
	if r := l.RunTask(context.Background(), msgs.Task{}); r.Result != msgs.Refused || len(f.takes) != 1 {
		t.Errorf("got %v after %d calls", r.Result, len(f.takes))
	}
}

// After a broken connection the same task is asked for again, at the same life.
func TestDoRepeatsTaskOnNewConnection(t *testing.T) {
	f, l := newGate()
	l.sync(context.Background())
	f.take = func(call int, _ msgs.Task) (msgs.TaskReply, error) {
		if call == 1 {
			return msgs.TaskReply{}, peer.ErrBroken
		}
		return msgs.TaskReply{Result: msgs.Failed}, nil
	}
	replies := do(l, msgs.Task{ID: 9})
	none(t, replies, "the gate has not answered again")
	l.sync(context.Background())
	if r := <-replies; r.Result != msgs.Failed {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
	if f.takes[0].ID != f.takes[1].ID {
		t.Error("another ID the second time")
	}
}

// doBroken sends a task to a gate that breaks the connection each time.
func doBroken() (*fakeGate, *Link, chan msgs.TaskReply) {
	f, l := newGate()
	l.sync(context.Background())
	f.take = func(int, msgs.Task) (msgs.TaskReply, error) { return msgs.TaskReply{}, peer.ErrBroken }
	replies := do(l, msgs.Task{})
	f.awaitTake()
	return f, l, replies
}

// A task at a silent gate is lost only when its lease has surely lapsed.
func TestDoWaitsUntilLeaseHasLapsed(t *testing.T) {
	f, l, replies := doBroken()
	f.mu.Lock()
	f.silent = true
	f.mu.Unlock()
	l.sync(context.Background())
	f.advance(gate.MaxOrphanTime - time.Millisecond)
	none(t, replies, "the lease may hold")
	f.advance(2 * time.Millisecond)
	if r := <-replies; r.Result != msgs.Lost || r.Reason != "silent" {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
	if f.drops == 0 {
		t.Error("the silent connection was kept")
	}
}

// A new life of the gate says nothing of what its former life left running.
func TestDoWaitsAfterGateStartedAgain(t *testing.T) {
	f, l, replies := doBroken()
	f.mu.Lock()
	f.life = 6
	f.mu.Unlock()
	for range 3 {
		l.sync(context.Background())
	}
	none(t, replies, "the former life's lease may hold")
	f.advance(gate.MaxOrphanTime)
	if r := <-replies; r.Result != msgs.Lost {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
}

func TestStrangerNeverHadTheTask(t *testing.T) {
	f, l := newGate()
	l.sync(context.Background())
	f.take = func(int, msgs.Task) (msgs.TaskReply, error) { return msgs.TaskReply{Result: msgs.Stranger}, nil }
	if r := l.RunTask(context.Background(), msgs.Task{}); r.Result != msgs.Refused || r.Reason != "stranger" {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
}

func TestCancelIsSentUntilAnswered(t *testing.T) {
	f, l := newGate()
	l.Cancel(4)
	f.silent = true
	l.sync(context.Background())
	f.silent = false
	l.sync(context.Background())
	l.sync(context.Background())
	if !slices.Equal(f.cancels, []uint64{4}) {
		t.Errorf("got %v", f.cancels)
	}
}

func TestView(t *testing.T) {
	f, l := newGate()
	if l.View(f.clock()).Available {
		t.Error("usable before the gate is known")
	}
	l.sync(context.Background())
	l.note(msgs.Task{CPU: 300})
	if v := l.View(f.clock()); !v.Available || v.Used.CPU != 300 {
		t.Errorf("got %+v", v)
	}
	f.advance(inFlight)
	l.sync(context.Background())
	if v := l.View(f.clock()); v.Used.CPU != 0 {
		t.Errorf("a task that the load tells counts twice: %+v", v.Used)
	}
	f.advance(Fresh)
	if l.View(f.clock()).Available {
		t.Error("usable by an old load")
	}
}
