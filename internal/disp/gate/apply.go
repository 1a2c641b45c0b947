package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// standstill is how long a run may show no progress before it counts as
	// stuck; long runs get standstillShare of their expected time.
	standstill      = 350 * time.Millisecond
	standstillShare = 0.25
)

// apply takes in a list of the target.
func (g *Gate) apply(l Listing, now boot.Time) {
	stale := g.clock.set && l.Clock < g.clock.read
	g.clock.note(l.Clock, now)
	for _, e := range l.Ended {
		g.end(e, l.Clock, now)
	}
	if stale {
		return
	}
	listed := make(map[string]bool, len(l.Running))
	strangers := 0
	for _, row := range l.Running {
		listed[row.Task] = true
		if !g.progress(row, now) {
			strangers++
			g.stopStranger(row)
		}
	}
	if g.clean != (strangers == 0) {
		g.event("target_list", "target", g.life.ID, "strangers", strangers)
	}
	g.clean = strangers == 0
	for _, r := range g.runs {
		if !listed[r.msg.Name] {
			g.missing(r, l.Clock)
		}
	}
}

// end takes in the end of a run.
func (g *Gate) end(e Ended, clock int64, now boot.Time) {
	if e.Number <= g.seen {
		return
	}
	g.seen = e.Number
	r := g.runs[e.Task]
	if r == nil || r.number != e.Run {
		return
	}
	r.ran = max(0, time.Duration(clock-r.since)*time.Millisecond)
	if r.since == 0 {
		r.ran = 0
	}
	switch e.How {
	case EndedDone:
		g.trust.Good()
		g.speed.note(r.msg.Expected, r.ran)
		g.finish(r, msgs.Done, "")
	case EndedFailed:
		g.bad(r, "failing", now)
		g.finish(r, msgs.Failed, "")
	default:
		if !r.cancel {
			r.because = "lapsed"
		}
		g.finish(r, msgs.Lost, r.because)
	}
}

// progress takes in a run in progress. It reports false if the run is not
// known here.
func (g *Gate) progress(row Running, now boot.Time) bool {
	r := g.runs[row.Task]
	if r == nil || r.number != row.Run {
		return false
	}
	if r.phase == ordered && r.settle {
		r.phase, r.settle = running, false
		r.begun, r.moved = now, now
		if r.cancel {
			g.stopNow(r, now)
		}
	}
	if row.Percent > r.percent {
		r.percent, r.moved = row.Percent, now
	}
	return true
}

// missing settles a run that a list at the target's time clock lacks.
func (g *Gate) missing(r *run, clock int64) {
	switch {
	case r.phase == ordered && !r.settle:
	case r.phase == ordered && (r.barred > 0 && clock > r.barred || clock > r.latest):
		g.refuse(r, "unanswered")
	case r.phase == running && clock > r.since && (r.since > 0 || clock > r.latest):
		g.count("target.vanished")
		g.finish(r, msgs.Lost, "vanished")
	}
}

// watch stops again what should have stopped, and what stands still.
func (g *Gate) watch(now boot.Time) {
	for _, r := range g.runs {
		switch {
		case r.phase != running || g.silent:
		case r.cancel:
			if now >= r.stopAt {
				g.stopNow(r, now)
			}
		case now.Sub(r.moved) > max(standstill, time.Duration(standstillShare*float64(r.msg.Expected))*time.Millisecond):
			g.bad(r, "stuck", now)
			g.event("task_stuck", "job", r.msg.Job, "task", r.msg.Name, "percent", r.percent, "after", now.Sub(r.begun))
			g.abandon(r, "stuck")
		}
	}
}

// stopStranger stops a run that this process did not order.
func (g *Gate) stopStranger(row Running) {
	g.count("stopped.stranger")
	r := &run{msg: msgs.Task{Name: row.Task}, number: row.Run}
	g.stopNow(r, g.now())
}
