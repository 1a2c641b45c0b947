package gate

import (
	"cmp"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

// fakeTarget simulates a target in memory. It stops runs whose lease has lapsed, and
// records as violations two runs of a task at once and use beyond its capacity. It keeps no
// more than the platform promises: it reads its clock after it has copied its lists, and a run
// that is being stopped goes on for a while and is in neither list.
type fakeTarget struct {
	mu          sync.Mutex
	incarnation targ.Incarnation
	startTime   time.Time
	fence       int64
	until       int64 // deadline of the lease, by the target's own clock, ms
	runs        map[string]fakeRun
	highestRuns map[string]int // by task: highest run number that was stopped or has ended
	ended       []targ.Ended
	changed     chan struct{}
	violations  []string

	// Faults to simulate, and what the target recorded.
	loseStartReplies int           // number of starts to execute without an answer
	startDelay       time.Duration // from the arrival of a start to its execution
	clockLag         time.Duration // from the copying of the lists to the reading of the clock
	dropStarts       int           // number of starts neither to execute nor to answer
	unresponsive     bool          // no call is answered
	down             bool          // connections are refused
	dropStops        bool          // stops are neither executed nor answered
	holdStops        chan struct{} // stops are executed once it is closed; nil holds none back
	failRuns         bool          // runs end as failed
	stallRuns        bool          // runs never end
	runTime          time.Duration // of a task; 0 means 20 ms
	slowRuns         bool          // runs take slowRunTime, and their progress is listed
	pollDelay        time.Duration // from the making of a listing until it arrives; it is lost if the target goes down meanwhile
	keepLapsed       bool          // runs go on after their lease
	stopLag          time.Duration // by how much longer than fakeStopTime a stop takes
	unhealthy        bool          // starts are refused
	droppedStarts    []targ.Order
	demands          map[string]rsrc.Vector // by task name; set by openGate.task
	startCalls       int
	missedPolls      int // polls left without an answer
}

// slowRunTime is the run time of a task while fakeTarget.slowRuns is set.
const slowRunTime = 2 * time.Second

// fakeStopTime is how long a run goes on that is being stopped.
const fakeStopTime = 50 * time.Millisecond

// fakeRun is a run at a fakeTarget.
type fakeRun struct {
	stopped   bool // an order to stop it has arrived
	number    int
	demand    rsrc.Vector
	endsAt    time.Time
	startedAt time.Time
}

// newFakeTarget returns a target with the given CPU, in thousandths of a core.
func newFakeTarget(cpu int) *fakeTarget {
	return &fakeTarget{
		incarnation: targ.Incarnation{ID: "i-1", Born: 1, Addr: "127.0.0.1:1", Service: "s", Capacity: rsrc.Vector{CPU: cpu, Memory: 1000}},
		startTime:   time.Now(),
		runs:        map[string]fakeRun{},
		highestRuns: map[string]int{},
		changed:     make(chan struct{}, 1),
		demands:     map[string]rsrc.Vector{},
		clockLag:    time.Millisecond,
	}
}

// clock returns the target's clock in ms.
func (f *fakeTarget) clock() int64 { return time.Since(f.startTime).Milliseconds() + 1000 }

// Start executes an order to start a run, or loses the order or its answer.
func (f *fakeTarget) Start(ctx context.Context, inc targ.Incarnation, o targ.Order) (int64, error) {
	f.mu.Lock()
	f.startCalls++
	if delay := f.startDelay; delay > 0 {
		f.mu.Unlock()
		return f.startAfter(ctx, delay, o)
	}
	if f.down {
		f.mu.Unlock()
		return 0, targ.ErrUnreachable
	}
	if inc.ID != f.incarnation.ID {
		f.mu.Unlock()
		return 0, targ.ErrRestarted
	}
	if f.unhealthy {
		f.mu.Unlock()
		return 0, targ.ErrUnhealthy
	}
	if f.unresponsive || f.dropStarts > 0 {
		f.dropStarts = max(0, f.dropStarts-1)
		f.droppedStarts = append(f.droppedStarts, o)
		f.mu.Unlock()
		<-ctx.Done()
		return 0, targ.ErrUnanswered
	}
	clock, err := f.startRun(o)
	lost := f.loseStartReplies > 0 && err == nil
	if lost {
		f.loseStartReplies--
	}
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return 0, targ.ErrUnanswered
	}
	return clock, err
}

// startAfter executes an order to start a run after the delay, whether or not the gate still
// waits for the answer.
func (f *fakeTarget) startAfter(ctx context.Context, delay time.Duration, o targ.Order) (int64, error) {
	type answer struct {
		clock int64
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		time.Sleep(delay)
		f.mu.Lock()
		defer f.mu.Unlock()
		clock, err := f.startRun(o)
		answers <- answer{clock, err}
	}()
	select {
	case a := <-answers:
		return a.clock, a.err
	case <-ctx.Done():
		return 0, targ.ErrUnanswered
	}
}

// startRun starts a run. The lock must be held.
func (f *fakeTarget) startRun(o targ.Order) (int64, error) {
	f.endDueRuns()
	switch {
	case o.Fence < f.fence:
		return f.clock(), targ.ErrFenced
	case o.Run <= f.highestRuns[o.Task]:
		return f.clock(), targ.ErrStaleRun
	case o.Deadline <= f.clock():
		return f.clock(), targ.ErrDeadlinePassed
	}
	f.fence = o.Fence
	f.extendLease(o.Deadline)
	if r, found := f.runs[o.Task]; found && r.number == o.Run {
		return f.clock(), nil
	}
	if _, twice := f.runs[o.Task]; twice {
		f.violations = append(f.violations, "two runs of "+o.Task)
	}
	used := f.demands[o.Task]
	for _, r := range f.runs {
		used = used.Plus(r.demand)
	}
	if !used.Within(f.incarnation.Capacity) {
		f.violations = append(f.violations, "its capacity exceeded by "+o.Task)
	}
	d := cmp.Or(f.runTime, 20*time.Millisecond)
	switch {
	case f.stallRuns:
		d = time.Hour
	case f.slowRuns:
		d = slowRunTime
	}
	f.runs[o.Task] = fakeRun{number: o.Run, demand: f.demands[o.Task], startedAt: time.Now(), endsAt: time.Now().Add(d)}
	return f.clock(), nil
}

// extendLease extends the lease to the deadline, but to maxGrantedLease ahead at most. The lock
// must be held.
func (f *fakeTarget) extendLease(deadline int64) {
	f.until = max(f.until, min(deadline, f.clock()+maxGrantedLease.Milliseconds()))
}

// restartInPlace starts a new incarnation under the same ID and returns it.
func (f *fakeTarget) restartInPlace() targ.Incarnation {
	return f.restartAs(f.incarnation.ID, f.incarnation.Born+1)
}

// restartAs starts a new incarnation, which knows nothing of the previous one, and returns
// it.
func (f *fakeTarget) restartAs(id string, born int64) targ.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation.ID, f.incarnation.Born = id, born
	f.startTime, f.fence, f.until = time.Now(), 0, 0
	f.runs, f.highestRuns, f.ended = map[string]fakeRun{}, map[string]int{}, nil
	return f.incarnation
}

// running returns the number of runs in progress.
func (f *fakeTarget) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endDueRuns()
	return len(f.runs)
}

// isRunning reports whether a run of the task is in progress, or is being stopped.
func (f *fakeTarget) isRunning(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endDueRuns()
	_, found := f.runs[task]
	return found
}

// isBeingStopped reports whether an order to stop the task's run has arrived.
func (f *fakeTarget) isBeingStopped(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[task].stopped
}

// executeDroppedStarts executes the start orders that were dropped.
func (f *fakeTarget) executeDroppedStarts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.droppedStarts {
		_, _ = f.startRun(o)
	}
	f.droppedStarts = nil
}

// Stop stops a run, or excludes a start that has not arrived.
func (f *fakeTarget) Stop(ctx context.Context, _ targ.Incarnation, o targ.Order) (int64, error) {
	f.mu.Lock()
	if held := f.holdStops; held != nil {
		f.mu.Unlock()
		<-held
		f.mu.Lock()
	}
	if f.down {
		f.mu.Unlock()
		return 0, targ.ErrUnreachable
	}
	if f.unresponsive || f.dropStops {
		f.mu.Unlock()
		<-ctx.Done()
		return 0, targ.ErrUnanswered
	}
	defer f.mu.Unlock()
	f.endDueRuns()
	if r, ok := f.runs[o.Task]; ok && r.number == o.Run && !r.stopped {
		r.stopped, r.endsAt = true, time.Now().Add(fakeStopTime+f.stopLag)
		f.runs[o.Task] = r
	}
	f.highestRuns[o.Task] = max(f.highestRuns[o.Task], o.Run)
	return f.clock(), nil
}

// Poll renews the lease and lists the runs once one has ended or r.Wait has passed.
func (f *fakeTarget) Poll(ctx context.Context, inc targ.Incarnation, r targ.Renewal) (targ.Listing, error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return targ.Listing{}, targ.ErrUnreachable
	}
	if f.unresponsive {
		f.missedPolls++
		f.mu.Unlock()
		<-ctx.Done()
		return targ.Listing{}, targ.ErrUnanswered
	}
	if inc.ID != f.incarnation.ID {
		f.mu.Unlock()
		return targ.Listing{}, targ.ErrRestarted
	}
	if r.Fence < f.fence {
		f.mu.Unlock()
		return targ.Listing{}, targ.ErrFenced
	}
	f.fence = r.Fence
	f.extendLease(r.Deadline)
	end := time.Now().Add(time.Duration(r.Wait) * time.Millisecond)
	for current := f.incarnation; ; {
		f.endDueRuns()
		if f.down || !current.Same(f.incarnation) {
			f.mu.Unlock()
			return targ.Listing{}, targ.ErrUnanswered
		}
		list := targ.Listing{Born: f.incarnation.Born}
		for _, e := range f.ended {
			if e.Seq > r.Seen {
				list.Ended = append(list.Ended, e)
			}
		}
		if len(list.Ended) > 0 || !time.Now().Before(end) {
			for task, run := range f.runs {
				if run.stopped {
					continue
				}
				row := targ.Running{Task: task, Run: run.number}
				if f.slowRuns {
					row.Percent = int(100 * time.Since(run.startedAt) / slowRunTime)
				}
				list.Running = append(list.Running, row)
			}
			lag, delay := f.clockLag, f.pollDelay
			f.mu.Unlock()
			boot.Sleep(ctx, lag)
			f.mu.Lock()
			list.Clock = f.clock()
			f.mu.Unlock()
			if !f.outlast(ctx, delay) {
				return targ.Listing{}, targ.ErrUnanswered
			}
			return list, nil
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
		f.mu.Lock()
	}
}

// outlast waits for d, and reports false as soon as the target goes down. The lock must not be held.
func (f *fakeTarget) outlast(ctx context.Context, d time.Duration) bool {
	for until := time.Now().Add(d); ; boot.Sleep(ctx, time.Millisecond) {
		f.mu.Lock()
		down := f.down
		f.mu.Unlock()
		if down || !time.Now().Before(until) || ctx.Err() != nil {
			return !down
		}
	}
}

// endDueRuns ends the runs that are complete or have been stopped, and begins to stop all
// of them once the lease has lapsed. The lock must be held.
func (f *fakeTarget) endDueRuns() {
	for task, r := range f.runs {
		if lapsedFor := f.lapsedFor(); lapsedFor > 0 && !r.stopped {
			r.stopped, r.endsAt = true, time.Now().Add(fakeStopTime-lapsedFor)
			f.runs[task] = r
		}
		switch {
		case r.stopped && !time.Now().Before(r.endsAt):
			f.end(task, r, targ.EndedOther)
		case !time.Now().Before(r.endsAt):
			outcome := targ.EndedDone
			if f.failRuns {
				outcome = targ.EndedFailed
			}
			f.end(task, r, outcome)
		}
	}
}

// lapsedFor returns for how long the lease has lapsed; 0 if it has not. The lock must be held.
func (f *fakeTarget) lapsedFor() time.Duration {
	if f.until == 0 || f.keepLapsed {
		return 0
	}
	return max(0, time.Duration(f.clock()-f.until)*time.Millisecond)
}

// end records the end of a run. The lock must be held.
func (f *fakeTarget) end(task string, r fakeRun, outcome targ.Outcome) {
	delete(f.runs, task)
	f.highestRuns[task] = max(f.highestRuns[task], r.number)
	f.ended = append(f.ended, targ.Ended{Seq: int64(len(f.ended) + 1), Task: task, Run: r.number, Outcome: outcome})
}

// update calls change with the lock held.
func (f *fakeTarget) update(change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// checkViolations fails the test if the gate broke one of the target's rules.
func (f *fakeTarget) checkViolations(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, violation := range f.violations {
		t.Error("target observed", violation)
	}
}
