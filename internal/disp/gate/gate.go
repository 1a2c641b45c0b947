package gate

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cbreak"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/learn"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/lease"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Gate is the way to one target. Set the exported fields before Run. It is safe
// for concurrent use.
type Gate struct {
	// Process is the ID of this process's life.
	IncarnationID uint64
	// Start, Stop and Hold call the target. A nil error means that it answered
	// with success; Start and Stop return its clock in ms.
	Start func(context.Context, targ.Incarnation, targ.Order) (int64, error)
	Stop  func(context.Context, targ.Incarnation, targ.Order) (int64, error)
	Poll  func(context.Context, targ.Incarnation, targ.Renewal) (targ.Listing, error)
	// Now reads the clock; nil means boot.Now.
	Now func() boot.Time
	// Event logs a change of state; nil drops it.
	Event func(event string, pairs ...any)
	// Trace logs a decision about a task; nil drops it.
	Trace func(event string, pairs ...any)
	// Count counts by reason; nil drops it.
	Count func(name string)
	// Time notes how long something took; nil drops it.
	Observe func(name string, d time.Duration)

	mu           sync.Mutex
	incarnation  targ.Incarnation
	targetKnown  bool // life is set
	stopping     bool // this process is stopping
	clean        bool // nothing unknown runs at the target
	fence        int64
	clock        targ.ClockBound
	lastEndSeq   int64          // number of the newest end that was taken in
	ackedEndSeq  int64          // number of the newest end that the target was told of
	lastEndClock int64          // target's clock when the newest end was told, ms
	lastEnds     map[string]int // runs by task whose end was told then
	missedPolls  int            // holds without an answer, one after the other
	silent       bool           // too many of them
	hedgeUntil   boot.Time      // until when a second hold is kept open
	leaseEnd     boot.Time
	runs         map[string]*run // by task: all that may run at the target
	tasks        map[taskID]*run // by sender's ID, with results that are kept a while
	queue        []*run
	entryLeases  lease.Table // of the entries
	cbreak       cbreak.Breaker
	speed        learn.Speed
	nextLoadLog  boot.Time // when to log the load next
	wake         chan struct{}
}

// taskID names a task as its sender does.
type taskID struct {
	entry       string
	incarnation uint64
	id          uint64
}

// phase is how far a run has come.
type phase int

const (
	queued  phase = iota
	ordered       // the start is on its way or has no answer yet
	running
	over
)

// run is one task at this gate.
type run struct {
	id            taskID
	msg           msgs.Task
	demand        rsrc.Vector
	number        int
	phase         phase
	inDoubt       bool // the start had no answer; its fate is being found out
	stopWanted    bool // to be stopped
	stopReason    string
	stopAckClock  int64 // target's clock when a stop was answered, ms; 0 before
	startDeadline int64 // deadline of the newest start, target's clock, ms
	startClock    int64 // target's clock when the start was answered, ms

	arrivedAt     boot.Time // when the task arrived
	queueDeadline boot.Time // when to leave the queue
	startedAt     boot.Time // when the start was answered or listed
	nextStop      boot.Time // when to send the next stop
	percent       int
	progressedAt  boot.Time // when percent last rose
	endedAt       boot.Time
	result        msgs.Result
	reason        string
	runTime       time.Duration
	finished      chan struct{}
}

// Run calls the target until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	go g.tickLoop(ctx)
	go g.hedgeLoop(ctx)
	g.pollLoop(ctx)
}

// Take runs the task that m asks for, or goes on waiting for it, and returns
// what became of it. It returns early, with Lost, only when ctx ends.
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
	return msgs.TaskReply{Result: r.result, Reason: r.reason, Ran: r.runTime.Milliseconds(), Load: g.load()}
}

// Sync renews the sender's lease, stops what it cancels, and returns the load.
func (g *Gate) Sync(m msgs.Sync) msgs.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.GateLife == g.IncarnationID {
		g.renewEntryLease(m.Sender)
		for _, id := range m.Cancel {
			g.cancel(taskID{m.Entry, m.Life, id})
		}
	}
	return g.load()
}

// Leave makes the gate take no further tasks, and waits for those that run
// until ctx ends.
func (g *Gate) Drain(ctx context.Context) {
	g.mu.Lock()
	g.stopping = true
	for _, r := range g.queue {
		g.finish(r, msgs.Refused, cause.Stopping)
	}
	g.queue = nil
	g.mu.Unlock()
	for ctx.Err() == nil && g.busy() {
		boot.Sleep(ctx, tickInterval)
	}
}

// busy tells whether something runs or waits here.
func (g *Gate) busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs) > 0 || len(g.queue) > 0
}

// admit returns the run for m, or the reply if there is to be none. What is
// refused is remembered, so that a copy of the message that comes late is refused
// as well.
func (g *Gate) admit(m msgs.Task) (*run, msgs.TaskReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.GateLife != g.IncarnationID {
		return nil, msgs.TaskReply{Result: msgs.Stranger, Reason: cause.OtherLife, Load: g.load()}
	}
	g.renewEntryLease(m.Sender)
	id := taskID{m.Entry, m.Life, m.ID}
	if r := g.tasks[id]; r != nil {
		return r, msgs.TaskReply{}
	}
	now := g.now()
	r := &run{
		id: id, msg: m, demand: rsrc.Vector{CPU: m.CPU, Memory: m.Memory, GPU: m.GPU}, number: 1,
		finished: make(chan struct{}), arrivedAt: now, queueDeadline: now.Add(time.Duration(m.Patience) * time.Millisecond),
	}
	g.addTask(r)
	if reason := g.admitRefusal(m, r.demand); reason != "" {
		g.finish(r, msgs.Refused, reason)
		return r, msgs.TaskReply{}
	}
	g.queue = append(g.queue, r)
	sort.SliceStable(g.queue, func(i, j int) bool { return g.queue[i].msg.Urgency < g.queue[j].msg.Urgency })
	g.startQueued()
	if r.phase == queued && m.Patience <= 0 {
		g.dequeue(r)
		g.finish(r, msgs.Refused, cause.Full)
	}
	return r, msgs.TaskReply{}
}

// cancel has a task stopped. One that has not come yet is refused when it does:
// its message may have been overtaken on another connection.
func (g *Gate) cancel(id taskID) {
	r := g.tasks[id]
	if r == nil {
		r = &run{id: id, finished: make(chan struct{}), arrivedAt: g.now()}
		g.addTask(r)
	}
	g.abandon(r, cause.Cancelled)
}

// objection returns the reason why a task can't be taken now, or nothing.
func (g *Gate) admitRefusal(m msgs.Task, size rsrc.Vector) string {
	switch {
	case g.stopping:
		return cause.Stopping
	case !g.targetKnown:
		return cause.NoTarget
	case g.incarnation.Leaving:
		return cause.Leaving
	case m.Service != g.incarnation.Service:
		return cause.Service
	case !size.Valid() || !size.Within(g.incarnation.Capacity):
		return cause.Size
	case !g.leaseValid(m.Sender) || g.now() >= boot.Time(m.Echo).Add(EntryLease):
		return cause.Expired
	case g.runs[m.Name] != nil:
		return cause.Twin
	case !m.Insist && g.cbreak.OpenReason(g.now()) != "":
		return cause.Aside
	}
	return ""
}

// startQueued starts what waits and has room, most urgent first, and hands back
// what a target that is set aside does not get. A task that has no room lets no
// later one pass, so that wide tasks get their turn.
func (g *Gate) startQueued() {
	now := g.now()
	for len(g.queue) > 0 && g.acceptsOrders() {
		r := g.queue[0]
		if reason := g.startRefusal(r, now); reason != "" {
			g.queue = g.queue[1:]
			g.finish(r, msgs.Refused, reason)
			continue
		}
		if !g.used().Plus(r.demand).Within(g.incarnation.Capacity) {
			return
		}
		g.queue = g.queue[1:]
		g.cbreak.RecordStart(now)
		g.observeWait(r, now)
		r.phase = ordered
		g.runs[r.msg.Name] = r
		g.wakePollLoop()
		go g.orderStart(r)
	}
}

// unwanted returns the reason why a task that waits is handed back instead of
// started, or nothing.
func (g *Gate) startRefusal(r *run, now boot.Time) string {
	switch {
	case g.runs[r.msg.Name] != nil:
		return cause.Twin
	case !r.msg.Insist && g.cbreak.OpenReason(now) != "":
		return cause.Aside
	}
	return ""
}

// reachable tells whether orders can be given to the target.
func (g *Gate) acceptsOrders() bool {
	return g.targetKnown && g.clean && !g.silent && !g.incarnation.Leaving && g.clock.HasReading
}

// used returns the room that is taken.
func (g *Gate) used() rsrc.Vector {
	var sum rsrc.Vector
	for _, r := range g.runs {
		sum = sum.Plus(r.demand)
	}
	return sum
}

func (g *Gate) dequeue(r *run) {
	for i, q := range g.queue {
		if q == r {
			g.queue = append(g.queue[:i:i], g.queue[i+1:]...)
			return
		}
	}
}

// finish notes the result of r and frees its room.
func (g *Gate) finish(r *run, result msgs.Result, reason string) {
	if r.phase == over {
		return
	}
	was := r.phase
	r.phase = over
	r.endedAt = g.now()
	r.result = result
	r.reason = reason
	if g.runs[r.msg.Name] == r {
		delete(g.runs, r.msg.Name)
	}
	g.logEnded(r, was)
	close(r.finished)
	g.wakePollLoop()
}

// load returns what the target has to give.
func (g *Gate) load() msgs.Load {
	now := g.now()
	l := msgs.Load{Life: g.IncarnationID, Stamp: int64(now), Speed: g.speed.Value(), Leaving: g.stopping || g.incarnation.Leaving}
	if !g.targetKnown {
		l.Aside = cause.NoTarget
		return l
	}
	used := g.used()
	l.Service, l.Target, l.Labels = g.incarnation.Service, g.incarnation.ID, g.incarnation.Labels
	l.CPU, l.Memory, l.GPU = g.incarnation.Capacity.CPU, g.incarnation.Capacity.Memory, g.incarnation.Capacity.GPU
	l.UsedCPU, l.UsedMem, l.UsedGPU = used.CPU, used.Memory, used.GPU
	for _, r := range g.queue {
		l.Queued += int64(r.demand.CPU) * r.msg.Expected / 1000
	}
	l.Aside = g.cbreak.OpenReason(now)
	if g.silent || !g.clean {
		l.Aside = cause.Silent
	}
	return l
}

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

// nudge makes the hold loop look at the state again.
func (g *Gate) wakePollLoop() {
	select {
	case g.wakeChan() <- struct{}{}:
	default:
	}
}

func (g *Gate) wakeChan() chan struct{} {
	if g.wake == nil {
		g.wake = make(chan struct{}, 1)
	}
	return g.wake
}
