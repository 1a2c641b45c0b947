package link

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// fakeGate answers the calls of a Link as the test specifies. Its clock moves
// only with calls and by advance.
type fakeGate struct {
	mu          sync.Mutex
	now         boot.Time
	incarnation uint64
	silent      bool
	blocked     string // reason that its loads give
	syncs       int    // Sync calls that it has answered
	onTask      func(call int, m msgs.Task) (msgs.TaskReply, error)
	tasks       []msgs.Task
	cancelled   []uint64
	orders      []msgs.Order // of the Sync calls
	losses      []msgs.Loss  // that it tells of
	told        []msgs.Loss  // that the link has passed on
	drops       int
}

func newFakeGate() (*fakeGate, *Link) {
	f := &fakeGate{now: boot.Time(time.Hour), incarnation: 5}
	f.onTask = func(int, msgs.Task) (msgs.TaskReply, error) { return msgs.TaskReply{Result: msgs.Done}, nil }
	return f, &Link{
		Addr: "g", Entry: "e", Incarnation: 1, Call: f.call, Drop: func(string) { f.drops++ },
		Now: f.clock, Orders: &evac.Set{}, Losses: f.recordTold,
	}
}

func (f *fakeGate) recordTold(losses []msgs.Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = append(f.told, losses...)
}

func (f *fakeGate) clock() boot.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// awaitTask waits until the gate has received a task.
func (f *fakeGate) awaitTask() {
	for {
		f.mu.Lock()
		n := len(f.tasks)
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
		return peer.ErrDeadlinePassed
	}
	load := msgs.Load{Incarnation: f.incarnation, Timestamp: int64(f.now), Service: "s", CPU: 1000, Memory: 10, BlockedReason: f.blocked, Domain: "z"}
	if method == SyncMethod {
		return f.sync(load, args, reply)
	}
	return f.takeTask(load, args, reply)
}

func (f *fakeGate) sync(load msgs.Load, args, reply any) error {
	m, argsOK := args.(*msgs.Sync)
	out, replyOK := reply.(*msgs.Load)
	if !argsOK || !replyOK {
		return peer.ErrBroken
	}
	f.cancelled = append(f.cancelled, m.Cancel...)
	f.orders = append(f.orders, m.Order)
	f.syncs++
	for _, c := range f.losses {
		load.LastLoss = c.Number
		if m.GateIncarnation != f.incarnation || c.Number > m.LossesSeen {
			load.Losses = append(load.Losses, c)
		}
	}
	*out = load
	return nil
}

func (f *fakeGate) takeTask(load msgs.Load, args, reply any) error {
	m, argsOK := args.(*msgs.Task)
	out, replyOK := reply.(*msgs.TaskReply)
	if !argsOK || !replyOK {
		return peer.ErrBroken
	}
	for _, c := range f.losses {
		load.LastLoss = c.Number
	}
	f.tasks = append(f.tasks, *m)
	result, err := f.onTask(len(f.tasks), *m)
	result.Load = load
	*out = result
	return err
}

func startTask(l *Link, m msgs.Task) chan msgs.TaskReply {
	replies := make(chan msgs.TaskReply, 1)
	go func() { replies <- l.RunTask(context.Background(), m, nil) }()
	return replies
}

// expectNoReply checks that no reply arrives during several poll intervals.
func expectNoReply(t *testing.T, replies chan msgs.TaskReply, reason string) {
	t.Helper()
	select {
	case r := <-replies:
		t.Fatalf("got %v %q, want no reply yet: %s", r.Result, r.Reason, reason)
	case <-time.After(4 * pollInterval):
	}
}

func TestRunTask(t *testing.T) {
	f, l := newFakeGate()
	if r := l.RunTask(context.Background(), msgs.Task{}, nil); r.Result != msgs.Refused {
		t.Errorf("before the gate has answered: got %v", r.Result)
	}
	l.sync(context.Background())
	if r := l.RunTask(context.Background(), msgs.Task{ID: 3}, nil); r.Result != msgs.Done {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
	m := f.tasks[0]
	if m.Entry != "e" || m.Incarnation != 1 || m.GateIncarnation != 5 || m.EchoedTimestamp == 0 {
		t.Errorf("sent %+v", m.Sender)
	}
}

func TestRunTaskIsRefusedIfNotSent(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	f.onTask = func(int, msgs.Task) (msgs.TaskReply, error) { return msgs.TaskReply{}, peer.ErrRefused }
	if r := l.RunTask(context.Background(), msgs.Task{}, nil); r.Result != msgs.Refused || len(f.tasks) != 1 {
		t.Errorf("got %v after %d calls", r.Result, len(f.tasks))
	}
}

// After a broken connection the task is sent again under the same ID, once the
// same incarnation of the gate has answered.
func TestRunTaskRepeatsTaskOnNewConnection(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	f.onTask = func(call int, _ msgs.Task) (msgs.TaskReply, error) {
		if call == 1 {
			return msgs.TaskReply{}, peer.ErrBroken
		}
		return msgs.TaskReply{Result: msgs.Failed}, nil
	}
	replies := startTask(l, msgs.Task{ID: 9})
	expectNoReply(t, replies, "the gate has not answered again")
	l.sync(context.Background())
	if r := <-replies; r.Result != msgs.Failed {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
	if f.tasks[0].ID != f.tasks[1].ID {
		t.Error("the repeated task has another ID")
	}
}

// A process stood still for so long that the gate has forgotten the result of a task whose
// reply was lost. The task was sent again as if its caller still waited, and ran once more, beside
// the run of another entry that the caller had come to.
func TestTaskIsNotRunAgainAfterStall(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	f.onTask = func(call int, m msgs.Task) (msgs.TaskReply, error) {
		switch {
		case call == 1:
			return msgs.TaskReply{}, peer.ErrBroken
		case slices.Contains(m.Cancel, m.ID):
			return msgs.TaskReply{Result: msgs.Refused, Reason: "cancelled"}, nil
		}
		return msgs.TaskReply{Result: msgs.Done}, nil
	}
	calls := 0
	valid := func() bool {
		calls++
		return calls == 1 // the process stands still after the first message
	}
	replies := make(chan msgs.TaskReply, 1)
	go func() { replies <- l.RunTask(context.Background(), msgs.Task{ID: 9}, valid) }()
	expectNoReply(t, replies, "the gate has not answered again")
	l.sync(context.Background())
	if r := <-replies; r.Result != msgs.Lost {
		t.Errorf("got %v %q, want that the task is lost: it may have run before", r.Result, r.Reason)
	}
	if again := f.tasks[len(f.tasks)-1]; len(f.tasks) != 2 || !slices.Contains(again.Cancel, again.ID) {
		t.Errorf("sent %d times, the last time with the cancellations %v", len(f.tasks), again.Cancel)
	}
}

// startTaskOnBrokenConnection sends a task to a gate whose connection breaks
// before each reply to a task.
func startTaskOnBrokenConnection() (*fakeGate, *Link, chan msgs.TaskReply) {
	f, l := newFakeGate()
	l.sync(context.Background())
	f.onTask = func(int, msgs.Task) (msgs.TaskReply, error) { return msgs.TaskReply{}, peer.ErrBroken }
	replies := startTask(l, msgs.Task{ID: 3, Name: "a"})
	f.awaitTask()
	return f, l, replies
}

// A task at a silent gate counts as lost only once its lease has certainly
// expired.
func TestRunTaskWaitsUntilLeaseHasExpired(t *testing.T) {
	f, l, replies := startTaskOnBrokenConnection()
	f.mu.Lock()
	f.silent = true
	f.mu.Unlock()
	l.sync(context.Background())
	f.advance(gate.MaxOrphanTime - time.Millisecond)
	expectNoReply(t, replies, "the lease may not have expired")
	f.advance(2 * time.Millisecond)
	if r := <-replies; r.Result != msgs.Lost || r.Reason != "silent" {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
	if f.drops == 0 {
		t.Error("the silent connection was not closed")
	}
}

// An answer from a new incarnation of the gate does not show that the tasks of
// the previous incarnation have ended.
func TestRunTaskWaitsAfterGateRestart(t *testing.T) {
	f, l, replies := startTaskOnBrokenConnection()
	f.mu.Lock()
	f.incarnation = 6
	f.mu.Unlock()
	for range 3 {
		l.sync(context.Background())
	}
	expectNoReply(t, replies, "the lease at the previous incarnation may not have expired")
	f.advance(gate.MaxOrphanTime)
	if r := <-replies; r.Result != msgs.Lost {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
}

func TestMisdirectedTaskIsRefused(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	f.onTask = func(int, msgs.Task) (msgs.TaskReply, error) { return msgs.TaskReply{Result: msgs.Foreign}, nil }
	if r := l.RunTask(context.Background(), msgs.Task{}, nil); r.Result != msgs.Refused || r.Reason != "stranger" {
		t.Errorf("got %v %q", r.Result, r.Reason)
	}
}

func TestCancelIsSentUntilAnswered(t *testing.T) {
	f, l := newFakeGate()
	l.Cancel(4)
	f.silent = true
	l.sync(context.Background())
	f.silent = false
	l.sync(context.Background())
	l.sync(context.Background())
	if !slices.Equal(f.cancelled, []uint64{4}) {
		t.Errorf("got %v", f.cancelled)
	}
}

// Each message that renews the lease has to cancel too: the Sync calls may fail one after
// the other while tasks get through.
func TestTaskCarriesUnconfirmedCancellations(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	l.Cancel(4)
	f.silent = true
	l.sync(context.Background())
	f.silent = false
	l.RunTask(context.Background(), msgs.Task{ID: 5}, nil)
	l.RunTask(context.Background(), msgs.Task{ID: 6}, nil)
	l.sync(context.Background())
	l.RunTask(context.Background(), msgs.Task{ID: 7}, nil)
	for i, want := range [][]uint64{{4}, {4}, nil} {
		if got := f.tasks[i].Cancel; !slices.Equal(got, want) {
			t.Errorf("task %d cancels %v, want %v", i, got, want)
		}
	}
}

func TestView(t *testing.T) {
	f, l := newFakeGate()
	if l.View(f.clock()).Available {
		t.Error("available before the gate has answered")
	}
	l.sync(context.Background())
	l.reserve(msgs.Task{CPU: 300})
	if v := l.View(f.clock()); !v.Available || v.Used.CPU != 300 {
		t.Errorf("got %+v", v)
	}
	f.advance(loadLag)
	l.sync(context.Background())
	if v := l.View(f.clock()); v.Used.CPU != 0 {
		t.Errorf("a task that the load includes is counted twice: %+v", v.Used)
	}
	f.advance(MaxLoadAge)
	if l.View(f.clock()).Available {
		t.Error("available with a load that is too old")
	}
}
