package gate

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// stallTimeout is how long a run may show no progress before it counts as
	// stuck. For long runs stallShare of the expected run time applies instead.
	stallTimeout = 350 * time.Millisecond
	stallShare   = 0.25
)

// applyListing updates the runs from the listing that arrived at now in answer to p.
func (g *Gate) applyListing(p poll, l targ.Listing, now boot.Time) {
	wasReconciled := g.reconciled()
	g.clock.Update(l.Clock, g.steady())
	bySeq := func(a, b targ.Ended) int { return cmp.Compare(a.Seq, b.Seq) }
	for _, e := range slices.SortedFunc(slices.Values(l.Ended), bySeq) {
		g.applyEnd(e, l.Clock, now)
	}
	listed := make(map[string]bool, len(l.Running))
	for _, row := range l.Running {
		listed[row.Task] = true
		if !g.applyProgress(p, row, now) && !g.endedSince(row, p) {
			g.stopUnknownRun(row, now)
		}
	}
	if !l.Partial {
		g.applyAbsence(p, listed, l.Clock)
		g.survey(p)
	}
	if g.reconciled() != wasReconciled {
		g.event("target_list", "target", g.incarnation.ID, "strangers", len(g.unknownRuns))
	}
}

// applyEnd processes the end of a run.
func (g *Gate) applyEnd(e targ.Ended, clock int64, now boot.Time) {
	if e.Seq <= g.lastEndSeq {
		return
	}
	g.lastEndSeq = e.Seq
	g.recordEnd(e, now)
	r := g.runs[e.Task]
	if r == nil || r.number != e.Run {
		g.checkEnd(e, now)
		return
	}
	r.endReported = true
	r.runTime = max(0, time.Duration(clock-r.startClock)*time.Millisecond)
	if r.startClock == 0 {
		r.runTime = 0
	}
	switch e.Outcome {
	case targ.EndedDone:
		if g.breaker.RecordSuccess() {
			g.event("target_back", "target", g.incarnation.ID, "job", r.msg.Job, "task", r.msg.Name)
		}
		g.updateCold(now)
		g.speed.Observe(r.msg.ExpectedRunTime, r.runTime)
		g.finish(r, msgs.Done, "")
	case targ.EndedFailed:
		g.recordFailure(r, cause.TargetFailing, now)
		g.finish(r, msgs.Failed, "")
	default:
		if !r.state.Stopping() {
			r.stopReason = cause.EndedByTarget
		}
		g.finish(r, msgs.Lost, r.stopReason)
	}
}

// applyProgress processes a run in progress in the answer to p and reports whether this gate
// knows the run. A start in doubt is thereby resolved, unless it may be an earlier run of the task.
func (g *Gate) applyProgress(p poll, row targ.Running, now boot.Time) bool {
	r := g.runs[row.Task]
	if r == nil || r.number != row.Run {
		return false
	}
	if !r.state.IsShownBy(p.sentAt) {
		return true
	}
	if r.state.InDoubt() {
		g.recordStart(r, 0, now)
	}
	r.state = r.state.See(p.sentAt, g.remaining(r, row.Percent))
	if row.Percent > r.percent {
		r.percent, r.progressedAt = row.Percent, now
	}
	g.observePace(r, now)
	return true
}

// finishExcluded finishes a run that is certainly not at the target and can't start any
// more.
func (g *Gate) finishExcluded(r *run) {
	crash, mayHaveStarted := r.state.CrashIfExcluded()
	switch {
	case !mayHaveStarted:
		g.refuse(r, cause.Unanswered)
	case r.state.InProgress():
		g.lose(r, crash, r.stopReason)
	default:
		g.lose(r, crash, cause.TargetRestarted)
	}
}

// checkRuns repeats stops that have had no effect and stops runs that make no
// progress.
func (g *Gate) checkRuns(now boot.Time) {
	stalled := g.stalledSinceCheck(now)
	g.repeatStops(now)
	g.expireInterference()
	for _, r := range g.runs {
		r.progressedAt = r.progressedAt.Add(stalled)
		switch {
		case g.silent:
		case r.state.Phase() == start.Moved:
			if now >= r.nextStop {
				g.stopNow(r, now)
			}
		case !r.state.InProgress():
		case r.state.Stopping():
			if now >= r.nextStop {
				g.stopNow(r, now)
			}
		case now.Sub(r.progressedAt) > max(stallTimeout, time.Duration(stallShare*float64(r.msg.ExpectedRunTime))*time.Millisecond):
			g.recordFailure(r, cause.Stuck, now)
			g.trace("task_stuck", "job", r.msg.Job, "task", r.msg.Name, "percent", r.percent, "after", now.Sub(r.startedAt))
			g.abandon(r, cause.Stuck)
		}
	}
}

// stalledSinceCheck returns for how long this process has stood still since the last call.
// No listing was read meanwhile, so that time tells nothing about the progress of runs.
func (g *Gate) stalledSinceCheck(now boot.Time) time.Duration {
	previous := g.checkedAt
	g.checkedAt = now
	if previous == 0 {
		return 0
	}
	return max(0, now.Sub(previous)-idleTickInterval)
}
