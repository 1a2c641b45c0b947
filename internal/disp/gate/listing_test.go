package gate

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
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
// listing that reports the end, with the same target clock in ms. It still contains
// the run, which must not be taken for an unknown run.
func TestGateRecognisesRunThatHasJustEnded(t *testing.T) {
	now := boot.Time(time.Hour)
	var stops []string
	g := &Gate{
		IncarnationID: 7, Now: func() boot.Time { return now },
		Stop: func(_ context.Context, _ targ.Incarnation, o targ.Order) (int64, error) {
			stops = append(stops, o.Task)
			return 0, targ.ErrUnanswered
		},
	}
	g.HandleHeartbeat(newFakeTarget(1000).incarnation)
	r := &run{msg: msgs.Task{Name: "a", ExpectedRunTime: 10}, number: 1, phase: running, startClock: 5, finished: make(chan struct{})}
	g.runs = map[string]*run{"a": r}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyListing(targ.Listing{Clock: 100, Ended: []targ.Ended{{Seq: 1, Task: "a", Run: 1, Outcome: targ.EndedDone}}}, now)
	g.applyListing(targ.Listing{Clock: 100, Running: []targ.Running{{Task: "a", Run: 1}}}, now)
	if !g.reconciled {
		t.Error("a run that has just ended counts as unknown")
	}
	g.applyListing(targ.Listing{Clock: 101, Running: []targ.Running{{Task: "a", Run: 1}}}, now)
	if g.reconciled {
		t.Error("a run that is listed after its end does not count as unknown")
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
		o.applyListing(targ.Listing{Clock: clock}, o.now())
		o.applyListing(targ.Listing{Clock: clock - 1, Running: []targ.Running{{Task: "a", Run: 1}}}, o.now())
		if !o.reconciled {
			t.Error("a run that has ended counts as unknown")
		}
	})
}
