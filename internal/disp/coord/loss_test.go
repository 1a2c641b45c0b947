package coord

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A gate of the version before tells a crash by its reason only. While entries and gates are
// upgraded one after the other, a task that crashes its targets must still be given up.
func TestTaskThatCrashesTargetsOfOlderGatesIsGivenUp(t *testing.T) {
	f := newFakeGates(t, 5)
	var runs atomic.Int64
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		if runs.Add(1) > 8 {
			return msgs.TaskReply{Result: msgs.Done}
		}
		return msgs.TaskReply{Result: msgs.Lost, Reason: cause.TargetCrashed}
	}
	a := f.coordinator().Submit(context.Background(), newTestJob(1, 100))
	if n := f.receivedCount(); n > 5 {
		t.Errorf("%d runs, 8 targets have crashed: got %+v", n, a)
	}
}

// Targets that were silent for a while have not crashed, as far as anybody knows. A task that was lost
// with three of them must be placed again once they have answered for long, though its caller has come
// back all the while.
func TestJobLostWithSilentTargetsIsServedWhenTheyAnswerAgain(t *testing.T) {
	f := newFakeGates(t, 5)
	var runs atomic.Int64
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		number := runs.Add(1)
		if number > 3 {
			return msgs.TaskReply{Result: msgs.Done}
		}
		return msgs.TaskReply{Result: msgs.Lost, Reason: cause.Silent, Crash: msgs.CrashSuspected, CrashNumber: number}
	}
	c := f.coordinator()
	var later atomic.Int64 // s
	c.Now = func() boot.Time { return boot.Now().Add(time.Duration(later.Load()) * time.Second) }
	last := Answer{}
	for range 60 {
		j := newTestJob(1, 100)
		j.Arrived = c.now()
		last = c.Submit(context.Background(), j)
		if last.State == Done {
			return
		}
		waitUntil(t, "the job is forgotten", func() bool { return c.unfinishedJob("j") == nil })
		later.Add(30)
	}
	t.Errorf("got %+v after half an hour, and %d runs", last, f.receivedCount())
}
