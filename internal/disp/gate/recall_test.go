package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// recallGate runs a gate that recalls the target of f, in virtual time, until ctx ends.
func recallGate(ctx context.Context, t *testing.T, f *fakeTarget, inc targ.Incarnation) *openGate {
	started := time.Now()
	g := &Gate{IncarnationID: 7, Start: f.Start, Stop: f.Stop, Poll: f.Poll}
	g.Now = func() boot.Time { return boot.Time(time.Hour).Add(time.Since(started)) }
	g.Recall(inc)
	go g.Run(ctx)
	time.Sleep(100 * time.Millisecond)
	return &openGate{Gate: g, t: t, target: f}
}

// A recalled target takes tasks at once, none from the end of confirmPeriod on, and
// again after a heartbeat.
func TestRecalledTargetNeedsHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFakeTarget(1000)
		o := recallGate(ctx, t, f, f.incarnation)
		take := func(name string) msgs.Result {
			m := o.task(name, 10)
			m.EchoedTimestamp = int64(o.Now())
			return o.take(m).Result
		}
		if got := take("early"); got != msgs.Done {
			t.Errorf("before the heartbeat: got %v", got)
		}
		time.Sleep(confirmPeriod)
		if got := take("unconfirmed"); got != msgs.Refused {
			t.Errorf("without a heartbeat: got %v", got)
		}
		o.HandleHeartbeat(f.incarnation)
		if got := take("confirmed"); got != msgs.Done {
			t.Errorf("after the heartbeat: got %v", got)
		}
		cancel()
	})
}

// A task that runs when confirmPeriod ends is left to run: a target that is only slow
// to report must not lose its work.
func TestUnconfirmedTargetKeepsItsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFakeTarget(1000)
		f.stallRuns = true
		o := recallGate(ctx, t, f, f.incarnation)
		m := o.task("long", 10)
		m.EchoedTimestamp, m.ExpectedRunTime = int64(o.Now()), 60_000
		replies := make(chan msgs.TaskReply, 1)
		go func() { replies <- o.take(m) }()
		time.Sleep(confirmPeriod + 500*time.Millisecond)
		f.update(func(f *fakeTarget) {
			if len(f.runs) != 1 {
				t.Errorf("%d runs, want 1", len(f.runs))
			}
		})
		cancel()
		o.sync(m.ID)
		time.Sleep(time.Minute)
	})
}

// A record of an incarnation that has ended starts nothing, and gives way to the
// incarnation that sends a heartbeat even if that was born earlier by its clock.
func TestOutdatedRecordGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFakeTarget(1000)
		outdated := f.incarnation
		outdated.ID, outdated.Born = "gone", outdated.Born+1_000_000
		o := recallGate(ctx, t, f, outdated)
		if o.sync().BlockedReason == "" {
			t.Error("an incarnation that does not answer is offered to entries")
		}
		if !o.HandleHeartbeat(f.incarnation) {
			t.Error("the heartbeat was rejected")
		}
		time.Sleep(100 * time.Millisecond)
		m := o.task("a", 10)
		m.EchoedTimestamp = int64(o.Now())
		if got := o.take(m); got.Result != msgs.Done {
			t.Errorf("got %v %q", got.Result, got.Reason)
		}
		cancel()
	})
}

// A heartbeat that was delayed may come from an incarnation before the recalled one. Once
// the recalled one has answered, its runs must not be given up for that: they would
// be started again elsewhere while they run.
func TestDelayedHeartbeatDoesNotReplaceRecalledTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFakeTarget(1000)
		f.incarnation.Born = 2
		f.stallRuns = true
		o := recallGate(ctx, t, f, f.incarnation)
		m := o.task("long", 10)
		m.EchoedTimestamp = int64(o.Now())
		replies := make(chan msgs.TaskReply, 1)
		go func() { replies <- o.take(m) }()
		time.Sleep(100 * time.Millisecond)
		older := f.incarnation
		older.ID, older.Born = "older", 1
		if o.HandleHeartbeat(older) {
			t.Error("the heartbeat of an older incarnation was accepted")
		}
		time.Sleep(100 * time.Millisecond)
		select {
		case reply := <-replies:
			t.Errorf("the run was given up: %v %q", reply.Result, reply.Reason)
		default:
		}
		cancel()
		o.sync(m.ID)
		time.Sleep(time.Minute)
	})
}
