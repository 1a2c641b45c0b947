package gate

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// fakeTarget is a target that does what it is told, and judges the gate by the
// rules that a target sees: room, two runs of a task at once, leases.
type fakeTarget struct {
	mu      sync.Mutex
	life    targ.Incarnation
	start   time.Time
	fence   int64
	until   int64 // deadline of the lease, own clock in ms
	runs    map[string]fakeRun
	last    map[string]int // highest run that was stopped or has ended
	ended   []targ.Ended
	changed chan struct{}
	faults  []string

	// How it misbehaves.
	loseStarts  int  // starts that are carried out and not answered
	skipStarts  int  // starts that are neither carried out nor answered
	mute        bool // nothing is answered
	fail        bool // runs end as failed
	stuck       bool // runs never end
	unhealthy   bool // starts are refused
	skipped     []targ.Order
	sizes       map[string]rsrc.Vector
	startCalls  int
	holdsMissed int
}

type fakeRun struct {
	number int
	size   rsrc.Vector
	ends   time.Time
	from   time.Time
}

func newFake(cpu int) *fakeTarget {
	return &fakeTarget{
		life:    targ.Incarnation{ID: "i-1", Born: 1, Addr: "127.0.0.1:1", Service: "s", Capacity: rsrc.Vector{CPU: cpu, Memory: 1000}},
		start:   time.Now(),
		runs:    map[string]fakeRun{},
		last:    map[string]int{},
		changed: make(chan struct{}, 1),
		sizes:   map[string]rsrc.Vector{},
	}
}

func (f *fakeTarget) clock() int64 { return time.Since(f.start).Milliseconds() + 1000 }

// Start carries out or loses an order.
func (f *fakeTarget) Start(ctx context.Context, l targ.Incarnation, o targ.Order) (int64, error) {
	f.mu.Lock()
	f.startCalls++
	if l.ID != f.life.ID {
		f.mu.Unlock()
		return 0, targ.ErrRestarted
	}
	if f.unhealthy {
		f.mu.Unlock()
		return 0, targ.ErrUnhealthy
	}
	if f.mute || f.skipStarts > 0 {
		f.skipStarts = max(0, f.skipStarts-1)
		f.skipped = append(f.skipped, o)
		f.mu.Unlock()
		<-ctx.Done()
		return 0, targ.ErrUnanswered
	}
	clock, err := f.begin(o)
	lost := f.loseStarts > 0 && err == nil
	if lost {
		f.loseStarts--
	}
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, targ.ErrUnanswered
	}
	return clock, err
}

// begin starts a run, with the lock held.
func (f *fakeTarget) begin(o targ.Order) (int64, error) {
	f.tidy()
	switch {
	case o.Fence < f.fence:
		return f.clock(), targ.ErrFenced
	case o.Run <= f.last[o.Task]:
		return f.clock(), targ.ErrStaleRun
	case o.Deadline <= f.clock():
		return f.clock(), targ.ErrDeadlinePassed
	}
	f.fence = o.Fence
	f.until = max(f.until, o.Deadline)
	if _, twice := f.runs[o.Task]; twice {
		f.faults = append(f.faults, "two runs of "+o.Task)
	}
	used := f.sizes[o.Task]
	for _, r := range f.runs {
		used = used.Plus(r.size)
	}
	if !used.Within(f.life.Capacity) {
		f.faults = append(f.faults, "over its room with "+o.Task)
	}
	d := 20 * time.Millisecond
	if f.stuck {
		d = time.Hour
	}
	f.runs[o.Task] = fakeRun{number: o.Run, size: f.sizes[o.Task], from: time.Now(), ends: time.Now().Add(d)}
	return f.clock(), nil
}

// carryOutLate carries out the orders that were left unanswered.
func (f *fakeTarget) carryOutLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.skipped {
		_, _ = f.begin(o)
	}
	f.skipped = nil
}

// Stop stops a run, or bars it.
func (f *fakeTarget) Stop(ctx context.Context, _ targ.Incarnation, o targ.Order) (int64, error) {
	f.mu.Lock()
	if f.mute {
		f.mu.Unlock()
		<-ctx.Done()
		return 0, targ.ErrUnanswered
	}
	defer f.mu.Unlock()
	f.tidy()
	if r, ok := f.runs[o.Task]; ok && r.number == o.Run {
		f.end(o.Task, r, targ.EndedOther)
	}
	f.last[o.Task] = max(f.last[o.Task], o.Run)
	return f.clock(), nil
}

// Hold renews the lease and lists.
func (f *fakeTarget) Hold(ctx context.Context, l targ.Incarnation, r targ.Renewal) (targ.Listing, error) {
	f.mu.Lock()
	if f.mute {
		f.holdsMissed++
		f.mu.Unlock()
		<-ctx.Done()
		return targ.Listing{}, targ.ErrUnanswered
	}
	if l.ID != f.life.ID {
		f.mu.Unlock()
		return targ.Listing{}, targ.ErrRestarted
	}
	if r.Fence < f.fence {
		f.mu.Unlock()
		return targ.Listing{}, targ.ErrFenced
	}
	f.fence = r.Fence
	f.until = max(f.until, r.Deadline)
	end := time.Now().Add(time.Duration(r.Wait) * time.Millisecond)
	for {
		f.tidy()
		list := targ.Listing{Clock: f.clock()}
		for _, e := range f.ended {
			if e.Seq > r.Seen {
				list.Ended = append(list.Ended, e)
			}
		}
		if len(list.Ended) > 0 || !time.Now().Before(end) {
			for task, run := range f.runs {
				list.Running = append(list.Running, targ.Running{Task: task, Run: run.number})
			}
			f.mu.Unlock()
			return list, nil
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
		f.mu.Lock()
	}
}

// tidy ends what is due, with the lock held.
func (f *fakeTarget) tidy() {
	for task, r := range f.runs {
		switch {
		case f.until > 0 && f.clock() > f.until:
			f.end(task, r, targ.EndedOther)
		case !time.Now().Before(r.ends):
			how := targ.EndedDone
			if f.fail {
				how = targ.EndedFailed
			}
			f.end(task, r, how)
		}
	}
}

func (f *fakeTarget) end(task string, r fakeRun, how targ.Outcome) {
	delete(f.runs, task)
	f.last[task] = max(f.last[task], r.number)
	f.ended = append(f.ended, targ.Ended{Seq: int64(len(f.ended) + 1), Task: task, Run: r.number, Outcome: how})
}

func (f *fakeTarget) set(change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTarget) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.faults {
		t.Error("target saw", fault)
	}
}

// opened is a gate at work with its target, and what plays an entry to it.
type opened struct {
	*Gate
	t      *testing.T
	target *fakeTarget
	next   uint64
}

// open starts a gate before a target, waits until it starts tasks, and ends it
// with the test.
func open(t *testing.T, f *fakeTarget) *opened {
	t.Helper()
	o := start(t, &Gate{IncarnationID: 7, Start: f.Start, Stop: f.Stop, Poll: f.Hold}, f)
	o.until("the target is usable", func() bool { return o.sync().Aside == "" })
	return o
}

// openStuck opens a gate before a target whose runs never end, and starts a task
// there by the given way.
func openStuck(t *testing.T, f *fakeTarget, take func(*opened, msgs.Task) msgs.TaskReply) (*opened, msgs.Task, <-chan msgs.TaskReply) {
	t.Helper()
	f.stuck = true
	o := open(t, f)
	m := o.task("a", 10)
	replies := make(chan msgs.TaskReply, 1)
	go func() { replies <- take(o, m) }()
	o.until("it runs", func() bool { return o.sync().UsedCPU == 10 })
	return o, m, replies
}

// start starts a gate before a target and ends it with the test.
func start(t *testing.T, g *Gate, f *fakeTarget) *opened {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	g.Announced(f.life)
	return &opened{Gate: g, t: t, target: f}
}

// sync renews the entry's lease.
func (o *opened) sync(cancel ...uint64) msgs.Load {
	s := msgs.Sender{Entry: "e", Life: 1, GateLife: 7}
	stamp := o.Sync(msgs.Sync{Sender: s}).Stamp
	s.Echo = stamp
	return o.Sync(msgs.Sync{Sender: s, Cancel: cancel})
}

// task returns a task of the given size with a lease from now on.
func (o *opened) task(name string, cpu int) msgs.Task {
	o.target.set(func(f *fakeTarget) { f.sizes[name] = rsrc.Vector{CPU: cpu} })
	o.next++
	return msgs.Task{
		Sender: msgs.Sender{Entry: "e", Life: 1, GateLife: 7, Echo: int64(boot.Now())},
		ID:     o.next, Name: name, Job: name, Service: "s", CPU: cpu, Expected: 60_000, Patience: 5000,
	}
}

// takeOnce runs a task, whose lease nobody renews, and returns the reply.
func (o *opened) takeOnce(m msgs.Task) msgs.TaskReply { return o.Take(context.Background(), m) }

// take runs a task while the entry's lease is renewed, and returns the reply.
func (o *opened) take(m msgs.Task) msgs.TaskReply {
	replies := make(chan msgs.TaskReply, 1)
	go func() { replies <- o.Take(context.Background(), m) }()
	for {
		select {
		case reply := <-replies:
			return reply
		case <-time.After(50 * time.Millisecond):
			o.sync()
		}
	}
}

// failTwice runs a task of two jobs at a target that fails them, which is then
// set aside.
func (o *opened) failTwice() {
	o.t.Helper()
	for _, name := range []string{"bad", "worse"} {
		if reply := o.take(o.task(name, 10)); reply.Result != msgs.Failed {
			o.t.Fatalf("got %v %q", reply.Result, reply.Reason)
		}
	}
}

// until waits for a condition.
func (o *opened) until(what string, ok func() bool) {
	o.t.Helper()
	for limit := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			o.t.Fatalf("waited in vain until %s", what)
		}
	}
}
