package coord

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/drain"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// stopCoordinator makes c stop with the given grace time and returns the plan.
func stopCoordinator(t *testing.T, c *Coordinator, grace time.Duration) drain.Plan {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p := drain.New(boot.Now(), grace)
	go c.Stop(ctx, p)
	return p
}

// twoSteps returns a job whose second step depends on the first.
func twoSteps() Job {
	j := newTestJob(1, 100)
	second := j.Steps[0]
	second.DependsOn = []int{0}
	j.Steps = append(j.Steps, second)
	return j
}

// fullGate returns a gate that refuses all tasks for lack of capacity but those of step 0 of jobs of
// two steps.
func fullGate(t *testing.T) *fakeGates {
	f := newFakeGates(t, 1)
	f.respond = func(_ int, m msgs.Task) msgs.TaskReply {
		if m.Name == "j.0.0.0" && m.Spec == "first runs" {
			return msgs.TaskReply{Result: msgs.Done, RunTime: 10}
		}
		time.Sleep(time.Millisecond)
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.NoCapacity}
	}
	return f
}

// An entry that was stopped ended with jobs that waited for room, and their callers got no answer. A
// job of which nothing has started is refused, and one that has begun is not.
func TestStopAnswersJobsThatWait(t *testing.T) {
	for name, tt := range map[string]struct {
		job  Job
		want Answer
	}{
		"nothing has started": {newTestJob(1, 100), Answer{State: Refused, Reason: cause.Stopping, RetryAfter: ElsewhereDelay}},
		"the first step is done": {func() Job {
			j := twoSteps()
			j.Spec = "first runs"
			return j
		}(), Answer{State: Abandoned, Reason: cause.Stopping}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := fullGate(t)
			c := f.coordinator()
			tt.job.Route.LatencyMargin = time.Minute // so that nothing else refuses the job
			answer := submitAsync(context.Background(), c, tt.job)
			waitUntil(t, "the job waits", func() bool { return f.receivedCount() > 3 })
			p := stopCoordinator(t, c, 500*time.Millisecond)
			if got := <-answer; got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			if late := boot.Now().Sub(p.ExitBy); late > 0 {
				t.Errorf("answered %v after the end of the process", late)
			}
			waitUntil(t, "nothing is left", func() bool { return c.Unsettled() == 0 })
		})
	}
}

// A job that can't be done before the kill is told so at once, not held until then: its caller has
// time for another entry.
func TestStopRefusesAtOnceWhatCannotBeDone(t *testing.T) {
	f := fullGate(t)
	c := f.coordinator()
	j := newTestJob(1, 100)
	j.Steps[0].DeclaredRunTime = 10 * time.Second
	answer := submitAsync(context.Background(), c, j)
	waitUntil(t, "the job waits", func() bool { return f.receivedCount() > 0 })
	p := stopCoordinator(t, c, 6*time.Second)
	if got := <-answer; got.State != Refused || got.Reason != cause.Stopping {
		t.Errorf("got %+v", got)
	}
	if left := p.AnswerBy.Sub(boot.Now()); left < 5*time.Second {
		t.Errorf("told %v before the last answers", left)
	}
	j.ID = "k"
	if got := c.Submit(context.Background(), j); got.State != Refused || got.Reason != cause.Stopping {
		t.Errorf("a job that comes later: got %+v", got)
	}
}

// A task that runs may end at any moment, whatever was expected of it: its job is not cut short, and
// is abandoned only when the last answers are due.
func TestStopWaitsForTasksThatRun(t *testing.T) {
	for name, ends := range map[string]bool{"it ends": true, "it does not end": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, release := heldGate(t)
			c := f.coordinator()
			j := newTestJob(1, 100)
			j.Steps[0].DeclaredRunTime = time.Minute
			answer := submitAsync(context.Background(), c, j)
			waitUntil(t, "the task is sent", func() bool { return f.receivedCount() == 1 })
			p := stopCoordinator(t, c, 2*time.Second)
			if ends {
				time.Sleep(p.AnswerBy.Sub(boot.Now()) / 2)
				release()
			} else {
				defer release()
			}
			got := <-answer
			left := p.AnswerBy.Sub(boot.Now())
			switch {
			case ends && got.State != Done:
				t.Errorf("got %+v", got)
			case !ends && got != Answer{State: Abandoned, Reason: cause.Stopping}:
				t.Errorf("got %+v", got)
			case boot.Now() > p.ExitBy:
				t.Errorf("told %v after the last answers were due", -left)
			case !ends && left > settleLead+2*stopCheckInterval:
				t.Errorf("told %v before the last answers were due", left)
			}
		})
	}
}

// A job whose only task waits in the queue of a gate has not begun, but was told that it may have.
// The task is cancelled, and the gate says that it has not started.
func TestStopRefusesJobWhoseTasksWaitAtGates(t *testing.T) {
	f := newFakeGates(t, 1)
	cancelled := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.cancelCount > 0
	}
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		waitUntil(t, "the task is cancelled", cancelled)
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Cancelled}
	}
	c := f.coordinator()
	answer := submitAsync(context.Background(), c, newTestJob(1, 100))
	waitUntil(t, "the task is sent", func() bool { return f.receivedCount() == 1 })
	stopCoordinator(t, c, time.Second)
	if got := <-answer; got.State != Refused || got.RetryAfter != ElsewhereDelay {
		t.Errorf("got %+v", got)
	}
}

// A submission that waits for the end of an earlier one, of which a task may have started, is not
// refused: a refusal says that nothing of the job runs.
func TestStopAnswersSubmissionThatWaitsForAnEarlierOne(t *testing.T) {
	f, release := heldGate(t)
	defer release()
	c := f.coordinator()
	ctx, leave := context.WithCancel(context.Background())
	first := submitAsync(ctx, c, newTestJob(1, 100))
	waitUntil(t, "the task is sent", func() bool { return f.receivedCount() == 1 })
	leave()
	<-first
	second := submitAsync(context.Background(), c, newTestJob(1, 100))
	waitUntil(t, "the second submission waits", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.jobs["j"].waiting) == 1
	})
	stopCoordinator(t, c, 500*time.Millisecond)
	if got := <-second; got != (Answer{State: Abandoned, Reason: cause.Stopping}) {
		t.Errorf("got %+v", got)
	}
}

// Callers that joined a job are told what the first is told.
func TestStopAnswersAllCallersOfAJob(t *testing.T) {
	f, release := heldGate(t)
	defer release()
	c := f.coordinator()
	first := submitAsync(context.Background(), c, newTestJob(1, 100))
	waitUntil(t, "the task is sent", func() bool { return f.receivedCount() == 1 })
	second := submitAsync(context.Background(), c, newTestJob(1, 100))
	waitUntil(t, "the second caller has joined", func() bool { return callerCount(c) == 2 })
	stopCoordinator(t, c, 500*time.Millisecond)
	if a, b := <-first, <-second; a != b || a.State != Abandoned {
		t.Errorf("got %+v and %+v", a, b)
	}
}

// A full entry can't tell all callers in its last moments, so some are told before: those whose jobs
// have the most to do.
func TestStopTellsManyCallersInTime(t *testing.T) {
	const callers, grace = 400, 1500 * time.Millisecond
	f, release := heldGate(t)
	defer release()
	c := f.coordinator()
	var mu sync.Mutex
	var told []boot.Time
	var waits sync.WaitGroup
	for i := range callers {
		waits.Go(func() {
			j := newTestJob(1, 1)
			j.ID = fmt.Sprint(i)
			if a := c.Submit(context.Background(), j); a.State != Abandoned {
				t.Errorf("got %+v", a)
			}
			mu.Lock()
			defer mu.Unlock()
			told = append(told, boot.Now())
		})
	}
	waitUntil(t, "all tasks are sent", func() bool { return f.receivedCount() == callers })
	p := stopCoordinator(t, c, grace)
	waits.Wait()
	early := 0
	for _, at := range told {
		if at < p.AnswerBy.Add(-200*time.Millisecond) {
			early++
		}
	}
	if early < callers/2 {
		t.Errorf("%d of %d callers were told 200 ms before the last answers were due", early, callers)
	}
	if last := told[len(told)-1]; last > p.ExitBy {
		t.Errorf("the last caller was told %v after the end of the process", last.Sub(p.ExitBy))
	}
}
