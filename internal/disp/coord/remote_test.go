package coord

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Runs away from their data counted as runs of a slow target, and as long jobs: gates were told the run
// time near the data, and the factor was a constant whatever the platform stated.
func TestRemoteFactorIsNoSlowTarget(t *testing.T) {
	const factor = 3
	f := newFakeGates(t, 1)
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		return msgs.TaskReply{Result: msgs.Done, RunTime: factor * 100}
	}
	c := f.coordinator()
	c.RemoteFactor = factor
	j := newTestJob(1, 100)
	j.Steps[0].PreferredLabel = "rack"
	j.Route.MaxStretch = 10
	if a := c.Submit(context.Background(), j); a.State != Done {
		t.Fatalf("got %+v", a)
	}
	if got := f.received[0].ExpectedRunTime; got != factor*100 {
		t.Errorf("the gate expects %d ms, want %d", got, factor*100)
	}
	if got := c.runTimes.Estimate("r", 0); got < 99*time.Millisecond || got > 101*time.Millisecond {
		t.Errorf("a task is expected to take %v near its data, want 100ms", got)
	}
}
