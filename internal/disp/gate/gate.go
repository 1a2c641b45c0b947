package gate

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cbreak"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/estim"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/interf"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/lease"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/loss"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/revoke"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Gate is the path to one target. Set the exported fields before Run. It is safe
// for concurrent use.
type Gate struct {
	// IncarnationID identifies this incarnation of the process to entries.
	IncarnationID uint64
	// Domain is the failure domain of the node, which counts for a target that states none.
	Domain string
	// Start, Stop and Poll call the target. A nil error means that it answered
	// with success; Start and Stop return its clock in ms. Poll is a long poll,
	// which also renews the lease on the target's runs.
	Start func(context.Context, targ.Incarnation, targ.Order) (int64, error)
	Stop  func(context.Context, targ.Incarnation, targ.Order) (int64, error)
	Poll  func(context.Context, targ.Incarnation, targ.Renewal) (targ.Listing, error)
	// StopTime is how long a run may go on that the target has been ordered to stop; 0 means
	// defaultStopTime. Meanwhile it need not be listed.
	StopTime time.Duration
	// Now returns the present time; nil means boot.Now.
	Now func() boot.Time
	// Steady returns the present time of a clock that stands still while the machine, and
	// with it the target, is suspended; nil means Now.
	Steady func() boot.Time
	// Event logs a change of state; nil discards it.
	Event func(event string, pairs ...any)
	// Trace logs a decision about a task; nil discards it.
	Trace func(event string, pairs ...any)
	// Count increments the named counter; nil discards it.
	Count func(name string)
	// Observe adds a duration to the named histogram; nil discards it.
	Observe func(name string, d time.Duration)

	mu           sync.Mutex
	incarnation  targ.Incarnation // of the target
	targetKnown  bool             // incarnation is set
	successor    targ.Incarnation // announced by a heartbeat while incarnation has runs; zero if none
	confirmBy    boot.Time        // a heartbeat has to confirm the recalled incarnation until then; 0 if one has
	stopping     bool             // this process is stopping
	fence        int64            // fencing token of orders and polls
	fencedAt     boot.Time        // when the incarnation first answered a poll, by Steady; 0 before
	surveyed     bool             // all runs that were there when fencedAt was set are known
	unknownRuns  map[string]*run  // by task name: runs at the target that this process did not start
	clock        targ.ClockBound
	lastEndSeq   int64               // sequence number of the newest end received
	ackedEndSeq  int64               // sequence number of the newest end acknowledged to the target
	recentEnds   map[runID]boot.Time // when the ends of runs were received, for endRetention
	missedPolls  int                 // consecutive polls without an answer
	downAt       boot.Time           // when the target first refused a connection since it last answered; 0 if it has not
	downWithRuns bool                // runs were there when downAt was set
	losses       loss.List           // losses of runs with the target
	silent       bool                // missedPolls has reached maxMissedPolls, or the connection was refused
	hedgeUntil   boot.Time           // end of the time during which a second poll is kept open
	leaseEnd     boot.Time           // latest time at which the target's lease lapses, by Steady
	runs         map[string]*run     // by task name: all that may run at the target
	tasks        map[taskID]*run     // all known tasks, with recent results
	queue        []*run              // in no order; startQueued sorts it
	entryLeases  lease.Table
	revocations  revoke.Table
	orders       evac.Set  // evacuations that entries have told of
	runSince     boot.Time // when Run began, by steady; 0 before
	breaker      cbreak.Breaker
	speed        estim.Speed
	pace         estim.Pace
	pacedAt      boot.Time // of the latest observation of pace
	cold         bool      // the target was cold at the last call of updateCold
	replyTimes   estim.ReplyTimes
	nextLoadLog  boot.Time      // when the load is logged next
	checkedAt    boot.Time      // when the progress of runs was last checked
	waker        boot.Waker     // makes pollLoop check the state without delay
	interference interf.Tracker // of the runs at the target
	kindsUntil   boot.Time      // until when loads have Kinds
}

// taskID identifies a task as its sender does.
type taskID struct {
	entry       string
	incarnation uint64 // of the entry
	id          uint64
}

// runID identifies a run as the target does.
type runID struct {
	task   string
	number int
}

// run is a task at this gate, and its run at the target.
type run struct {
	id            taskID
	msg           msgs.Task
	demand        rsrc.Vector // resources that the task requires
	number        int         // run number, which the target compares with earlier runs of the task
	state         start.State // its times of exclusion are by Steady
	endedReason   string      // why the target's incarnation ended while the start order had no answer yet; otherwise empty
	detachedAt    boot.Time   // when that incarnation was known to be down; 0 without endedReason
	stopReason    string      // why the run is to be stopped, if it is
	startDeadline int64       // deadline of the newest start order, target's clock, ms
	startClock    int64       // target's clock when it answered the start, ms; 0 without an answer

	arrivedAt     boot.Time
	startBy       boot.Time // latest desired start
	queueDeadline boot.Time // latest time to leave the queue
	orphanedAt    boot.Time // when its entry cancelled it, lost its lease or started again, or its job was revoked; 0 before
	orderedAt     boot.Time // when the start was first ordered; 0 before
	startedAt     boot.Time // when the start was answered or the run first listed
	nextStop      boot.Time // when the next stop is sent
	percent       int       // progress that the target last reported
	progressedAt  boot.Time // when percent last rose
	progress      progress
	endedAt       boot.Time
	endReported   bool  // the target has reported the end
	proof         proof // what the end was concluded from; empty if it was not
	result        msgs.Result
	reason        string        // why the task was refused or its run lost; otherwise empty
	crash         msgs.Crash    // what the loss of the run proves
	revokedFor    time.Duration // for how long the job had been revoked when the task was refused for that; otherwise 0
	runTime       time.Duration // by the target's clock; 0 if unknown
	finished      chan struct{} // closed once result is set
	mark          *interf.Mark  // start of the run, for interference; nil if it is not in progress or not observed
}

// Run calls the target until ctx is cancelled.
func (g *Gate) Run(ctx context.Context) {
	g.mu.Lock()
	g.runSince = g.steady()
	g.mu.Unlock()
	go g.tickLoop(ctx)
	go g.hedgeLoop(ctx)
	g.pollLoop(ctx)
}

// Take runs the task that m asks for and returns its outcome. For a task that is
// already known it waits for that outcome. If ctx is cancelled it returns Lost
// at once.
func (g *Gate) Take(ctx context.Context, m msgs.Task) msgs.TaskReply {
	r, reply := g.admit(m)
	if r == nil {
		return reply
	}
	select {
	case <-r.finished:
	case <-ctx.Done():
		return msgs.TaskReply{Result: msgs.Lost, Reason: cause.Stopping}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return msgs.TaskReply{
		Result: r.result, Reason: r.reason, RunTime: r.runTime.Milliseconds(),
		Crash: r.crash, RevokedFor: r.revokedFor.Milliseconds(), Load: g.load(),
	}
}

// Sync renews the sender's lease, stops the tasks that it cancels, and returns
// the load. If m is for another incarnation of the gate, Sync only returns the load.
func (g *Gate) Sync(m msgs.Sync) msgs.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyOrder(m.Order, m.Entry)
	if m.GateIncarnation == g.IncarnationID {
		g.renewEntry(m.Sender, m.Cancel)
	}
	g.wantKinds(m.WantKinds)
	l := g.load()
	if m.GateIncarnation != g.IncarnationID {
		m.LossesSeen = 0
	}
	l.Losses = g.losses.After(m.LossesSeen, g.now())
	return l
}

// Drain makes the gate refuse new and queued tasks, and waits for those at the
// target to end, or for ctx to be cancelled.
func (g *Gate) Drain(ctx context.Context) {
	g.mu.Lock()
	g.stopping = true
	g.refuseQueue(cause.Stopping)
	g.mu.Unlock()
	for ctx.Err() == nil && g.busy() {
		boot.Sleep(ctx, tickInterval)
	}
}

// busy reports whether a task runs or is queued.
func (g *Gate) busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs) > 0 || len(g.queue) > 0
}

// admit returns the run for m, or nil and the reply if m is misdirected. A
// refused task is recorded too, so that a late copy of its message is refused as
// well.
func (g *Gate) admit(m msgs.Task) (*run, msgs.TaskReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyOrder(m.Order, m.Entry)
	if m.GateIncarnation != g.IncarnationID {
		return nil, msgs.TaskReply{Result: msgs.Foreign, Reason: cause.OtherIncarnation, Load: g.load()}
	}
	g.wantKinds(m.WantKinds)
	g.renewEntry(m.Sender, m.Cancel)
	id := taskID{m.Entry, m.Incarnation, m.ID}
	if r := g.tasks[id]; r != nil {
		return r, msgs.TaskReply{}
	}
	now := g.now()
	r := &run{
		id: id, msg: m, demand: rsrc.Vector{CPU: m.CPU, Memory: m.Memory, GPU: m.GPU}, number: 1,
		finished: make(chan struct{}), arrivedAt: now,
		startBy:       now.Add(time.Duration(m.StartWithin) * time.Millisecond),
		queueDeadline: now.Add(time.Duration(m.MaxQueueTime) * time.Millisecond),
	}
	g.addTask(r)
	if reason := g.admitRefusal(m, r.demand); reason != "" {
		if reason == cause.Revoked {
			r.revokedFor, _ = g.revocations.Refuses(m.Job, m.Sender, now)
		}
		g.finish(r, msgs.Refused, reason)
		return r, msgs.TaskReply{}
	}
	g.queue = append(g.queue, r)
	g.startQueued()
	if r.state.Phase() == start.Queued && m.MaxQueueTime <= 0 {
		g.dequeue(r)
		g.finish(r, msgs.Refused, cause.NoCapacity)
	}
	return r, msgs.TaskReply{}
}

// renewEntry renews the sender's lease and stops the tasks that it cancels. Nothing else
// renews a lease, so an entry can't keep a task running that it has cancelled.
func (g *Gate) renewEntry(s msgs.Sender, cancels []uint64) {
	g.renewEntryLease(s)
	for _, id := range cancels {
		g.cancel(taskID{s.Entry, s.Incarnation, id})
	}
}

// cancel stops a task. A task that has not arrived yet is refused once it does,
// since the cancellation may have overtaken it on another connection.
func (g *Gate) cancel(id taskID) {
	r := g.tasks[id]
	if r == nil {
		r = &run{id: id, finished: make(chan struct{}), arrivedAt: g.now()}
		g.addTask(r)
	}
	g.abandon(r, cause.Cancelled)
}

// admitRefusal returns the reason to refuse a task on arrival, or the empty
// string.
func (g *Gate) admitRefusal(m msgs.Task, demand rsrc.Vector) string {
	switch {
	case g.stopping:
		return cause.Stopping
	case !g.targetKnown:
		return cause.NoTarget
	case g.incarnation.Leaving:
		return cause.Leaving
	case g.evacuated():
		return cause.Evacuated
	case m.Service != g.incarnation.Service:
		return cause.WrongService
	case !demand.Valid() || !demand.Within(g.incarnation.Capacity):
		return cause.TooLarge
	case !g.leaseValid(m.Sender) || g.now() >= boot.Time(m.EchoedTimestamp).Add(EntryLease):
		return cause.LeaseExpired
	case g.isRevoked(m):
		return cause.Revoked
	case g.runs[m.Name] != nil:
		return cause.Duplicate
	case !m.IgnoreBreaker && g.breaker.OpenReason(g.now()) != "":
		return cause.BreakerOpen
	}
	return ""
}

// used returns the sum of the demands of all runs.
func (g *Gate) used() rsrc.Vector {
	var sum rsrc.Vector
	for _, r := range g.runs {
		sum = sum.Plus(r.demand)
	}
	return sum
}

// finish records the result of r and frees its resources. It does nothing if r
// has a result.
func (g *Gate) finish(r *run, result msgs.Result, reason string) {
	if r.isOver() {
		return
	}
	previous := r.state.Phase()
	r.state = r.state.End()
	r.endedAt = g.now()
	r.result = result
	r.reason = reason
	if g.runs[r.msg.Name] == r {
		delete(g.runs, r.msg.Name)
	}
	g.observeEnd(r)
	g.logEnded(r, previous)
	close(r.finished)
	g.waker.Wake()
}

// load returns the target's capacity and use, and whether it takes tasks.
func (g *Gate) load() msgs.Load {
	now := g.now()
	g.updateCold(now)
	l := msgs.Load{
		Incarnation: g.IncarnationID, Timestamp: int64(now), Speed: g.currentSpeed(), Domain: g.domain(),
		Leaving: g.stopping || g.incarnation.Leaving, LastLoss: g.losses.Last(now),
	}
	if !g.targetKnown {
		l.BlockedReason = cause.NoTarget
		return l
	}
	used := g.used()
	l.ColdFor = int(g.coldFor(now).Milliseconds())
	l.Service, l.TargetIncarnation, l.Labels = g.incarnation.Service, g.incarnation.ID, g.incarnation.Labels
	l.CPU, l.Memory, l.GPU = g.incarnation.Capacity.CPU, g.incarnation.Capacity.Memory, g.incarnation.Capacity.GPU
	l.UsedCPU, l.UsedMemory, l.UsedGPU = used.CPU, used.Memory, used.GPU
	for _, r := range g.queue {
		l.QueuedWork += int64(r.demand.CPU) * r.msg.ExpectedRunTime / 1000
	}
	g.addInterference(&l, now)
	l.BlockedReason = g.breaker.OpenReason(now)
	switch {
	case g.silent && g.downWithRuns:
		l.BlockedReason = cause.TargetCrashed
	case g.silent || !g.reconciled() || g.unconfirmed():
		l.BlockedReason = cause.Silent
	case g.evacuated():
		l.BlockedReason = cause.Evacuated
	}
	return l
}

// addTask records r under its sender's ID.
func (g *Gate) addTask(r *run) {
	if g.tasks == nil {
		g.tasks = map[taskID]*run{}
	}
	if g.runs == nil {
		g.runs = map[string]*run{}
	}
	g.tasks[r.id] = r
}

func (g *Gate) now() boot.Time {
	if g.Now != nil {
		return g.Now()
	}
	return boot.Now()
}

// steady returns the present time by which the target's clock and lease are judged.
func (g *Gate) steady() boot.Time {
	if g.Steady != nil {
		return g.Steady()
	}
	return g.now()
}
