package coord

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// testStall is the latest stall of a process in a test. Its method lastEnd is the LastStall
// of a coordinator.
type testStall struct{ end atomic.Int64 }

// stall lets the process go on at the present time, after it has stood still.
func (s *testStall) stall() { s.end.Store(int64(boot.Now())) }

func (s *testStall) lastEnd() boot.Time { return boot.Time(s.end.Load()) }

// stallableCoordinator returns a coordinator whose process the test may let stand still.
func stallableCoordinator(f *fakeGates) (*Coordinator, *testStall) {
	c, s := f.coordinator(), &testStall{}
	c.LastStall = s.lastEnd
	return c, s
}

// stalledCoordinator returns a coordinator whose process goes on at the present time, after
// it has stood still, and which counts the questions to the other entries. These run each job or none.
func stalledCoordinator(f *fakeGates, runsElsewhere bool) (c *Coordinator, asked *atomic.Int32) {
	c, s := stallableCoordinator(f)
	s.stall()
	asked = &atomic.Int32{}
	c.RunsElsewhere = func(context.Context, string) bool {
		asked.Add(1)
		return runsElsewhere
	}
	return c, asked
}

// mustNotStart submits a job that has to be abandoned for the given reason before any task
// is sent.
func mustNotStart(t *testing.T, f *fakeGates, c *Coordinator, j Job, reason string) {
	t.Helper()
	if a := c.Submit(context.Background(), j); a.State != Abandoned || a.Reason != reason {
		t.Errorf("got %+v", a)
	}
	if n := f.receivedCount(); n != 0 {
		t.Errorf("%d tasks were sent", n)
	}
}

// An entry that had stood still started tasks of requests whose callers had left and were
// served elsewhere: it learned that they had left only after the start.
func TestRequestOfCallerThatHasLeftStartsNothing(t *testing.T) {
	f := newFakeGates(t, 1)
	c, _ := stalledCoordinator(f, false)
	j := newTestJob(2, 100)
	j.HasLeft = func() bool { return true }
	mustNotStart(t, f, c, j, cause.CallerDisconnected)
}

// A request that is read just after a stall was started beside the run of another entry, as
// its connection had gone silent and its caller had submitted the job there meanwhile.
func TestRequestReadAfterStallDoesNotRunBesideAnother(t *testing.T) {
	f := newFakeGates(t, 1)
	c, _ := stalledCoordinator(f, true)
	mustNotStart(t, f, c, newTestJob(2, 100), cause.RunsElsewhere)
}

// A repeated request that is read after a stall must not end the run of the entry that its
// caller has turned to since.
func TestRepeatedRequestReadAfterStallEndsNoRunElsewhere(t *testing.T) {
	f := newFakeGates(t, 1)
	c, _ := stalledCoordinator(f, true)
	c.ResubmitDelay = resubmitDelay
	c.GiveUpElsewhere = func(context.Context, string, bool) { t.Error("the other entry was made to give the job up") }
	if a := c.Submit(context.Background(), newRepeatedJob()); a.State != Abandoned {
		t.Errorf("got %+v", a)
	}
}

// A request that was only read late, and whose caller still waits, is served. One that is
// read long after a stall asks nobody, nor does the second task of a job.
func TestCallerThatStillWaitsAfterStallIsServed(t *testing.T) {
	f := newFakeGates(t, 1)
	c, asked := stalledCoordinator(f, false)
	late := newTestJob(2, 100)
	late.HasLeft = func() bool { return false }
	if a := c.Submit(context.Background(), late); a.State != Done || asked.Load() != 1 {
		t.Errorf("got %+v after %d questions to the others, want 1", a, asked.Load())
	}
	c.LastStall = func() boot.Time { return boot.Time(1) }
	if a := c.Submit(context.Background(), newTestJob(2, 100)); a.State != Done || asked.Load() != 1 {
		t.Errorf("long after the stall: got %+v after %d questions, want none", a, asked.Load()-1)
	}
}

// A task that was lost in a stall was placed again before the entry learned that its caller
// had left during the stall, and had been served elsewhere.
func TestTaskLostInStallIsNotPlacedAgain(t *testing.T) {
	for name, left := range map[string]bool{"the caller has left": true, "another entry runs the job": false} {
		t.Run(name, func(t *testing.T) {
			f := newFakeGates(t, 1)
			c, s := stallableCoordinator(f)
			var hasLeft atomic.Bool
			c.RunsElsewhere = func(context.Context, string) bool { return !left }
			f.respond = func(int, msgs.Task) msgs.TaskReply {
				hasLeft.Store(left)
				s.stall()
				return msgs.TaskReply{Result: msgs.Lost, Reason: cause.LeaseExpired}
			}
			j := newTestJob(1, 100)
			j.HasLeft = hasLeft.Load
			if a := c.Submit(context.Background(), j); a.State != Abandoned {
				t.Errorf("got %+v", a)
			}
			if n := f.receivedCount(); n != 1 {
				t.Errorf("the task was sent %d times", n)
			}
		})
	}
}

// The process stood still between the choice of a gate and the sending of the task, during
// which another entry got the job.
func TestTaskIsNotSentAfterStallSinceItsPlacement(t *testing.T) {
	f := newFakeGates(t, 1)
	c, s := stallableCoordinator(f)
	c.RunsElsewhere = func(context.Context, string) bool { return true }
	c.Trace = func(event string, _ ...any) {
		if event == "task_placed" {
			s.stall()
		}
	}
	mustNotStart(t, f, c, newTestJob(1, 100), cause.RunsElsewhere)
}

// A job goes on while one of its callers waits, though the other has left.
func TestJobGoesOnForTheCallerThatWaits(t *testing.T) {
	f := newFakeGates(t, 1)
	c, s := stallableCoordinator(f)
	released := make(chan struct{})
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		if f.receivedCount() > 1 {
			return msgs.TaskReply{Result: msgs.Done, RunTime: 10}
		}
		<-released
		return msgs.TaskReply{Result: msgs.Lost, Reason: cause.LeaseExpired}
	}
	left, waiting := newTestJob(1, 100), newTestJob(1, 100)
	left.HasLeft = func() bool { return s.lastEnd() > 0 }
	waiting.HasLeft = func() bool { return false }
	first := submitAsync(context.Background(), c, left)
	waitUntil(t, "the task is sent", func() bool { return f.receivedCount() == 1 })
	second := submitAsync(context.Background(), c, waiting)
	waitUntil(t, "the second caller has joined", func() bool { return callerCount(c) == 2 })
	s.stall()
	close(released)
	for _, answers := range []<-chan Answer{first, second} {
		if a := <-answers; a.State != Done {
			t.Errorf("got %+v", a)
		}
	}
}
