package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Names of histograms.
const (
	WaitTime  = "task.wait.ms"    // from a task's arrival to the order to start it
	OrderTime = "target.order.ms" // an order to start, with its answer
	RunTime   = "task.run.ms"     // runs that ended done or failed
)

var phaseNames = [...]string{"queued", "ordered", "running", "over"}

// State is what an operator is shown of a gate.
type State struct {
	Incarnation targ.Incarnation
	TargetKnown bool // a target has announced itself
	Load        msgs.Load
	Clean       bool // nothing unknown runs at the target
	Silent      bool // the target leaves holds unanswered
	Fence       int64
	Running     int
	Queued      int
	Entries     int // entries that have called
}

// State returns the gate's present state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Incarnation: g.life, TargetKnown: g.known, Load: g.load(), Clean: g.clean, Silent: g.silent, Fence: g.fence,
		Running: len(g.runs), Queued: len(g.queue), Entries: g.senders.Len(),
	}
}

// tellOrdered notes that r leaves the queue at now.
func (g *Gate) tellOrdered(r *run, now boot.Time) {
	g.took(WaitTime, now.Sub(r.came))
}

// tellStarted logs that the target has started r.
func (g *Gate) tellStarted(r *run, now boot.Time) {
	g.trace("task_started", "job", r.msg.Job, "task", r.msg.Name, "run", r.number, "target", g.life.ID,
		"entry", r.msg.Entry, "after", now.Sub(r.came), "deadline", r.latest, "clock", g.clock.At(now))
}

// tellEnded logs and counts what became of r. It was in the given phase before.
func (g *Gate) tellEnded(r *run, was phase) {
	if r.result == msgs.Refused {
		g.count(cause.Refused + r.reason)
	} else {
		g.count("ended." + r.result.String())
	}
	if r.ran > 0 && (r.result == msgs.Done || r.result == msgs.Failed) {
		g.took(RunTime, r.ran)
	}
	g.trace("task_ended", "job", r.msg.Job, "task", r.msg.Name, "run", r.number, "target", g.life.ID,
		"entry", r.msg.Entry, "was", phaseNames[was], "result", r.result, "reason", r.reason,
		"percent", r.percent, "ran", r.ran, "after", r.ended.Sub(r.came))
}

func (g *Gate) event(event string, pairs ...any) {
	if g.Event != nil {
		g.Event(event, pairs...)
	}
}

func (g *Gate) trace(event string, pairs ...any) {
	if g.Trace != nil {
		g.Trace(event, pairs...)
	}
}

func (g *Gate) count(name string) {
	if g.Count != nil {
		g.Count(name)
	}
}

func (g *Gate) took(name string, d time.Duration) {
	if g.Observe != nil {
		g.Observe(name, d)
	}
}
