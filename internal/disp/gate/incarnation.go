package gate

import (
	"cmp"
	"errors"
	"math"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cbreak"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/estim"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// followRestart goes on with a target that has restarted under its ID. Orders for the
// incarnation before may take effect at the new one, so whether its runs have ended is in
// doubt until the new one has excluded them.
func (g *Gate) followRestart(inc targ.Incarnation) {
	g.event("target_gone", "target", g.incarnation.ID, "reason", cause.TargetRestarted, "running", len(g.runs), "sameid", true)
	g.refuseQueue(cause.TargetRestarted)
	downAt, leaving := g.knownDownAt(), g.incarnation.Leaving
	g.adopt(inc)
	// Deadlines for the previous clock are no limit for the new one.
	g.leaseEnd = g.steady().Add(maxGrantedLease * 100 / 98)
	for _, r := range g.runs {
		crash := r.state.Crash(downAt)
		if leaving {
			crash = msgs.NoCrash
		}
		r.move(crash)
		go g.resolve(r)
	}
}

// knownDownAt returns when it was first known that the target's incarnation, which has ended, is
// down: now, unless it has refused a connection before.
func (g *Gate) knownDownAt() boot.Time { return cmp.Or(g.downAt, g.now()) }

// move puts in doubt whether r, which was at an incarnation that has ended, is at the one that has
// replaced it. The end of the former proves c about the task.
func (r *run) move(c msgs.Crash) {
	r.state = r.state.Move(c)
	r.percent, r.progress = 0, progress{}
	r.startClock = 0
	r.startDeadline = math.MaxInt64 // a deadline of the previous clock never passes
}

// checkIncarnation reports whether a listing is of the current incarnation. A later one
// with the same ID is followed; nothing is started there before its heartbeat, since its
// capacity is not known.
func (g *Gate) checkIncarnation(l targ.Listing) bool {
	if l.Born == 0 || l.Born == g.incarnation.Born {
		return true
	}
	inc := g.incarnation
	inc.Born, inc.Seq, inc.Leaving = l.Born, 0, false
	g.followRestart(inc)
	g.confirmBy = g.now()
	return false
}

// forgetTarget forgets what listings have shown.
func (g *Gate) forgetTarget() {
	g.fencedAt, g.surveyed, g.unknownRuns, g.recentEnds = 0, false, nil, nil
}

// adopt starts to use an incarnation of the target.
func (g *Gate) adopt(inc targ.Incarnation) {
	g.incarnation, g.targetKnown, g.successor = inc, true, targ.Incarnation{}
	g.forgetTarget()
	g.recordAnswer()
	g.clock, g.lastEndSeq, g.ackedEndSeq = targ.ClockBound{}, 0, 0
	g.breaker, g.speed, g.pace, g.replyTimes = cbreak.Breaker{}, estim.Speed{}, estim.Pace{}, estim.ReplyTimes{}
	if g.fence == 0 {
		g.fence = time.Now().UnixMilli()
	}
	g.fence++ // so that orders for previous incarnations have no effect at this one
	g.event("target", "target", inc.ID, "service", inc.Service, "cpu", inc.Capacity.CPU, "memory", inc.Capacity.Memory)
	g.waker.Wake()
}

// refuseQueueIfLeaving refuses all queued tasks once the target takes no more.
func (g *Gate) refuseQueueIfLeaving() {
	if !g.incarnation.Leaving {
		return
	}
	g.refuseQueue(cause.Leaving)
}

// refuseQueue refuses all queued tasks.
func (g *Gate) refuseQueue(reason string) {
	for _, r := range g.queue {
		g.finish(r, msgs.Refused, reason)
	}
	g.queue = nil
}

// endIncarnation records that the target's incarnation has ended, and that no other has
// its ID: its runs are lost, and the queued tasks are refused.
func (g *Gate) endIncarnation(reason string) {
	if !g.targetKnown {
		return
	}
	if g.incarnation.Leaving {
		reason = cause.Departed
	}
	g.event("target_gone", "target", g.incarnation.ID, "reason", reason, "running", len(g.runs))
	downAt := g.knownDownAt()
	for _, r := range g.runs {
		g.endRun(r, reason, downAt)
	}
	g.refuseQueue(reason)
	g.targetKnown = false
	g.forgetTarget()
	g.adoptSuccessor()
}

// endRun reports r, which was at an incarnation that has ended and was known to be down at
// downAt, as lost. If the order to start it has no answer yet, that answer decides: another
// incarnation may have rejected it.
func (g *Gate) endRun(r *run, reason string, downAt boot.Time) {
	if r.state.Phase() == start.Ordered {
		r.state, r.endedReason, r.detachedAt = r.state.Detach(), reason, downAt
		delete(g.runs, r.msg.Name)
		return
	}
	g.reportInferred(r, provedByRestart, 0)
	g.loseWithTarget(r, reason, downAt)
}

// finishEnded finishes r, whose target's incarnation has ended, by the answer to the order
// to start it, which was sent at sentAt.
func (g *Gate) finishEnded(r *run, sentAt boot.Time, err error) {
	if err != nil && !errors.Is(err, targ.ErrUnanswered) {
		g.refuse(r, r.endedReason)
		return
	}
	if err == nil {
		r.state = r.state.Answer(sentAt, g.remaining(r, 0))
	}
	g.loseWithTarget(r, r.endedReason, r.detachedAt)
}

// targetReady reports whether tasks can be started at the target.
func (g *Gate) targetReady() bool {
	return g.targetKnown && g.reconciled() && !g.silent && !g.incarnation.Leaving && g.clock.HasReading && !g.unconfirmed() &&
		!g.hasOverdueRun(g.now())
}

// unconfirmed reports whether the target is known only from a record that no heartbeat
// has confirmed in time.
func (g *Gate) unconfirmed() bool { return g.confirmBy > 0 && g.now() >= g.confirmBy }
