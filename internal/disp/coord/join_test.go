package coord

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// heldGate returns a gate that runs each task until release is called.
func heldGate(t *testing.T) (f *fakeGates, release func()) {
	f = newFakeGates(t, 1)
	released := make(chan struct{})
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		<-released
		return msgs.TaskReply{Result: msgs.Done, RunTime: 10}
	}
	return f, func() { close(released) }
}

// submitAsync submits a job and returns a channel that receives the answer.
func submitAsync(ctx context.Context, c *Coordinator, j Job) <-chan Answer {
	answers := make(chan Answer, 1)
	go func() { answers <- c.Submit(ctx, j) }()
	return answers
}

// callerCount returns the number of callers of the job of newTestJob.
func callerCount(c *Coordinator) int {
	e := c.unfinishedJob("j")
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callers
}

// A caller whose connection is dead without the entry's knowledge comes back to the same
// entry, and was told that its job is unfinished (502) until the old connection ended.
func TestRepeatedSubmissionTakesTheJobOver(t *testing.T) {
	for name, firstLeaves := range map[string]bool{"the first caller leaves": true, "the first caller stays": false} {
		t.Run(name, func(t *testing.T) {
			f, release := heldGate(t)
			c := f.coordinator()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			first := submitAsync(ctx, c, newTestJob(1, 100))
			waitUntil(t, "the task is sent", func() bool { return f.receivedCount() == 1 })
			second := submitAsync(context.Background(), c, newTestJob(1, 100))
			waitUntil(t, "the second caller has joined", func() bool { return callerCount(c) == 2 })
			want := Done
			if firstLeaves {
				want = Abandoned
				leave()
				waitUntil(t, "the first caller has left", func() bool { return callerCount(c) == 1 })
			}
			if s, ok := c.State("j"); !ok || s != Working {
				t.Errorf("got state %v, %v, want Working", s, ok)
			}
			release()
			if a := <-first; a.State != want {
				t.Errorf("first caller: got %+v, want state %v", a, want)
			}
			if a := <-second; a.State != Done {
				t.Errorf("second caller: got %+v", a)
			}
			if f.receivedCount() != 1 {
				t.Errorf("%d tasks were sent, want 1", f.receivedCount())
			}
		})
	}
}

// A job ended when its first caller stopped waiting, though another one still waited.
func TestJoinedJobEndsWithTheLatestWait(t *testing.T) {
	const firstWait, secondWait = 150 * time.Millisecond, 400 * time.Millisecond
	for name, waits := range map[string][2]time.Duration{
		"the second waits longer": {firstWait, secondWait}, "the first waits longer": {secondWait, firstWait},
	} {
		t.Run(name, func(t *testing.T) {
			f, release := heldGate(t)
			defer release()
			c := f.coordinator()
			j := newTestJob(1, 100)
			start := j.Arrived
			j.WaitsUntil = start.Add(waits[0])
			first := submitAsync(context.Background(), c, j)
			waitUntil(t, "the task is sent", func() bool { return f.receivedCount() == 1 })
			j.WaitsUntil = start.Add(waits[1])
			second := submitAsync(context.Background(), c, j)
			for _, answers := range []<-chan Answer{first, second} {
				if a := <-answers; a.State != Abandoned || a.Reason != "waitover" {
					t.Errorf("got %+v", a)
				}
				if took := boot.Now().Sub(start); took < secondWait {
					t.Errorf("ended after %v, though a caller waits for %v", took, secondWait)
				}
			}
		})
	}
}
