package coord

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

func TestJobIsDoneWhenAllTasksAre(t *testing.T) {
	f := newFakeGates(t, 2)
	if a := f.coordinator().Submit(context.Background(), newTestJob(5, 100)); a.State != Done {
		t.Errorf("got %+v", a)
	}
	names := map[string]bool{}
	for _, m := range f.received {
		names[m.Name] = true
	}
	if len(names) != 5 || !names["j.0.0.4"] {
		t.Errorf("sent tasks %v, want 5 with distinct names", names)
	}
}

func TestStepWaitsForDependencies(t *testing.T) {
	f := newFakeGates(t, 2)
	j := newTestJob(2, 100)
	j.Steps = append(j.Steps, Step{Count: 1, Size: rsrc.Vector{CPU: 1}, DependsOn: []int{0}})
	if a := f.coordinator().Submit(context.Background(), j); a.State != Done {
		t.Errorf("got %+v", a)
	}
	if last := f.received[len(f.received)-1].Name; last != "j.0.1.0" {
		t.Errorf("the task sent last is %s, want j.0.1.0", last)
	}
}

// TestJobFailsAfterAttempts checks that a job fails only once a task has failed as
// often as the route allows, and that every failure but the last is retried at another
// gate.
func TestJobFailsAfterAttempts(t *testing.T) {
	f := newFakeGates(t, 3)
	triedGates := map[int]bool{}
	var mu sync.Mutex
	f.respond = func(gate int, _ msgs.Task) msgs.TaskReply {
		mu.Lock()
		defer mu.Unlock()
		if triedGates[gate] {
			t.Errorf("the task was sent to gate %d twice", gate)
		}
		triedGates[gate] = true
		return msgs.TaskReply{Result: msgs.Failed}
	}
	if a := f.coordinator().Submit(context.Background(), newTestJob(1, 100)); a.State != Failed {
		t.Errorf("got %+v", a)
	}
	if f.receivedCount() != 2 || f.received[1].Failures != 1 {
		t.Errorf("got %d runs, want 2, the second with 1 failure", f.receivedCount())
	}
}

func TestLostRunsDoNotCountAsFailures(t *testing.T) {
	f := newFakeGates(t, 1)
	runs := 0
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		runs++
		if runs < 6 {
			return msgs.TaskReply{Result: msgs.Lost, Reason: "silent"}
		}
		return msgs.TaskReply{Result: msgs.Done}
	}
	if a := f.coordinator().Submit(context.Background(), newTestJob(1, 100)); a.State != Done {
		t.Errorf("got %+v", a)
	}
}

// A task under which two targets have crashed must not crash a third one.
func TestTaskThatCrashesTargetsIsGivenUp(t *testing.T) {
	f := newFakeGates(t, 5)
	f.respond = loseWithTargets(5, msgs.CrashProven)
	a := f.coordinator().Submit(context.Background(), newTestJob(1, 100))
	if a.State != Failed || a.Reason != cause.CrashesTargets || f.receivedCount() != 2 {
		t.Errorf("got %+v after %d runs", a, f.receivedCount())
	}
}

// loseWithTargets returns the response of gates whose targets go down with the first n runs, each of
// which proves the given.
func loseWithTargets(n int64, c msgs.Crash) func(int, msgs.Task) msgs.TaskReply {
	var runs atomic.Int64
	return func(int, msgs.Task) msgs.TaskReply {
		number := runs.Add(1)
		if number > n {
			return msgs.TaskReply{Result: msgs.Done}
		}
		return msgs.TaskReply{Result: msgs.Lost, Reason: cause.TargetCrashed, Crash: c}
	}
}

// Targets that go down before they answer must not make a job fail, nor may its task go on from one
// to the next: the job ends as one that may have run, and at once when it is submitted again.
func TestTaskThatMayCrashTargetsIsNotPlacedForEver(t *testing.T) {
	f := newFakeGates(t, 5)
	f.respond = loseWithTargets(5, msgs.CrashSuspected)
	c := f.coordinator()
	for range 3 {
		a := c.Submit(context.Background(), newTestJob(1, 100))
		if a.State != Abandoned || a.Reason != cause.LostTargets {
			t.Errorf("got %+v", a)
		}
		waitUntil(t, "the job is forgotten", func() bool { return c.unfinishedJob("j") == nil })
	}
	if n := f.receivedCount(); n != 3 {
		t.Errorf("%d runs, want 3", n)
	}
}

// Gates tell of the same losses as the replies to the tasks. Each counts once, whoever tells of it.
func TestLossCountsOnce(t *testing.T) {
	f := newFakeGates(t, 5)
	f.respond = loseWithTargets(1, msgs.CrashProven)
	c := f.coordinator()
	for i := range f.links {
		c.RecordLosses([]msgs.Loss{{Number: 1, Task: "other.0.0.0", Crash: msgs.CrashProven, Entry: "e", Incarnation: 1, ID: uint64(i)}})
	}
	if a := c.Submit(context.Background(), newTestJob(1, 100)); a.State != Done || f.receivedCount() != 2 {
		t.Errorf("got %+v after %d runs", a, f.receivedCount())
	}
	for range 3 {
		c.RecordLosses([]msgs.Loss{
			{Number: 1, Task: "j.0.0.0", Crash: msgs.CrashProven, Entry: "e", Incarnation: 1, ID: 1}, // that the reply told of
			{Number: 2, Task: "j.0.0.0", Crash: msgs.CrashSuspected, Entry: "other", Incarnation: 7, ID: 1},
		})
	}
	waitUntil(t, "the job is forgotten", func() bool { return c.unfinishedJob("j") == nil })
	if a := c.Submit(context.Background(), newTestJob(1, 100)); a.State != Done {
		t.Errorf("two losses, one of them proven: got %+v", a)
	}
	c.RecordLosses([]msgs.Loss{{Number: 2, Task: "j.0.0.0", Crash: msgs.CrashProven, Entry: "other", Incarnation: 8, ID: 1}})
	waitUntil(t, "the job is forgotten", func() bool { return c.unfinishedJob("j") == nil })
	if a := c.Submit(context.Background(), newTestJob(1, 100)); a.State != Failed {
		t.Errorf("two proven losses: got %+v", a)
	}
}

// A caller that lost the answer may submit the job again. Its task must not crash further
// targets from the start.
func TestCrashesAreRememberedOverSubmissions(t *testing.T) {
	f := newFakeGates(t, 5)
	f.respond = loseWithTargets(5, msgs.CrashProven)
	c := f.coordinator()
	for range 3 {
		if a := c.Submit(context.Background(), newTestJob(1, 100)); a.State != Failed {
			t.Errorf("got %+v", a)
		}
		waitUntil(t, "the job is forgotten", func() bool { return c.unfinishedJob("j") == nil })
	}
	if n := f.receivedCount(); n != 2 {
		t.Errorf("%d runs", n)
	}
}

func TestTooLargeJobIsRefusedAtOnce(t *testing.T) {
	f := newFakeGates(t, 2)
	a := f.coordinator().Submit(context.Background(), newTestJob(1, 1001))
	if a.State != Refused || a.Reason != "size" || a.RetryAfter != 0 || f.receivedCount() != 0 {
		t.Errorf("got %+v", a)
	}
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	f := overloaded(t)
	a := f.coordinator().Submit(context.Background(), newTestJob(1, 100))
	if a.State != Refused || a.Reason != "overload" || a.RetryAfter == 0 || f.receivedCount() != 0 {
		t.Errorf("got %+v", a)
	}
}

// TestStartedJobIsNotRefused guards against refusing a job after one of its tasks has
// started: the other task finds only full gates for a second, and the job must still
// be run to its end.
func TestStartedJobIsNotRefused(t *testing.T) {
	f := newFakeGates(t, 2)
	startTime := time.Now()
	f.respond = func(_ int, m msgs.Task) msgs.TaskReply {
		if m.Name == "j.0.0.1" && time.Since(startTime) < time.Second {
			return msgs.TaskReply{Result: msgs.Refused, Reason: "full"}
		}
		return msgs.TaskReply{Result: msgs.Done}
	}
	if a := f.coordinator().Submit(context.Background(), newTestJob(2, 100)); a.State != Done {
		t.Errorf("got %+v", a)
	}
}

func TestJobWithoutCapacityIsEventuallyRefused(t *testing.T) {
	f := newFakeGates(t, 2)
	f.respond = func(int, msgs.Task) msgs.TaskReply { return msgs.TaskReply{Result: msgs.Refused, Reason: "full"} }
	a := f.coordinator().Submit(context.Background(), newTestJob(2, 100))
	if a.State != Refused || a.Reason != "full" || a.RetryAfter == 0 {
		t.Errorf("got %+v", a)
	}
}

// TestJobWaitsForGates checks that an entry that has just started accepts jobs before
// any gate has answered.
func TestJobWaitsForGates(t *testing.T) {
	f := newFakeGates(t, 1)
	var mu sync.Mutex
	var available []*link.Link
	c := f.coordinator()
	c.Links = func() []*link.Link {
		mu.Lock()
		defer mu.Unlock()
		return available
	}
	answers := make(chan Answer, 1)
	go func() { answers <- c.Submit(context.Background(), newTestJob(1, 100)) }()
	waitUntil(t, "the job is accepted", func() bool { return c.Pending()["r"] == 1 })
	mu.Lock()
	available = f.links
	mu.Unlock()
	if a := <-answers; a.State != Done {
		t.Errorf("got %+v", a)
	}
}

func TestAbandonedJobCancelsItsTasks(t *testing.T) {
	for _, tt := range []struct {
		name    string
		abandon func(c *Coordinator, cancel context.CancelFunc)
		want    State // of the answer; a job that was cancelled is known as that from then on
	}{
		{"left", func(_ *Coordinator, cancel context.CancelFunc) { cancel() }, Abandoned},
		{"cancelled", func(c *Coordinator, _ context.CancelFunc) { c.Cancel("j") }, Cancelled},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeGates(t, 2)
			release := make(chan struct{})
			f.respond = func(int, msgs.Task) msgs.TaskReply {
				<-release
				return msgs.TaskReply{Result: msgs.Lost}
			}
			defer close(release)
			c := f.coordinator()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			answers := make(chan Answer, 1)
			go func() { answers <- c.Submit(ctx, newTestJob(2, 100)) }()
			waitUntil(t, "both tasks are sent", func() bool { return f.receivedCount() == 2 })
			if s, ok := c.State("j"); !ok || s != Working {
				t.Errorf("got state %v, %v, want Working", s, ok)
			}
			gone, leave := context.WithCancel(context.Background())
			leave()
			if a := c.Submit(gone, newTestJob(2, 100)); a.State != Abandoned || a.Reason != "callerleft" {
				t.Errorf("a second caller that leaves at once: got %+v", a)
			}
			if s, ok := c.State("j"); !ok || s != Working || f.receivedCount() != 2 {
				t.Errorf("after a second caller has left: state %v, %v, %d tasks sent, want Working, 2", s, ok, f.receivedCount())
			}
			tt.abandon(c, cancel)
			if a := <-answers; a.State != tt.want {
				t.Errorf("got %+v", a)
			}
			waitUntil(t, "both are cancelled", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.cancelCount == 2 })
			isCancelled := tt.want == Cancelled
			if s, ok := c.State("j"); ok != isCancelled || isCancelled && s != Cancelled || c.Cancel("j") != isCancelled || c.Running() != 0 {
				t.Errorf("the job is known as %v, %v", s, ok)
			}
		})
	}
}

func TestMaxTasksPerTarget(t *testing.T) {
	f := newFakeGates(t, 2)
	var mu sync.Mutex
	running := map[int]int{}
	f.respond = func(gate int, _ msgs.Task) msgs.TaskReply {
		mu.Lock()
		running[gate]++
		if running[gate] > 1 {
			t.Errorf("%d tasks at gate %d", running[gate], gate)
		}
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		running[gate]--
		return msgs.TaskReply{Result: msgs.Done}
	}
	j := newTestJob(6, 100)
	j.Steps[0].MaxPerTarget = 1
	if a := f.coordinator().Submit(context.Background(), j); a.State != Done {
		t.Errorf("got %+v", a)
	}
}

func TestRequiredLabel(t *testing.T) {
	f := newFakeGates(t, 2)
	f.mu.Lock()
	f.loads[1].Labels = []string{"gpu"}
	f.mu.Unlock()
	waitUntil(t, "the label is known", func() bool { return len(f.links[1].View(boot.Now()).Load.Labels) == 1 })
	f.respond = func(gate int, _ msgs.Task) msgs.TaskReply {
		if gate != 1 {
			t.Error("sent to a target without the label")
		}
		return msgs.TaskReply{Result: msgs.Done}
	}
	j := newTestJob(3, 100)
	j.Steps[0].RequiredLabel = "gpu"
	if a := f.coordinator().Submit(context.Background(), j); a.State != Done {
		t.Errorf("got %+v", a)
	}
}

// TestResubmittedJobWaitsForPreviousTasks guards against running a task twice at a
// time: a caller whose connection broke submits its job again at once, while a task of
// the first submission may still be running.
func TestResubmittedJobWaitsForPreviousTasks(t *testing.T) {
	f := newFakeGates(t, 2)
	release := make(chan struct{})
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		<-release
		return msgs.TaskReply{Result: msgs.Lost, Reason: "cancelled"}
	}
	c := f.coordinator()
	ctx, disconnect := context.WithCancel(context.Background())
	first, second := make(chan Answer, 1), make(chan Answer, 1)
	go func() { first <- c.Submit(ctx, newTestJob(1, 100)) }()
	waitUntil(t, "the task is sent", func() bool { return f.receivedCount() == 1 })
	disconnect()
	if a := <-first; a.State != Abandoned {
		t.Errorf("got %+v", a)
	}
	submitting := make(chan struct{})
	go func() {
		close(submitting)
		second <- c.Submit(context.Background(), newTestJob(1, 100))
	}()
	<-submitting
	for range 50 {
		if f.receivedCount() != 1 {
			t.Fatal("a task of the second submission was sent while one of the first may be running")
		}
		time.Sleep(time.Millisecond)
	}
	f.mu.Lock()
	f.respond = func(int, msgs.Task) msgs.TaskReply { return msgs.TaskReply{Result: msgs.Done, RunTime: 10} }
	f.mu.Unlock()
	close(release)
	if a := <-second; a.State != Done {
		t.Errorf("got %+v", a)
	}
}
