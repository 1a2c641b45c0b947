package gate

import (
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Contradicted is the counter of results that the target contradicts: the gate has
// concluded, without a report of the end, that a run has ended or never started, and
// then the target lists it. Any other value than 0 is a fault, since the task may have
// been started elsewhere.
const Contradicted = "results.contradicted"

// InferredPrefix begins the names of the counters of ends that the gate has concluded
// without a report of the target. A proof follows.
const InferredPrefix = "ends.inferred."

// proof is what the gate has concluded the end of a run from.
type proof string

const (
	provedByStop     proof = "stop"     // the target does not list it, after it has acknowledged a stop
	provedByDeadline proof = "deadline" // the same, after the deadline of the start has passed
	provedByLease    proof = "lease"    // its lease has lapsed while the target did not answer
	provedByRestart  proof = "restart"  // the target's incarnation has ended
)

// ProofCounters returns the names of the counters of ends that the gate has concluded, and
// of those that the target contradicts.
func ProofCounters() []string {
	names := []string{Contradicted}
	for _, p := range []proof{provedByStop, provedByDeadline, provedByLease, provedByRestart} {
		names = append(names, InferredPrefix+string(p))
	}
	return names
}

// reportInferred logs and counts that r is concluded to have ended, or never to start.
func (g *Gate) reportInferred(r *run, p proof, clock int64) {
	r.proof = p
	g.count(InferredPrefix + string(p))
	g.event("end_inferred", "job", r.msg.Job, "task", r.msg.Name, "run", r.number, "target", g.incarnation.ID,
		"from", p, "was", r.state.Phase(), "stopped", r.state.Stopping(), "clock", clock, "started", r.startClock, "deadline", r.startDeadline,
		"unseen", r.state.UnseenFor(g.now()), "down", g.downFor())
}

// checkUnknownRun reports a run in progress whose end the gate has concluded.
func (g *Gate) checkUnknownRun(row targ.Running, now boot.Time) {
	if r := g.finishedRun(row.Task, row.Run); r != nil {
		g.reportContradiction(r, now, "running", row.Percent)
	}
}

// checkEnd reports the end of a run that was refused, which means that it never started, or
// whose end was concluded from its absence.
func (g *Gate) checkEnd(e targ.Ended, now boot.Time) {
	if r := g.finishedRun(e.Task, e.Run); r != nil && (r.result == msgs.Refused || r.proof == provedByStop) {
		g.reportContradiction(r, now, "ended", 0)
	}
}

// finishedRun returns the newest run of a task with this number that was ordered and
// whose end the gate has concluded without a report of it, or nil if none is known.
func (g *Gate) finishedRun(task string, number int) *run {
	var newest *run
	for _, r := range g.tasks {
		if !r.isOver() || r.endReported || r.startDeadline == 0 || r.msg.Name != task || r.number != number {
			continue
		}
		if newest == nil || r.endedAt > newest.endedAt {
			newest = r
		}
	}
	return newest
}

// reportContradiction logs and counts that the target contradicts the result of r.
func (g *Gate) reportContradiction(r *run, now boot.Time, listed string, percent int) {
	g.count(Contradicted)
	g.event("result_contradicted", "job", r.msg.Job, "task", r.msg.Name, "run", r.number, "target", g.incarnation.ID,
		"result", r.result, "reason", r.reason, "listed", listed, "percent", percent, "after", now.Sub(r.endedAt))
}
