package coord

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/loss"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A gate of the version before tells a crash by its reason only. While entries and gates are
// upgraded one after the other, a task that crashes its targets must still be given up.
func TestTaskThatCrashesTargetsOfOlderGatesIsGivenUp(t *testing.T) {
	for _, reason := range []string{cause.TargetCrashed, cause.TargetRestarted} {
		f := newFakeGates(t, 5)
		var runs atomic.Int64
		f.respond = func(int, msgs.Task) msgs.TaskReply {
			if runs.Add(1) > 8 {
				return msgs.TaskReply{Result: msgs.Done}
			}
			return msgs.TaskReply{Result: msgs.Lost, Reason: reason}
		}
		a := f.coordinator().Submit(context.Background(), newTestJob(1, 100))
		if n := f.receivedCount(); n != 3 || a.State != Abandoned {
			t.Errorf("%s: got %+v after %d runs, want 3", reason, a, n)
		}
	}
}

// A job is turned away for the losses of one of its tasks. Those of another one must be remembered
// all the while.
func TestLossesOfAllTasksAreKeptWhileTheJobIsTurnedAway(t *testing.T) {
	f := newFakeGates(t, 1)
	c := f.coordinator()
	now := boot.Now()
	c.Now = func() boot.Time { return now }
	order := uint64(0)
	lose := func(task string) {
		order++
		c.RecordLosses([]msgs.Loss{{Task: task, Crash: msgs.CrashSuspected, Entry: "e", Incarnation: 1, ID: order}})
	}
	for _, task := range []string{"j.0.0.0", "j.0.0.0", "j.0.0.0", "j.0.0.1", "j.0.0.1"} {
		lose(task)
	}
	const step = loss.RetryInterval / 2
	for range 2 * loss.Retention / step {
		now = now.Add(step)
		lose("j.0.0.0")
		if a := c.Submit(t.Context(), newTestJob(2, 100)); a.Reason != cause.LostTargets {
			t.Fatalf("got %+v", a)
		}
	}
	lose("j.0.0.1")
	if got := c.losses.Verdict("j.0.0.1", now); got != loss.Abandon {
		t.Errorf("got %v for the other task after its third loss", got)
	}
}

// The last word of a gate on a task may come when its job has ended. The caller comes again elsewhere,
// so the loss must count all the same.
func TestLossCountsAfterTheJobHasEnded(t *testing.T) {
	f := newFakeGates(t, 1)
	c := f.coordinator()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		cancel()
		<-ended
		return msgs.TaskReply{Result: msgs.Lost, Crash: msgs.CrashSuspected}
	}
	c.Submit(ctx, newTestJob(1, 100))
	close(ended)
	waitUntil(t, "the loss is known", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.losses.Empty(boot.Now())
	})
}
