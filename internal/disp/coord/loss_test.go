package coord

import (
	"context"
	"sync/atomic"
	"testing"

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
