package gate

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/slots"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/node/target"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// OtherIncarnation is the reason in the reply to a misdirected message, which is
// meant for another incarnation of the gate.
const OtherIncarnation ledger.Reason = "incarnation"

// maxOverrun is how long after its deadline a task may occupy its slot.
const maxOverrun = 30 * time.Second

// Gate controls the access to one target. Clock, Stats and Retention must be set
// before use.
type Gate struct {
	Clock     *clock.Clock
	Stats     *stats.Set
	Log       logs.Logger
	Retention time.Duration // how long the record of a task is retained after its deadline

	queue slots.Queue

	mu           sync.Mutex
	incarnation  uint64                      // number of the present incarnation
	table        *starts.Table               // tasks received in this incarnation; nil before the first
	announcement target.Announcement         // the newest one
	leaseEnd     time.Time                   // when the announcement expires
	runner       *target.Runner              // client of the target; nil without a target
	draining     bool                        // the gate refuses new tasks
	tickets      map[starts.ID]*slots.Ticket // of the tasks that wait for a slot
}

// StartIncarnation starts a new incarnation with an empty table of tasks.
func (g *Gate) StartIncarnation(incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.incarnation = incarnation
	g.table = &starts.Table{}
}

// Start handles a message of a home and waits for the result of the task. A task
// that started before its deadline may end some time after it, so Start waits for
// the outcome grace beyond the deadline.
func (g *Gate) Start(args *msgs.Start, reply *msgs.StartReply) {
	defer g.setLoad(reply)
	deadline := time.Now().Add(time.Duration(args.TimeLeft) * time.Millisecond)
	table, ok := g.tableOf(args.GateIncarnation)
	if !ok {
		g.replyOtherIncarnation(args, reply)
		return
	}
	rec := g.beginOrResolve(table, args, deadline)
	timer := time.NewTimer(time.Until(deadline) + g.outcomeGrace())
	defer timer.Stop()
	select {
	case <-rec.Done():
		setResult(reply, rec.Result())
	case <-timer.C:
		setResult(reply, resultAtDeadline(rec))
	}
	if reply.State == int(ledger.NotRun) {
		g.Stats.CountRefusal(reply.Reason)
	}
}

// outcomeGrace returns how long after its deadline the result of a task is awaited.
func (g *Gate) outcomeGrace() time.Duration {
	return ledger.Options{Retention: g.Retention}.OutcomeGrace()
}

// Load returns the present load of the queue and the slots.
func (g *Gate) Load() slots.Load { return g.queue.Load() }

// Drain makes the gate refuse new tasks if draining is true, and accept them again
// otherwise. Running tasks continue.
func (g *Gate) Drain(draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = draining
	g.queue.SetLeaving(draining || g.announcement.Leaving)
}

// Idle reports whether no task runs or waits.
func (g *Gate) Idle() bool {
	load := g.queue.Load()
	return load.Running == 0 && load.Queued == 0
}

// Expire deletes the records of tasks whose retention deadline has passed, and
// removes the target if its lease has expired.
func (g *Gate) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table != nil {
		g.table.Expire(g.Clock.Now())
	}
	if g.runner != nil && time.Now().After(g.leaseEnd) {
		g.removeTarget()
		g.Log.Event("target-expired")
	}
}

// tableOf returns the table of tasks. It returns false if the number is not that of
// the present incarnation.
func (g *Gate) tableOf(incarnation uint64) (*starts.Table, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table, g.incarnation == incarnation && g.table != nil
}

// replyOtherIncarnation replies to a misdirected message. A request to begin a task
// starts nothing here and is answered with NotRun. Any other request is answered
// with Unknown, since the incarnation that it is meant for may have run the task.
func (g *Gate) replyOtherIncarnation(args *msgs.Start, reply *msgs.StartReply) {
	state := ledger.Unknown
	if args.Mode == msgs.Begin {
		state = ledger.NotRun
	}
	setResult(reply, starts.Result{State: state, Reason: OtherIncarnation})
	g.Stats.CountRefusal(string(OtherIncarnation))
}

// beginOrResolve returns the record of the task. If the message asks to begin the
// task and the task is new, it also starts the task.
func (g *Gate) beginOrResolve(table *starts.Table, args *msgs.Start, deadline time.Time) *starts.Record {
	id := starts.ID{Key: args.Key, Task: args.Task}
	retainUntil := msgs.Time(args.Deadline).Add(g.Retention)
	now := g.Clock.Now()
	if args.Mode == msgs.Cancel {
		g.withdraw(id)
	}
	if args.Mode != msgs.Begin {
		return table.Resolve(id, retainUntil, now)
	}
	rec, isNew := table.Begin(id, retainUntil, now)
	if isNew {
		maxWait := slots.UnlimitedWait
		if args.MaxWait >= 0 {
			maxWait = time.Duration(args.MaxWait) * time.Millisecond
		}
		go g.execute(table, rec, maxWait, target.Task{ID: id, Entry: args.Entry, Body: args.Body, Deadline: deadline})
	}
	return rec
}

// execute waits for a slot, runs the task, and sets the result in its record.
func (g *Gate) execute(table *starts.Table, rec *starts.Record, maxWait time.Duration, t target.Task) {
	ticket := g.queue.Enqueue(t.Deadline, time.Now(), maxWait)
	if reason := g.awaitSlot(ticket, t); reason != "" {
		table.Refuse(t.ID, rec, reason)
		return
	}
	runner := g.currentRunner()
	if runner == nil {
		g.queue.Release(0)
		table.Refuse(t.ID, rec, slots.NoTarget)
		return
	}
	g.Stats.Count("started")
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), t.Deadline.Add(maxOverrun))
	defer cancel()
	res := runner.Run(ctx, t)
	g.queue.Release(time.Since(startedAt))
	g.Stats.Count("ended." + res.State.String())
	table.Finish(rec, res)
}

// awaitSlot waits until the ticket has a slot. It returns the reason if the task
// must not start, and otherwise the empty string.
func (g *Gate) awaitSlot(ticket *slots.Ticket, t target.Task) ledger.Reason {
	g.addTicket(t.ID, ticket)
	defer g.removeTicket(t.ID)
	timer := time.NewTimer(time.Until(t.Deadline))
	defer timer.Stop()
	select {
	case <-ticket.Ready():
	case <-timer.C:
		g.queue.Withdraw(ticket)
		<-ticket.Ready()
	}
	if reason := ticket.Refusal(); reason != "" {
		return reason
	}
	if !time.Now().Before(t.Deadline) {
		g.queue.Release(0)
		return slots.TooLate
	}
	return ""
}

// addTicket records the ticket of a waiting task, so that withdraw finds it.
func (g *Gate) addTicket(id starts.ID, ticket *slots.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tickets == nil {
		g.tickets = map[starts.ID]*slots.Ticket{}
	}
	g.tickets[id] = ticket
}

func (g *Gate) removeTicket(id starts.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.tickets, id)
}

// withdraw removes a task from the queue if it still waits there.
func (g *Gate) withdraw(id starts.ID) {
	g.mu.Lock()
	ticket := g.tickets[id]
	g.mu.Unlock()
	if ticket != nil {
		g.queue.Withdraw(ticket)
	}
}

// setLoad sets the load in a reply.
func (g *Gate) setLoad(reply *msgs.StartReply) {
	load := g.queue.Load()
	reply.Slots = load.Slots
	reply.Running = load.Running
	reply.Queued = load.Queued
	reply.MeanRunTime = load.Mean.Microseconds()
	reply.Leaving = load.Leaving
}

func setResult(reply *msgs.StartReply, res starts.Result) {
	reply.State = int(res.State)
	reply.Reason = string(res.Reason)
	reply.Answer = res.Answer
}

// resultAtDeadline returns the result of a task when the wait for it ends. If the
// task still waits or runs, the result is unknown.
func resultAtDeadline(rec *starts.Record) starts.Result {
	select {
	case <-rec.Done():
		return rec.Result()
	default:
		return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
	}
}
