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

// Incarnation is the reason given to a message that is meant for another
// incarnation of the gate.
const OtherIncarnation ledger.Reason = "incarnation"

// overrun is how long past its deadline a task may keep its slot.
const overrun = 30 * time.Second

// Gate guards one target. Clock, Stats and Slack must be set before use.
type Gate struct {
	Clock     *clock.Clock
	Stats     *stats.Set
	Log       logs.Logger
	Retention time.Duration // how long past its deadline a task is remembered

	queue slots.Queue

	mu       sync.Mutex
	inc      uint64
	book     *starts.Table
	announce target.Announcement
	expires  time.Time
	runner   *target.Runner
	draining bool
	tickets  map[starts.ID]*slots.Ticket
}

// Renew begins a new incarnation with an empty ledger.
func (g *Gate) StartIncarnation(inc uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inc = inc
	g.book = &starts.Table{}
}

// Start handles one message of a home and waits for the outcome. A task that was
// started in time may end some time past its deadline.
func (g *Gate) Start(args *msgs.Start, reply *msgs.StartReply) {
	defer g.report(reply)
	deadline := time.Now().Add(time.Duration(args.TimeLeft) * time.Millisecond)
	book, ok := g.bookOf(args.GateIncarnation)
	if !ok {
		g.wrongIncarnation(args, reply)
		return
	}
	rec := g.record(book, args, deadline)
	timer := time.NewTimer(time.Until(deadline) + g.linger())
	defer timer.Stop()
	select {
	case <-rec.Done():
		fill(reply, rec.Result())
	case <-timer.C:
		fill(reply, late(rec))
	}
	if reply.State == int(ledger.NotRun) {
		g.Stats.CountRefusal(reply.Reason)
	}
}

// linger returns how long past its deadline a task's outcome is waited for.
func (g *Gate) linger() time.Duration { return ledger.Options{Retention: g.Retention}.OutcomeGrace() }

// Load returns the present load.
func (g *Gate) Load() slots.Load { return g.queue.Load() }

// Drain refuses new work, or takes that back. What runs goes on.
func (g *Gate) Drain(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = on
	g.queue.SetLeaving(on || g.announce.Leaving)
}

// Idle tells whether nothing runs or waits.
func (g *Gate) Idle() bool {
	load := g.queue.Load()
	return load.Running == 0 && load.Queued == 0
}

// Expire forgets old tasks, and the target if it has not renewed its lease.
func (g *Gate) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.book != nil {
		g.book.Expire(g.Clock.Now())
	}
	if g.runner != nil && time.Now().After(g.expires) {
		g.forget()
		g.Log.Event("target-expired")
	}
}

func (g *Gate) bookOf(inc uint64) (*starts.Table, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book, g.inc == inc && g.book != nil
}

func (g *Gate) wrongIncarnation(args *msgs.Start, reply *msgs.StartReply) {
	state := ledger.Unknown
	if args.Mode == msgs.Begin {
		state = ledger.NotRun
	}
	fill(reply, starts.Result{State: state, Reason: OtherIncarnation})
	g.Stats.CountRefusal(string(OtherIncarnation))
}

// record returns the record of the task, and starts the task if it is new and
// to be started.
func (g *Gate) record(book *starts.Table, args *msgs.Start, deadline time.Time) *starts.Record {
	id := starts.ID{Key: args.Key, Task: args.Task}
	hold := msgs.Time(args.Deadline).Add(g.Retention)
	now := g.Clock.Now()
	if args.Mode == msgs.Cancel {
		g.abandon(id)
	}
	if args.Mode != msgs.Begin {
		return book.Resolve(id, hold, now)
	}
	rec, fresh := book.Begin(id, hold, now)
	if fresh {
		wait := slots.UnlimitedWait
		if args.MaxWait >= 0 {
			wait = time.Duration(args.MaxWait) * time.Millisecond
		}
		go g.execute(book, rec, wait, target.Task{ID: id, Entry: args.Entry, Body: args.Body, Deadline: deadline})
	}
	return rec
}

// execute waits for a slot, runs the task and settles its record.
func (g *Gate) execute(book *starts.Table, rec *starts.Record, wait time.Duration, t target.Task) {
	ticket := g.queue.Enqueue(t.Deadline, time.Now(), wait)
	if reason := g.await(ticket, t); reason != "" {
		book.Refuse(t.ID, rec, reason)
		return
	}
	runner := g.target()
	if runner == nil {
		g.queue.Release(0)
		book.Refuse(t.ID, rec, slots.NoTarget)
		return
	}
	g.Stats.Count("started")
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), t.Deadline.Add(overrun))
	defer cancel()
	res := runner.Run(ctx, t)
	g.queue.Release(time.Since(began))
	g.Stats.Count("ended." + res.State.String())
	book.Finish(rec, res)
}

// await waits until the ticket holds a slot. It returns why the task must not
// start, or "".
func (g *Gate) await(ticket *slots.Ticket, t target.Task) ledger.Reason {
	g.track(t.ID, ticket)
	defer g.untrack(t.ID)
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

func (g *Gate) track(id starts.ID, ticket *slots.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tickets == nil {
		g.tickets = map[starts.ID]*slots.Ticket{}
	}
	g.tickets[id] = ticket
}

func (g *Gate) untrack(id starts.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.tickets, id)
}

func (g *Gate) abandon(id starts.ID) {
	g.mu.Lock()
	ticket := g.tickets[id]
	g.mu.Unlock()
	if ticket != nil {
		g.queue.Withdraw(ticket)
	}
}

func (g *Gate) report(reply *msgs.StartReply) {
	load := g.queue.Load()
	reply.Slots = load.Slots
	reply.Running = load.Running
	reply.Queued = load.Queued
	reply.MeanRunTime = load.Mean.Microseconds()
	reply.Leaving = load.Leaving
}

func fill(reply *msgs.StartReply, res starts.Result) {
	reply.State = int(res.State)
	reply.Reason = string(res.Reason)
	reply.Answer = res.Answer
}

// late returns the result of a task whose deadline has come.
func late(rec *starts.Record) starts.Result {
	select {
	case <-rec.Done():
		return rec.Result()
	default:
		return starts.Result{State: ledger.Unknown, Reason: ledger.DeadlineReached}
	}
}
