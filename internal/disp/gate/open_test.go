package gate

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// openGate is a running gate with its fake target. Its methods act as an entry.
type openGate struct {
	*Gate
	t      *testing.T
	target *fakeTarget
	nextID uint64
	// suspended is the time, in ns, for which the gate's machine was suspended: its boot
	// clock went on while its timers stood still. Only in virtual time.
	suspended atomic.Int64
}

// open starts a gate for a target, waits until it is ready to start tasks, and
// stops it at the end of the test.
func open(t *testing.T, f *fakeTarget) *openGate {
	t.Helper()
	o := startGate(t, &Gate{IncarnationID: 7, Start: f.Start, Stop: f.Stop, Poll: f.Poll}, f)
	o.until("the target accepts tasks", func() bool { return o.sync().BlockedReason == "" })
	return o
}

// inVirtualTime runs a test of g as the gate of a target, in virtual time.
func inVirtualTime(t *testing.T, f *fakeTarget, g *Gate, test func(t *testing.T, o *openGate)) {
	t.Helper()
	startInVirtualTime(t, f, g, func() { g.HandleHeartbeat(f.incarnation) }, func(t *testing.T, o *openGate) {
		time.Sleep(100 * time.Millisecond)
		test(t, o)
	})
}

// startInVirtualTime runs a test of a gate that is being started, in virtual time. It calls
// announce, which makes the target known, just before.
func startInVirtualTime(t *testing.T, f *fakeTarget, g *Gate, announce func(), test func(t *testing.T, o *openGate)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		started := time.Now()
		f.startTime = started
		g.IncarnationID, g.Start, g.Stop, g.Poll = 7, f.Start, f.Stop, f.Poll
		o := &openGate{Gate: g, t: t, target: f}
		g.Now = func() boot.Time {
			return boot.Time(time.Hour).Add(time.Since(started) + time.Duration(o.suspended.Load()))
		}
		g.Steady = func() boot.Time { return boot.Time(time.Hour).Add(time.Since(started)) }
		announce()
		go g.Run(ctx)
		test(t, o)
		cancel()
		time.Sleep(5 * time.Second) // until the calls in progress have ended
	})
}

// besideRunBeingStopped runs a test of a gate that is started anew, in virtual time, while its
// target still has a run that an earlier process of the gate has stopped.
func besideRunBeingStopped(t *testing.T, test func(t *testing.T, o *openGate)) {
	t.Helper()
	f, g := newFakeTarget(1000), &Gate{}
	recall := func() {
		f.runs["old"] = fakeRun{number: 3, demand: rsrc.Vector{CPU: 900}, endsAt: f.startTime.Add(fakeStopTime), stopped: true}
		g.Recall(f.incarnation)
	}
	startInVirtualTime(t, f, g, recall, test)
}

// expectStart checks that the target starts a task that does not fit beside the run of
// besideRunBeingStopped, and that it does so within its capacity.
func (o *openGate) expectStart() {
	o.t.Helper()
	if reply := o.take(o.task("a", 500)); reply.Result != msgs.Done {
		o.t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	o.target.checkViolations(o.t)
}

// openStuck opens a gate for a target whose runs never end, and starts a task there
// by the given method, whose reply arrives on the channel.
func openStuck(t *testing.T, f *fakeTarget, take func(*openGate, msgs.Task) msgs.TaskReply) (*openGate, msgs.Task, <-chan msgs.TaskReply) {
	t.Helper()
	f.stallRuns = true
	o := open(t, f)
	m := o.task("a", 10)
	replies := make(chan msgs.TaskReply, 1)
	go func() { replies <- take(o, m) }()
	o.until("the task runs", func() bool { return o.sync().UsedCPU == 10 && o.hasStarted(m.Name) })
	return o, m, replies
}

// hasStarted reports whether the target has answered that it has started a task. Its
// capacity counts as used from the order on.
func (o *openGate) hasStarted(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.runs[name]
	return r != nil && r.state.InProgress()
}

// startGate starts a gate for a target and stops it at the end of the test.
func startGate(t *testing.T, g *Gate, f *fakeTarget) *openGate {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	g.HandleHeartbeat(f.incarnation)
	return &openGate{Gate: g, t: t, target: f}
}

// sync renews the entry's lease, cancels the given tasks and returns the load.
func (o *openGate) sync(cancel ...uint64) msgs.Load {
	s := msgs.Sender{Entry: "e", Incarnation: 1, GateIncarnation: 7}
	stamp := o.Sync(msgs.Sync{Sender: s}).Timestamp
	s.EchoedTimestamp = stamp
	return o.Sync(msgs.Sync{Sender: s, Cancel: cancel})
}

// task returns a task that requires the given CPU, with a lease from now on.
func (o *openGate) task(name string, cpu int) msgs.Task {
	o.target.update(func(f *fakeTarget) { f.demands[name] = rsrc.Vector{CPU: cpu} })
	o.nextID++
	return msgs.Task{
		Sender: msgs.Sender{Entry: "e", Incarnation: 1, GateIncarnation: 7, EchoedTimestamp: int64(o.now())},
		ID:     o.nextID, Name: name, Job: name, Service: "s", CPU: cpu, ExpectedRunTime: 60_000, MaxQueueTime: 5000,
	}
}

// takeUnrenewed runs a task without renewing the entry's lease, and returns the
// reply.
func (o *openGate) takeUnrenewed(m msgs.Task) msgs.TaskReply { return o.Take(context.Background(), m) }

// take runs a task, renews the entry's lease meanwhile, and returns the reply.
func (o *openGate) take(m msgs.Task) msgs.TaskReply {
	replies := make(chan msgs.TaskReply, 1)
	go func() { replies <- o.Take(context.Background(), m) }()
	for {
		select {
		case reply := <-replies:
			return reply
		case <-time.After(50 * time.Millisecond):
			o.sync()
		}
	}
}

// begin starts a task as take does, in virtual time, and returns the channel of its reply
// when the task runs.
func (o *openGate) begin(m msgs.Task) <-chan msgs.TaskReply {
	replies := make(chan msgs.TaskReply, 1)
	go func() { replies <- o.take(m) }()
	time.Sleep(50 * time.Millisecond)
	return replies
}

// announceLeave lets the target say that it leaves.
func (o *openGate) announceLeave() {
	leaving := o.target.incarnation
	leaving.Leaving = true
	o.HandleHeartbeat(leaving)
}

// tripBreaker runs a task of each of two jobs at a target that fails them, which
// opens its circuit breaker.
func (o *openGate) tripBreaker() {
	o.t.Helper()
	for _, name := range []string{"bad", "worse"} {
		if reply := o.take(o.task(name, 10)); reply.Result != msgs.Failed {
			o.t.Fatalf("got %v %q", reply.Result, reply.Reason)
		}
	}
}

// until waits until ok returns true, and fails the test if that takes too long.
func (o *openGate) until(what string, ok func() bool) {
	o.t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			o.t.Fatalf("timed out waiting until %s", what)
		}
	}
}
