package coord

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// fleetOf is gates that answer tasks as the test wants.
type fleetOf struct {
	mu      sync.Mutex
	links   []*link.Link
	loads   []msgs.Load
	take    func(gate int, m msgs.Task) msgs.TaskReply
	tasks   []msgs.Task
	cancels int
}

// gates returns n gates with 1000 thousandths of a core each.
func gates(t *testing.T, n int) *fleetOf {
	f := &fleetOf{take: func(int, msgs.Task) msgs.TaskReply { return msgs.TaskReply{Result: msgs.Done, Ran: 10} }}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range n {
		f.loads = append(f.loads, msgs.Load{Life: 1, Service: "s", Target: string(rune('a' + i)), CPU: 1000, Memory: 1000, Speed: 1})
		l := &link.Link{Addr: "g", Entry: "e", Incarnation: 1, Drop: func(string) {}}
		l.Call = func(_ context.Context, _, method string, args, reply any) error {
			return f.call(i, method, args, reply)
		}
		f.links = append(f.links, l)
	}
	for _, l := range f.links {
		go l.Run(ctx)
	}
	for _, l := range f.links {
		await(t, "the gate is known", func() bool { return l.View(boot.Now()).Available })
	}
	return f
}

func (f *fleetOf) call(gate int, method string, args, reply any) error {
	f.mu.Lock()
	load := f.loads[gate]
	f.mu.Unlock()
	load.Stamp = int64(boot.Now())
	if method == link.SyncMethod {
		return f.sync(load, args, reply)
	}
	return f.run(gate, load, args, reply)
}

func (f *fleetOf) sync(load msgs.Load, args, reply any) error {
	m, known := args.(*msgs.Sync)
	out, ok := reply.(*msgs.Load)
	if !known || !ok {
		return peer.ErrBroken
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels += len(m.Cancel)
	*out = load
	return nil
}

func (f *fleetOf) run(gate int, load msgs.Load, args, reply any) error {
	m, known := args.(*msgs.Task)
	out, ok := reply.(*msgs.TaskReply)
	if !known || !ok {
		return peer.ErrBroken
	}
	f.mu.Lock()
	f.tasks = append(f.tasks, *m)
	take := f.take
	f.mu.Unlock()
	*out = take(gate, *m)
	load.Stamp = int64(boot.Now())
	out.Load = load
	return nil
}

func (f *fleetOf) coordinator() *Coordinator {
	return &Coordinator{Links: func() []*link.Link { return f.links }}
}

func (f *fleetOf) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.tasks)
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

func job(tasks, cpu int) Job {
	return Job{
		ID: "j", Arrived: boot.Now(),
		Route: route.Route{Name: "r", Service: "s", Attempts: 2, Stretch: 1.6, LatencyMargin: 60 * time.Millisecond},
		Steps: []Step{{Count: tasks, Size: rsrc.Vector{CPU: cpu}, DeclaredRunTime: 100 * time.Millisecond}},
	}
}

func TestJobIsDoneWhenAllTasksAre(t *testing.T) {
	f := gates(t, 2)
	if a := f.coordinator().Submit(context.Background(), job(5, 100)); a.State != Done {
		t.Errorf("got %+v", a)
	}
	names := map[string]bool{}
	for _, m := range f.tasks {
		names[m.Name] = true
	}
	if len(names) != 5 || !names["j.0.0.4"] {
		t.Errorf("sent %v", names)
	}
}

func TestStepWaitsForThoseBefore(t *testing.T) {
	f := gates(t, 2)
	j := job(2, 100)
	j.Steps = append(j.Steps, Step{Count: 1, Size: rsrc.Vector{CPU: 1}, After: []int{0}})
	if a := f.coordinator().Submit(context.Background(), j); a.State != Done {
		t.Errorf("got %+v", a)
	}
	if last := f.tasks[len(f.tasks)-1].Name; last != "j.0.1.0" {
		t.Errorf("%s was sent last", last)
	}
}

// A job has failed only once a task has failed as often as the route allows,
// and every failure but the last is tried again elsewhere.
func TestJobFailsAfterAttempts(t *testing.T) {
	f := gates(t, 3)
	seen := map[int]bool{}
	var mu sync.Mutex
	f.take = func(gate int, _ msgs.Task) msgs.TaskReply {
		mu.Lock()
		defer mu.Unlock()
		if seen[gate] {
			t.Errorf("gate %d was tried twice", gate)
		}
		seen[gate] = true
		return msgs.TaskReply{Result: msgs.Failed}
	}
	if a := f.coordinator().Submit(context.Background(), job(1, 100)); a.State != Failed {
		t.Errorf("got %+v", a)
	}
	if f.sent() != 2 || f.tasks[1].Failures != 1 {
		t.Errorf("%d runs", f.sent())
	}
}

func TestLostRunsDoNotCountAsFailures(t *testing.T) {
	f := gates(t, 1)
	n := 0
	f.take = func(int, msgs.Task) msgs.TaskReply {
		n++
		if n < 6 {
			return msgs.TaskReply{Result: msgs.Lost, Reason: "silent"}
		}
		return msgs.TaskReply{Result: msgs.Done}
	}
	if a := f.coordinator().Submit(context.Background(), job(1, 100)); a.State != Done {
		t.Errorf("got %+v", a)
	}
}

func TestJobThatFitsNowhereIsRefusedAtOnce(t *testing.T) {
	f := gates(t, 2)
	a := f.coordinator().Submit(context.Background(), job(1, 1001))
	if a.State != Refused || a.Reason != "size" || a.RetryAfter != 0 || f.sent() != 0 {
		t.Errorf("got %+v", a)
	}
}

func TestOverloadIsRefusedAtOnce(t *testing.T) {
	f := gates(t, 2)
	f.mu.Lock()
	for i := range f.loads {
		f.loads[i].UsedCPU, f.loads[i].Queued = 1000, 900
	}
	f.mu.Unlock()
	for _, l := range f.links {
		await(t, "the load is known", func() bool { return l.View(boot.Now()).Load.Queued > 0 })
	}
	a := f.coordinator().Submit(context.Background(), job(1, 100))
	if a.State != Refused || a.Reason != "overload" || a.RetryAfter == 0 || f.sent() != 0 {
		t.Errorf("got %+v", a)
	}
}

// Refused means that nothing has started: a job of which one task has is run to
// its end.
func TestJobThatHasBegunIsNotRefused(t *testing.T) {
	f := gates(t, 2)
	begin := time.Now()
	f.take = func(_ int, m msgs.Task) msgs.TaskReply {
		if m.Name == "j.0.0.1" && time.Since(begin) < time.Second {
			return msgs.TaskReply{Result: msgs.Refused, Reason: "full"}
		}
		return msgs.TaskReply{Result: msgs.Done}
	}
	if a := f.coordinator().Submit(context.Background(), job(2, 100)); a.State != Done {
		t.Errorf("got %+v", a)
	}
}

func TestJobWithoutRoomIsRefusedInTheEnd(t *testing.T) {
	f := gates(t, 2)
	f.take = func(int, msgs.Task) msgs.TaskReply { return msgs.TaskReply{Result: msgs.Refused, Reason: "full"} }
	a := f.coordinator().Submit(context.Background(), job(2, 100))
	if a.State != Refused || a.Reason != "full" || a.RetryAfter == 0 {
		t.Errorf("got %+v", a)
	}
}

// An entry that has just started takes jobs before its gates have answered.
func TestJobWaitsForGates(t *testing.T) {
	f := gates(t, 1)
	var mu sync.Mutex
	var known []*link.Link
	c := f.coordinator()
	c.Links = func() []*link.Link {
		mu.Lock()
		defer mu.Unlock()
		return known
	}
	answers := make(chan Answer, 1)
	go func() { answers <- c.Submit(context.Background(), job(1, 100)) }()
	await(t, "the job is taken", func() bool { return c.Pending()["r"] == 1 })
	mu.Lock()
	known = f.links
	mu.Unlock()
	if a := <-answers; a.State != Done {
		t.Errorf("got %+v", a)
	}
}

func TestCallerThatLeavesHasTasksStopped(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(c *Coordinator, cancel context.CancelFunc)
	}{
		{"left", func(_ *Coordinator, cancel context.CancelFunc) { cancel() }},
		{"cancelled", func(c *Coordinator, _ context.CancelFunc) { c.Cancel("j") }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := gates(t, 2)
			release := make(chan struct{})
			f.take = func(int, msgs.Task) msgs.TaskReply {
				<-release
				return msgs.TaskReply{Result: msgs.Lost}
			}
			defer close(release)
			c := f.coordinator()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			answers := make(chan Answer, 1)
			go func() { answers <- c.Submit(ctx, job(2, 100)) }()
			await(t, "both tasks are sent", func() bool { return f.sent() == 2 })
			if s, ok := c.State("j"); !ok || s != Working {
				t.Errorf("state %v, %v", s, ok)
			}
			if a := c.Submit(context.Background(), job(1, 1)); a.State != Abandoned || a.Reason != "twin" {
				t.Errorf("a copy beside it: got %+v", a)
			}
			tt.leave(c, cancel)
			if a := <-answers; a.State != Abandoned {
				t.Errorf("got %+v", a)
			}
			await(t, "both are cancelled", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.cancels == 2 })
			if _, ok := c.State("j"); ok || c.Cancel("j") || c.Running() != 0 {
				t.Error("the job is still known")
			}
		})
	}
}

func TestMostTasksPerTarget(t *testing.T) {
	f := gates(t, 2)
	var mu sync.Mutex
	at := map[int]int{}
	f.take = func(gate int, _ msgs.Task) msgs.TaskReply {
		mu.Lock()
		at[gate]++
		if at[gate] > 1 {
			t.Errorf("%d tasks at gate %d", at[gate], gate)
		}
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		at[gate]--
		return msgs.TaskReply{Result: msgs.Done}
	}
	j := job(6, 100)
	j.Steps[0].MaxPerTarget = 1
	if a := f.coordinator().Submit(context.Background(), j); a.State != Done {
		t.Errorf("got %+v", a)
	}
}

func TestRequiredLabel(t *testing.T) {
	f := gates(t, 2)
	f.mu.Lock()
	f.loads[1].Labels = []string{"gpu"}
	f.mu.Unlock()
	await(t, "the label is known", func() bool { return len(f.links[1].View(boot.Now()).Load.Labels) == 1 })
	f.take = func(gate int, _ msgs.Task) msgs.TaskReply {
		if gate != 1 {
			t.Error("sent to a target without the label")
		}
		return msgs.TaskReply{Result: msgs.Done}
	}
	j := job(3, 100)
	j.Steps[0].Label = "gpu"
	if a := f.coordinator().Submit(context.Background(), j); a.State != Done {
		t.Errorf("got %+v", a)
	}
}

// A caller whose connection broke asks again at once: nothing is sent for the
// second try while a task of the first may run.
func TestJobThatIsAskedForAgainWaitsForItsFormerTasks(t *testing.T) {
	f := gates(t, 2)
	release := make(chan struct{})
	f.take = func(int, msgs.Task) msgs.TaskReply {
		<-release
		return msgs.TaskReply{Result: msgs.Lost, Reason: "cancelled"}
	}
	c := f.coordinator()
	ctx, leave := context.WithCancel(context.Background())
	first, second := make(chan Answer, 1), make(chan Answer, 1)
	go func() { first <- c.Submit(ctx, job(1, 100)) }()
	await(t, "the task is sent", func() bool { return f.sent() == 1 })
	leave()
	if a := <-first; a.State != Abandoned {
		t.Errorf("got %+v", a)
	}
	entered := make(chan struct{})
	go func() {
		close(entered)
		second <- c.Submit(context.Background(), job(1, 100))
	}()
	<-entered
	for range 50 {
		if f.sent() != 1 {
			t.Fatal("the second try was sent while the first may run")
		}
		time.Sleep(time.Millisecond)
	}
	f.mu.Lock()
	f.take = func(int, msgs.Task) msgs.TaskReply { return msgs.TaskReply{Result: msgs.Done, Ran: 10} }
	f.mu.Unlock()
	close(release)
	if a := <-second; a.State != Done {
		t.Errorf("got %+v", a)
	}
}
