package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A target may copy its lists at any moment between the poll and its answer, read its clock at
// another, and answer polls out of order. So neither the clock of a listing nor its arrival
// dates it. It contains what was there before the poll was sent, and that order alone is relied on.

const (
	// defaultStopTime replaces a Gate.StopTime of 0.
	defaultStopTime = 50 * time.Millisecond
	// stopMargin is how much later than the stop time a target may end a run, since its
	// timers fire late too.
	stopMargin = 10 * time.Millisecond
	// lostEndTime is how long after its acknowledgement a stop counts as carried out, although
	// the target has listed neither the run nor its end, which it promises to list.
	lostEndTime = time.Second
	// endRetention is longer than a poll remains unanswered.
	endRetention = time.Second
)

// poll is a poll that is sent, and what was known before.
type poll struct {
	incarnation targ.Incarnation
	renewal     targ.Renewal
	sentAt      boot.Time
	steadyAt    boot.Time // sentAt by Gate.Steady
	clock       int64     // least that the target's clock showed, ms; 0 if unknown
}

// newPoll returns a poll that is sent now.
func (g *Gate) newPoll(r targ.Renewal) poll {
	p := poll{incarnation: g.incarnation, renewal: r, sentAt: g.now(), steadyAt: g.steady()}
	if g.clock.HasReading {
		p.clock = g.clock.At(p.steadyAt)
	}
	return p
}

// applyAbsence processes the absence of runs from the complete answer to p, which has the
// given clock.
func (g *Gate) applyAbsence(p poll, listed map[string]bool, clock int64) {
	for _, r := range g.runs {
		if !listed[r.msg.Name] {
			g.resolveAbsent(r, p, clock)
		}
	}
	for task, r := range g.unknownRuns {
		if !listed[task] && g.certainlyOver(r, p) {
			delete(g.unknownRuns, task)
		}
	}
}

// resolveAbsent processes the absence of r from the answer to p. It ends r only if r is
// excluded; a run that should have been listed is stopped first, which excludes it.
func (g *Gate) resolveAbsent(r *run, p poll, clock int64) {
	switch {
	case r.state.Phase() == start.Ordered:
	case g.certainlyOver(r, p):
		g.reportInferred(r, r.exclusionProof(), clock)
		g.finishExcluded(r)
	case r.state.ExcludedAt() > 0:
	case r.state.InDoubt() && p.clock > r.startDeadline:
		r.state = r.state.Exclude(g.steady(), false)
	case r.state.InProgress() && p.sentAt > r.startedAt && !r.state.Stopping():
		g.count("target.vanished")
		g.abandon(r, cause.Missing)
	}
}

// certainlyOver reports whether r, which the answer to p lacks, has ended or never starts. A
// run that is being stopped goes on for up to StopTime, and is then listed as ended. If it is
// known to have begun, its end is not concluded from that time, which the target may exceed.
func (g *Gate) certainlyOver(r *run, p poll) bool {
	limit := g.stopTime()
	if r.state.ListsEnd() {
		limit = max(limit, lostEndTime)
	}
	excludedAt := r.state.ExcludedAt()
	return excludedAt > 0 && p.steadyAt >= excludedAt.Add(limit)
}

// exclusionProof returns what the end of r is concluded from if r is certainly over.
func (r *run) exclusionProof() proof {
	if r.state.Stopped() {
		return provedByStop
	}
	return provedByDeadline
}

// stopTime returns how long a run may go on that is being stopped, by the clock of this
// process, and a margin.
func (g *Gate) stopTime() time.Duration {
	d := g.StopTime
	if d <= 0 {
		d = defaultStopTime
	}
	return d*100/98 + stopMargin
}

// survey notes that all runs of earlier processes are known once an answer to p shows
// them: the first answer excludes further orders of theirs, and what was being stopped
// then has ended StopTime later.
func (g *Gate) survey(p poll) {
	if g.fencedAt == 0 {
		g.fencedAt = g.steady()
	}
	if p.steadyAt >= g.fencedAt.Add(g.stopTime()) {
		g.surveyed = true
	}
}

// reconciled reports whether no unknown run is at the target.
func (g *Gate) reconciled() bool { return g.surveyed && len(g.unknownRuns) == 0 }

// stopUnknownRun stops a run that this process did not start, or whose task has a
// result already.
func (g *Gate) stopUnknownRun(row targ.Running, now boot.Time) {
	if r := g.unknownRuns[row.Task]; r != nil && r.number == row.Run {
		return
	}
	g.checkUnknownRun(row, now)
	g.count(cause.StoppedPrefix + cause.Foreign)
	r := &run{msg: msgs.Task{Name: row.Task}, number: row.Run, state: start.State{}.See(now, 0), orphanedAt: now}
	if g.unknownRuns == nil {
		g.unknownRuns = map[string]*run{}
	}
	g.unknownRuns[row.Task] = r
	g.stopNow(r, now)
}

// repeatStops repeats the stops of unknown runs that have had no effect.
func (g *Gate) repeatStops(now boot.Time) {
	for _, r := range g.unknownRuns {
		if !g.silent && now >= r.nextStop {
			g.stopNow(r, now)
		}
	}
}

// recordEnd records that the target has reported an end, at now.
func (g *Gate) recordEnd(e targ.Ended, now boot.Time) {
	if g.recentEnds == nil {
		g.recentEnds = map[runID]boot.Time{}
	}
	g.recentEnds[runID{e.Task, e.Run}] = now
	if r := g.unknownRuns[e.Task]; r != nil && r.number == e.Run {
		delete(g.unknownRuns, e.Task)
	}
}

// endedSince reports whether the end of a listed run was received after p had been sent, so
// that the listing may be from before the end.
func (g *Gate) endedSince(row targ.Running, p poll) bool {
	endedAt, ended := g.recentEnds[runID{row.Task, row.Run}]
	return ended && p.sentAt <= endedAt
}

// forgetEnds forgets the ends that no answer can contradict any more.
func (g *Gate) forgetEnds(now boot.Time) {
	for id, receivedAt := range g.recentEnds {
		if now.Sub(receivedAt) > endRetention {
			delete(g.recentEnds, id)
		}
	}
}
