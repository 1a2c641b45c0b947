package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A run that a previous incarnation of the gate started is stopped before any task
// is started.
func TestGateStopsUnknownRunsFirst(t *testing.T) {
	f := newFakeTarget(1000)
	f.runs["old"] = fakeRun{number: 3, endsAt: time.Now().Add(time.Hour)}
	f.fence = time.Now().Add(time.Hour).UnixMilli() // the clock of the previous incarnation was ahead
	o := open(t, f)
	f.update(func(f *fakeTarget) {
		if len(f.runs) != 0 {
			t.Error("the unknown run was not stopped")
		}
	})
	if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

// With two polls open, a listing from before the end of a run may arrive after the
// listing that reports the end, whatever the clocks that they show. It still contains
// the run, which must not be taken for an unknown run. A listing that was asked for after the
// end proves an unknown run.
func TestGateRecognisesRunThatHasJustEnded(t *testing.T) {
	for _, clock := range []int64{99, 100, 101} {
		now := boot.Time(time.Hour)
		g := &Gate{
			IncarnationID: 7, Now: func() boot.Time { return now },
			Stop: func(context.Context, targ.Incarnation, targ.Order) (int64, error) {
				return 0, targ.ErrUnanswered
			},
		}
		g.HandleHeartbeat(newFakeTarget(1000).incarnation)
		r := &run{msg: msgs.Task{Name: "a", ExpectedRunTime: 10}, number: 1, state: start.State{}.See(0, 0), startClock: 5, finished: make(chan struct{})}
		g.runs = map[string]*run{"a": r}
		g.mu.Lock()
		g.surveyed = true
		before := g.newPoll(targ.Renewal{})
		now = now.Add(time.Millisecond)
		g.applyListing(before, targ.Listing{Clock: 100, Ended: []targ.Ended{{Seq: 1, Task: "a", Run: 1, Outcome: targ.EndedDone}}}, now)
		g.applyListing(before, targ.Listing{Clock: clock, Running: []targ.Running{{Task: "a", Run: 1}}}, now)
		if !g.reconciled() {
			t.Errorf("clock %d: a run that has just ended counts as unknown", clock)
		}
		now = now.Add(time.Millisecond)
		g.applyListing(g.newPoll(targ.Renewal{}), targ.Listing{Clock: clock, Running: []targ.Running{{Task: "a", Run: 1}}}, now)
		if g.reconciled() {
			t.Errorf("clock %d: a run that is listed after its end does not count as unknown", clock)
		}
		g.mu.Unlock()
	}
}

// No task is started while an unknown run is at the target, even if stopping that
// run takes a while.
func TestGateStartsNothingBesideUnknownRun(t *testing.T) {
	f := newFakeTarget(1000)
	f.runs["old"] = fakeRun{number: 3, demand: rsrc.Vector{CPU: 900}, endsAt: time.Now().Add(time.Hour)}
	stop := make(chan struct{})
	g := &Gate{IncarnationID: 7, Start: f.Start, Poll: f.Poll}
	g.Stop = func(ctx context.Context, inc targ.Incarnation, o targ.Order) (int64, error) {
		select {
		case <-stop:
			return f.Stop(ctx, inc, o)
		case <-ctx.Done():
			return 0, targ.ErrUnanswered
		}
	}
	o := startGate(t, g, f)
	o.until("the unknown run is detected", func() bool { return o.State().TargetKnown && o.sync().BlockedReason == cause.Silent })
	replies := make(chan msgs.TaskReply, 1)
	m := o.task("a", 500)
	m.MaxQueueTime = 60_000
	go func() { replies <- o.take(m) }()
	o.until("the task is queued", func() bool { return o.State().Queued == 1 })
	close(stop)
	if reply := <-replies; reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	f.checkViolations(t)
}

// A listing from before the end of a run may be handled after one that reports the end. The
// run must not count as unknown, which would block all starts.
func TestGateIgnoresOlderListing(t *testing.T) {
	f := newFakeTarget(1000)
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
			t.Fatalf("got %v %q", reply.Result, reply.Reason)
		}
		time.Sleep(idlePollInterval / 2)
		o.mu.Lock()
		defer o.mu.Unlock()
		clock := o.clock.At(o.steady()) // raises no bound of the clock
		before := o.newPoll(targ.Renewal{})
		before.sentAt = before.sentAt.Add(-idlePollInterval / 2)
		o.applyListing(o.newPoll(targ.Renewal{}), targ.Listing{Clock: clock}, o.now())
		o.applyListing(before, targ.Listing{Clock: clock - 1, Running: []targ.Running{{Task: "a", Run: 1}}}, o.now())
		if !o.reconciled() {
			t.Error("a run that has ended counts as unknown")
		}
	})
}

// Nothing says in which order a listing has its ends. One that follows a later one must not be
// acknowledged unread.
func TestEndsOfOneListingAreReadInAnyOrder(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		a, b := o.begin(o.task("a", 10)), o.begin(o.task("b", 10))
		o.mu.Lock()
		ended := []targ.Ended{{Seq: 2, Task: "b", Run: 1, Outcome: targ.EndedDone}, {Seq: 1, Task: "a", Run: 1, Outcome: targ.EndedDone}}
		o.applyListing(o.newPoll(targ.Renewal{}), targ.Listing{Clock: f.clock(), Ended: ended}, o.now())
		o.mu.Unlock()
		f.update(func(f *fakeTarget) { f.runs = map[string]fakeRun{} })
		for name, replies := range map[string]<-chan msgs.TaskReply{"a": a, "b": b} {
			if reply := <-replies; reply.Result != msgs.Done {
				t.Errorf("%s: got %v %q", name, reply.Result, reply.Reason)
			}
		}
	})
}

// A gate that had been started again stopped the runs of the process before, and counted their
// capacity as free when a listing lacked them, while the target was still stopping them.
func TestCapacityOfUnknownRunIsFreeWhenItsEndIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFakeTarget(1000)
		f.startTime = time.Now()
		f.runs["x"] = fakeRun{number: 1, demand: rsrc.Vector{CPU: 900}, endsAt: time.Now().Add(time.Hour)}
		f.until = f.clock() + TargetLease.Milliseconds()
		started := time.Now()
		g := &Gate{IncarnationID: 7, Start: f.Start, Stop: f.Stop, Poll: f.Poll}
		g.Now = func() boot.Time { return boot.Time(time.Hour).Add(time.Since(started)) }
		g.HandleHeartbeat(f.incarnation)
		go g.Run(ctx)
		o := &openGate{Gate: g, t: t, target: f}
		o.take(o.task("a", 200))
		f.checkViolations(t)
		cancel()
		time.Sleep(time.Second)
	})
}
