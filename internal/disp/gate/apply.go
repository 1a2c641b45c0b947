package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// standstill is how long a run may show no progress before it counts as
	// stuck; long runs get standstillShare of their expected time.
	standstill      = 350 * time.Millisecond
	standstillShare = 0.25
)

// apply takes in a list of the target.
func (g *Gate) apply(l targ.Listing, now boot.Time) {
	stale := g.clock.Set && l.Clock < g.clock.Read
	g.clock.Note(l.Clock, now)
	for _, e := range l.Ended {
		if g.end(e, l.Clock, now) {
			g.keepEnd(e, l.Clock)
		}
	}
	if stale {
		return
	}
	if l.Clock > g.endClock {
		g.lastEnds = nil
	}
	listed := make(map[string]bool, len(l.Running))
	strangers := 0
	for _, row := range l.Running {
		listed[row.Task] = true
		if !g.progress(row, now) && g.lastEnds[row.Task] != row.Run {
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

// keepEnd notes the end of a run that was told at the target's time clock. With
// two holds open, a list of the same millisecond may have been made before the
// end, and shows the run.
func (g *Gate) keepEnd(e targ.Ended, clock int64) {
	if g.lastEnds == nil || clock > g.endClock {
		g.lastEnds = map[string]int{}
	}
	g.endClock = clock
	g.lastEnds[e.Task] = e.Run
}

// end takes in the end of a run, and reports whether the run was known here.
func (g *Gate) end(e targ.Ended, clock int64, now boot.Time) bool {
	if e.Seq <= g.seen {
		return false
	}
	g.seen = e.Seq
	r := g.runs[e.Task]
	if r == nil || r.number != e.Run {
		return false
	}
	r.ran = max(0, time.Duration(clock-r.since)*time.Millisecond)
	if r.since == 0 {
		r.ran = 0
	}
	switch e.Outcome {
	case targ.EndedDone:
		if g.trust.Good() {
			g.event("target_back", "target", g.life.ID, "job", r.msg.Job, "task", r.msg.Name)
		}
		g.speed.Observe(r.msg.Expected, r.ran)
		g.finish(r, msgs.Done, "")
	case targ.EndedFailed:
		g.bad(r, cause.TargetFailing, now)
		g.finish(r, msgs.Failed, "")
	default:
		if !r.cancel {
			r.because = cause.EndedByTarget
		}
		g.finish(r, msgs.Lost, r.because)
	}
	return true
}

// progress takes in a run in progress. It reports false if the run is not
// known here.
func (g *Gate) progress(row targ.Running, now boot.Time) bool {
	r := g.runs[row.Task]
	if r == nil || r.number != row.Run {
		return false
	}
	if r.phase == ordered && r.settle {
		r.phase, r.settle = running, false
		r.begun, r.moved = now, now
		g.tellStarted(r, now)
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
		g.refuse(r, cause.Unanswered)
	case r.phase == running && clock > r.since && (r.since > 0 || clock > r.latest):
		g.count("target.vanished")
		g.finish(r, msgs.Lost, cause.Missing)
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
			g.bad(r, cause.Stuck, now)
			g.trace("task_stuck", "job", r.msg.Job, "task", r.msg.Name, "percent", r.percent, "after", now.Sub(r.begun))
			g.abandon(r, cause.Stuck)
		}
	}
}

// stopStranger stops a run that this process did not order.
func (g *Gate) stopStranger(row targ.Running) {
	g.count(cause.Stopped + cause.Stranger)
	r := &run{msg: msgs.Task{Name: row.Task}, number: row.Run}
	g.stopNow(r, g.now())
}
