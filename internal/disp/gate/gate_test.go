package gate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

func TestGateRunsTask(t *testing.T) {
	o := open(t, newFake(1000))
	if reply := o.take(o.task("a", 500)); reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	o.target.check(t)
}

func TestGateKeepsRoom(t *testing.T) {
	o := open(t, newFake(1000))
	var wg sync.WaitGroup
	for i := range 40 {
		m := o.task(fmt.Sprintf("t%d", i), 300)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if reply := o.take(m); reply.Result != msgs.Done {
				t.Errorf("got %v %q", reply.Result, reply.Reason)
			}
		}()
	}
	wg.Wait()
	o.target.check(t)
}

func TestGateRefusesWhatItCantRun(t *testing.T) {
	o := open(t, newFake(1000))
	full := o.task("full", 1000)
	full.Patience = 0
	o.target.set(func(f *fakeTarget) { f.stuck = true })
	go o.take(o.task("busy", 900))
	o.until("a task runs", func() bool { return o.sync().UsedCPU == 900 })
	other := o.task("other", 10)
	other.Service = "else"
	late := o.task("late", 10)
	late.Entry, late.Echo = "late", 1
	for want, m := range map[string]msgs.Task{
		"size": o.task("wide", 1001), "full": full, "service": other, "twin": o.task("busy", 10), "expired": late,
	} {
		if reply := o.take(m); reply.Result != msgs.Refused || reply.Reason != want {
			t.Errorf("got %v %q, want refused %q", reply.Result, reply.Reason, want)
		}
	}
	o.sync(1, 2, 3, 4, 5, 6, 7)
}

func TestGateRefusesOtherLife(t *testing.T) {
	o := open(t, newFake(1000))
	m := o.task("a", 10)
	m.GateLife = 8
	if reply := o.take(m); reply.Result != msgs.Stranger {
		t.Errorf("got %v", reply.Result)
	}
}

func TestGateAnswersRepeatedTaskOnce(t *testing.T) {
	o := open(t, newFake(1000))
	m := o.task("a", 10)
	first, again := o.take(m), o.take(m)
	if first.Result != msgs.Done || again.Result != msgs.Done {
		t.Errorf("got %v, %v", first.Result, again.Result)
	}
	o.target.set(func(f *fakeTarget) {
		if f.startCalls != 1 {
			t.Errorf("%d starts", f.startCalls)
		}
	})
}

func TestGateSettlesStartWhoseAnswerIsLost(t *testing.T) {
	f := newFake(1000)
	f.loseStarts = 1
	o := open(t, f)
	if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	f.check(t)
}

// A start that is carried out seconds late must do nothing.
func TestGateBarsStartThatComesLate(t *testing.T) {
	f := newFake(1000)
	f.skipStarts = 1
	o := open(t, f)
	if reply := o.take(o.task("a", 10)); reply.Result != msgs.Refused || reply.Reason != "unanswered" {
		t.Fatalf("got %v %q", reply.Result, reply.Reason)
	}
	f.carryOutLate()
	f.set(func(f *fakeTarget) {
		if len(f.runs) != 0 {
			t.Error("a barred start was carried out")
		}
	})
	if o.sync().Aside != "" {
		t.Error("one order without an answer set the target aside")
	}
}

func TestGateStopsWhatIsCancelled(t *testing.T) {
	o, m, replies := openStuck(t, newFake(1000), (*opened).takeOnce)
	o.until("it is stopped", func() bool { return o.sync(m.ID).UsedCPU == 0 })
	if reply := <-replies; reply.Result == msgs.Done || reply.Reason != "cancelled" {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

// An entry that falls silent loses its tasks within Authority and a little.
func TestGateStopsTasksOfSilentEntry(t *testing.T) {
	f := newFake(1000)
	f.stuck = true
	o := open(t, f)
	m := o.task("a", 10)
	begin := time.Now()
	reply := o.Take(context.Background(), m)
	if reply.Result != msgs.Lost || reply.Reason != "expired" {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	if took := time.Since(begin); took < EntryLease {
		t.Errorf("gave it up after %v", took)
	}
}

func TestGateEndsTasksOfEntryThatStartedAgain(t *testing.T) {
	o, _, replies := openStuck(t, newFake(1000), (*opened).takeOnce)
	again := msgs.Sender{Entry: "e", Life: 2, GateLife: 7, Echo: o.sync().Stamp}
	for range 3 * EntryLease / (50 * time.Millisecond) {
		again.Echo = o.Sync(msgs.Sync{Sender: again}).Stamp
		select {
		case reply := <-replies:
			if reply.Result != msgs.Lost || reply.Reason != "expired" {
				t.Errorf("got %v %q", reply.Result, reply.Reason)
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Error("the former life's task runs on")
}

// A target that was set aside was never tried again, since the trial itself made
// it look set aside to its order.
func TestGateTriesTargetAgain(t *testing.T) {
	f := newFake(1000)
	f.fail = true
	o := open(t, f)
	o.failTwice()
	if reply := o.take(o.task("kept off", 10)); reply.Result != msgs.Refused || reply.Reason != "aside" {
		t.Fatalf("got %v %q", reply.Result, reply.Reason)
	}
	f.set(func(f *fakeTarget) { f.fail = false })
	i := 0
	o.until("it runs tasks again", func() bool {
		i++
		return o.take(o.task(fmt.Sprintf("try%d", i), 10)).Result == msgs.Done
	})
	if aside := o.sync().Aside; aside != "" {
		t.Errorf("set aside as %q after a success", aside)
	}
}

func TestGateGivesUpTasksOfSilentTarget(t *testing.T) {
	f := newFake(1000)
	o, _, replies := openStuck(t, f, (*opened).take)
	f.set(func(f *fakeTarget) { f.mute = true })
	if reply := <-replies; reply.Result != msgs.Lost || reply.Reason != "silent" {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	f.set(func(f *fakeTarget) {
		f.mute, f.stuck = false, false
		if f.clock() <= f.until {
			t.Error("given up before its lease had run out")
		}
	})
	o.until("the target is used again", func() bool { return o.sync().Aside == "" })
	if reply := o.take(o.task("b", 10)); reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

func TestGateMovesToNewLife(t *testing.T) {
	f := newFake(1000)
	o, _, replies := openStuck(t, f, (*opened).take)
	old := f.life
	f.set(func(f *fakeTarget) {
		f.life.ID, f.life.Born = "i-2", 2
		f.runs, f.last, f.ended, f.fence, f.until, f.stuck = map[string]fakeRun{}, map[string]int{}, nil, 0, 0, false
	})
	o.Announced(f.life)
	if reply := <-replies; reply.Result != msgs.Lost || reply.Reason != "reborn" {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	if o.Announced(old) {
		t.Error("a late heartbeat brought a former life back")
	}
	o.until("the new life is used", func() bool { return o.sync().Aside == "" })
	if reply := o.take(o.task("b", 10)); reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

// What a former process started is stopped before anything else starts.
func TestGateStopsStrangersFirst(t *testing.T) {
	f := newFake(1000)
	f.runs["old"] = fakeRun{number: 3, ends: time.Now().Add(time.Hour)}
	f.fence = time.Now().Add(time.Hour).UnixMilli() // its clock was ahead
	o := open(t, f)
	f.set(func(f *fakeTarget) {
		if len(f.runs) != 0 {
			t.Error("a stranger runs on")
		}
	})
	if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

func TestGateLeavesWithItsTarget(t *testing.T) {
	o := open(t, newFake(1000))
	leaving := o.target.life
	leaving.Leaving = true
	o.Announced(leaving)
	if reply := o.take(o.task("a", 10)); reply.Result != msgs.Refused || reply.Reason != "leaving" {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	o.Announced(o.target.life)
	if !o.sync().Leaving {
		t.Error("a late heartbeat took the leaving back")
	}
}

func TestGateRaisesRunOfTaskSeenBefore(t *testing.T) {
	f := newFake(1000)
	f.last["a"] = 6
	o := open(t, f)
	if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

func TestGateStopsTaskThatStandsStill(t *testing.T) {
	f := newFake(1000)
	f.stuck = true
	o := open(t, f)
	m := o.task("a", 10)
	m.Expected = 20
	if reply := o.take(m); reply.Result != msgs.Lost || reply.Reason != "stuck" {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

// Two lists of the same millisecond may overtake each other. The one that was
// made before a run's end shows it; that is no stranger.
func TestGateKnowsRunThatHasJustEnded(t *testing.T) {
	now := boot.Time(time.Hour)
	var stops []string
	g := &Gate{
		IncarnationID: 7, Now: func() boot.Time { return now },
		Stop: func(_ context.Context, _ targ.Incarnation, o targ.Order) (int64, error) {
			stops = append(stops, o.Task)
			return 0, targ.ErrUnanswered
		},
	}
	g.Announced(newFake(1000).life)
	r := &run{msg: msgs.Task{Name: "a", Expected: 10}, number: 1, phase: running, since: 5, finished: make(chan struct{})}
	g.runs = map[string]*run{"a": r}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(targ.Listing{Clock: 100, Ended: []targ.Ended{{Seq: 1, Task: "a", Run: 1, Outcome: targ.EndedDone}}}, now)
	g.apply(targ.Listing{Clock: 100, Running: []targ.Running{{Task: "a", Run: 1}}}, now)
	if !g.clean {
		t.Error("a run that has just ended counts as a stranger")
	}
	g.apply(targ.Listing{Clock: 101, Running: []targ.Running{{Task: "a", Run: 1}}}, now)
	if g.clean {
		t.Error("a run that is listed after its end is no stranger")
	}
}

// Nothing is started while something unknown runs at the target, also if it
// can't be stopped for a while.
func TestGateStartsNothingBesideAStranger(t *testing.T) {
	f := newFake(1000)
	f.runs["old"] = fakeRun{number: 3, size: rsrc.Vector{CPU: 900}, ends: time.Now().Add(time.Hour)}
	stop := make(chan struct{})
	g := &Gate{IncarnationID: 7, Start: f.Start, Poll: f.Hold}
	g.Stop = func(ctx context.Context, l targ.Incarnation, o targ.Order) (int64, error) {
		select {
		case <-stop:
			return f.Stop(ctx, l, o)
		case <-ctx.Done():
			return 0, targ.ErrUnanswered
		}
	}
	o := start(t, g, f)
	o.until("the stranger is seen", func() bool { return o.State().TargetKnown && o.sync().Aside == cause.Silent })
	replies := make(chan msgs.TaskReply, 1)
	m := o.task("a", 500)
	m.Patience = 60_000
	go func() { replies <- o.take(m) }()
	o.until("the task waits", func() bool { return o.State().Queued == 1 })
	close(stop)
	if reply := <-replies; reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	f.check(t)
}

// A task that insists is started though the target is set aside; others that wait
// are handed back at once.
func TestGateTakesTaskThatInsists(t *testing.T) {
	f := newFake(1000)
	f.fail = true
	o := open(t, f)
	o.failTwice()
	if reply := o.take(o.task("other", 10)); reply.Result != msgs.Refused || reply.Reason != cause.Aside {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	f.set(func(f *fakeTarget) { f.fail = false })
	m := o.task("insists", 10)
	m.Insist = true
	if reply := o.take(m); reply.Result != msgs.Done {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

// A cancellation may overtake the task that it is for.
func TestGateRefusesTaskThatWasCancelledBefore(t *testing.T) {
	o := open(t, newFake(1000))
	m := o.task("a", 10)
	o.sync(m.ID)
	m.Echo = o.sync().Stamp
	if reply := o.take(m); reply.Result != msgs.Refused || reply.Reason != cause.Cancelled {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
	if o.target.startCalls != 0 {
		t.Error("it was started")
	}
}

// A message that was held up must not start what its entry has given up since,
// though the entry lives on.
func TestGateRefusesMessageThatWasHeldUp(t *testing.T) {
	o := open(t, newFake(1000))
	m := o.task("a", 10)
	m.Echo = int64(boot.Now().Add(-EntryLease))
	o.sync()
	if reply := o.take(m); reply.Result != msgs.Refused || reply.Reason != cause.LeaseExpired {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}

// The entry places a task elsewhere once a copy of it was refused, so no other copy
// may start.
func TestGateKeepsToARefusal(t *testing.T) {
	o := open(t, newFake(1000))
	m := o.task("a", 10)
	m.Service = "else"
	if reply := o.take(m); reply.Result != msgs.Refused {
		t.Fatalf("got %v %q", reply.Result, reply.Reason)
	}
	m.Service = "s"
	if reply := o.take(m); reply.Result != msgs.Refused || reply.Reason != cause.Service {
		t.Errorf("got %v %q", reply.Result, reply.Reason)
	}
}
