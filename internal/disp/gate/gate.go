package gate

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cbreak"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/estim"
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

	mu         sync.Mutex
	life       targ.Incarnation
	known      bool // life is set
	stopping   bool // this process is stopping
	clean      bool // nothing unknown runs at the target
	fence      int64
	clock      targ.Clock
	seen       int64          // number of the newest end that was taken in
	acked      int64          // number of the newest end that the target was told of
	endClock   int64          // target's clock when the newest end was told, ms
	lastEnds   map[string]int // runs by task whose end was told then
	misses     int            // holds without an answer, one after the other
	silent     bool           // too many of them
	hedgeUntil boot.Time      // until when a second hold is kept open
	leaseEnd   boot.Time
	runs       map[string]*run // by task: all that may run at the target
	tasks      map[taskID]*run // by sender's ID, with results that are kept a while
	queue      []*run
	senders    lease.Book // of the entries
	trust      cbreak.Breaker
	speed      estim.Speed
	reportAt   boot.Time // when to log the load next
	wake       chan struct{}
}

// taskID names a task as its sender does.
type taskID struct {
	entry string
	life  uint64
	id    uint64
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
	id      taskID
	msg     msgs.Task
	size    rsrc.Vector
	number  int
	phase   phase
	settle  bool // the start had no answer; its fate is being found out
	cancel  bool // to be stopped
	because string
	barred  int64 // target's clock when a stop was answered, ms; 0 before
	latest  int64 // deadline of the newest start, target's clock, ms
	since   int64 // target's clock when the start was answered, ms

	came     boot.Time // when the task arrived
	leave    boot.Time // when to leave the queue
	begun    boot.Time // when the start was answered or listed
	stopAt   boot.Time // when to send the next stop
	percent  int
	moved    boot.Time // when percent last rose
	ended    boot.Time
	result   msgs.Result
	reason   string
	ran      time.Duration
	finished chan struct{}
}

// Run calls the target until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	go g.tick(ctx)
	go g.hedgeLoop(ctx)
	g.holdLoop(ctx)
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
	return msgs.TaskReply{Result: r.result, Reason: r.reason, Ran: r.ran.Milliseconds(), Load: g.load()}
}

// Sync renews the sender's lease, stops what it cancels, and returns the load.
func (g *Gate) Sync(m msgs.Sync) msgs.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.GateLife == g.IncarnationID {
		g.renew(m.Sender)
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
		boot.Sleep(ctx, tickEvery)
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
		return nil, msgs.TaskReply{Result: msgs.Stranger, Reason: cause.OtherIncarnation, Load: g.load()}
	}
	g.renew(m.Sender)
	id := taskID{m.Entry, m.Life, m.ID}
	if r := g.tasks[id]; r != nil {
		return r, msgs.TaskReply{}
	}
	now := g.now()
	r := &run{
		id: id, msg: m, size: rsrc.Vector{CPU: m.CPU, Memory: m.Memory, GPU: m.GPU}, number: 1,
		finished: make(chan struct{}), came: now, leave: now.Add(time.Duration(m.Patience) * time.Millisecond),
	}
	g.remember(r)
	if reason := g.objection(m, r.size); reason != "" {
		g.finish(r, msgs.Refused, reason)
		return r, msgs.TaskReply{}
	}
	g.queue = append(g.queue, r)
	sort.SliceStable(g.queue, func(i, j int) bool { return g.queue[i].msg.Urgency < g.queue[j].msg.Urgency })
	g.startQueued()
	if r.phase == queued && m.Patience <= 0 {
		g.dequeue(r)
		g.finish(r, msgs.Refused, cause.NoCapacity)
	}
	return r, msgs.TaskReply{}
}

// cancel has a task stopped. One that has not come yet is refused when it does:
// its message may have been overtaken on another connection.
func (g *Gate) cancel(id taskID) {
	r := g.tasks[id]
	if r == nil {
		r = &run{id: id, finished: make(chan struct{}), came: g.now()}
		g.remember(r)
	}
	g.abandon(r, cause.Cancelled)
}

// objection returns the reason why a task can't be taken now, or nothing.
func (g *Gate) objection(m msgs.Task, size rsrc.Vector) string {
	switch {
	case g.stopping:
		return cause.Stopping
	case !g.known:
		return cause.NoTarget
	case g.life.Leaving:
		return cause.Leaving
	case m.Service != g.life.Service:
		return cause.Service
	case !size.Valid() || !size.Within(g.life.Capacity):
		return cause.Size
	case !g.lives(m.Sender) || g.now() >= boot.Time(m.Echo).Add(EntryLease):
		return cause.LeaseExpired
	case g.runs[m.Name] != nil:
		return cause.Duplicate
	case !m.Insist && g.trust.Aside(g.now()) != "":
		return cause.Aside
	}
	return ""
}

// startQueued starts what waits and has room, most urgent first, and hands back
// what a target that is set aside does not get. A task that has no room lets no
// later one pass, so that wide tasks get their turn.
func (g *Gate) startQueued() {
	now := g.now()
	for len(g.queue) > 0 && g.reachable() {
		r := g.queue[0]
		if reason := g.unwanted(r, now); reason != "" {
			g.queue = g.queue[1:]
			g.finish(r, msgs.Refused, reason)
			continue
		}
		if !g.used().Plus(r.size).Within(g.life.Capacity) {
			return
		}
		g.queue = g.queue[1:]
		g.trust.Trial(now)
		g.tellOrdered(r, now)
		r.phase = ordered
		g.runs[r.msg.Name] = r
		g.nudge()
		go g.order(r)
	}
}

// unwanted returns the reason why a task that waits is handed back instead of
// started, or nothing.
func (g *Gate) unwanted(r *run, now boot.Time) string {
	switch {
	case g.runs[r.msg.Name] != nil:
		return cause.Duplicate
	case !r.msg.Insist && g.trust.Aside(now) != "":
		return cause.Aside
	}
	return ""
}

// reachable tells whether orders can be given to the target.
func (g *Gate) reachable() bool {
	return g.known && g.clean && !g.silent && !g.life.Leaving && g.clock.Set
}

// used returns the room that is taken.
func (g *Gate) used() rsrc.Vector {
	var sum rsrc.Vector
	for _, r := range g.runs {
		sum = sum.Plus(r.size)
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
	r.ended = g.now()
	r.result = result
	r.reason = reason
	if g.runs[r.msg.Name] == r {
		delete(g.runs, r.msg.Name)
	}
	g.tellEnded(r, was)
	close(r.finished)
	g.nudge()
}

// load returns what the target has to give.
func (g *Gate) load() msgs.Load {
	now := g.now()
	l := msgs.Load{Life: g.IncarnationID, Stamp: int64(now), Speed: g.speed.Value(), Leaving: g.stopping || g.life.Leaving}
	if !g.known {
		l.Aside = cause.NoTarget
		return l
	}
	used := g.used()
	l.Service, l.Target, l.Labels = g.life.Service, g.life.ID, g.life.Labels
	l.CPU, l.Memory, l.GPU = g.life.Capacity.CPU, g.life.Capacity.Memory, g.life.Capacity.GPU
	l.UsedCPU, l.UsedMem, l.UsedGPU = used.CPU, used.Memory, used.GPU
	for _, r := range g.queue {
		l.Queued += int64(r.size.CPU) * r.msg.Expected / 1000
	}
	l.Aside = g.trust.Aside(now)
	if g.silent || !g.clean {
		l.Aside = cause.Silent
	}
	return l
}

func (g *Gate) remember(r *run) {
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
func (g *Gate) nudge() {
	select {
	case g.waker() <- struct{}{}:
	default:
	}
}

func (g *Gate) waker() chan struct{} {
	if g.wake == nil {
		g.wake = make(chan struct{}, 1)
	}
	return g.wake
}
