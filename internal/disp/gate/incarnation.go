package gate

import (
	"math"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cbreak"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/estim"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// confirmPeriod is how long a recalled target is used without a heartbeat. It is
// longer than a heartbeat interval and not longer than a leaving target goes on.
const confirmPeriod = 2 * time.Second

const (
	// departTimeout is how long the acknowledgement of a deregistration waits for the
	// target's runs to end. Targets wait for a second.
	departTimeout       = 500 * time.Millisecond
	departCheckInterval = 5 * time.Millisecond
)

// HandleHeartbeat processes a heartbeat of the target. It reports whether the heartbeat is
// the newest of the incarnation that is current afterwards. Of an older heartbeat of that
// incarnation only counts that the target leaves. One of an older incarnation has no effect,
// but a recalled incarnation that has never answered gives way to any other: its record
// may be of another machine's target.
func (g *Gate) HandleHeartbeat(inc targ.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targetKnown && inc.Born < g.incarnation.Born && (g.confirmBy == 0 || g.clock.HasReading) {
		return false
	}
	if g.targetKnown && inc.Same(g.incarnation) {
		if inc.Leaving && !g.incarnation.Leaving {
			g.event("target_leaving", "target", inc.ID)
		}
		g.confirmBy = 0
		outdated := inc.Seq != 0 && inc.Seq < g.incarnation.Seq
		leaving := g.incarnation.Leaving || inc.Leaving
		if !outdated {
			g.incarnation = inc
		}
		g.incarnation.Leaving = leaving
		g.refuseQueueIfLeaving()
		return !outdated
	}
	switch {
	case g.targetKnown && inc.ID == g.incarnation.ID:
		g.followRestart(inc)
	case g.targetKnown && len(g.runs) > 0:
		g.awaitEnd(inc)
		return false
	default:
		g.successor = targ.Incarnation{}
		g.endIncarnation(cause.TargetRestarted)
		g.adopt(inc)
	}
	g.confirmBy = 0
	return true
}

// awaitEnd notes a heartbeat of a target with another ID. A delayed heartbeat proves no
// end, so the current incarnation keeps its runs until it no longer answers under its ID,
// or until their lease has lapsed. If it answers, the heartbeat is dropped.
func (g *Gate) awaitEnd(inc targ.Incarnation) {
	g.event("target_announced", "target", inc.ID, "current", g.incarnation.ID, "running", len(g.runs))
	g.successor = inc
	g.wakePollLoop()
}

// adoptSuccessor starts to use the announced successor of an incarnation that has ended.
func (g *Gate) adoptSuccessor() {
	if g.successor.ID == "" || len(g.runs) > 0 {
		return
	}
	g.adopt(g.successor)
	g.confirmBy = 0
}

// followRestart goes on with a target that has restarted under its ID. Orders for the
// incarnation before may take effect at the new one, so whether its runs have ended is in
// doubt until the new one has excluded them.
func (g *Gate) followRestart(inc targ.Incarnation) {
	g.event("target_gone", "target", g.incarnation.ID, "reason", cause.TargetRestarted, "running", len(g.runs), "sameid", true)
	g.refuseQueue(cause.TargetRestarted)
	g.adopt(inc)
	// Deadlines for the previous clock are no limit for the new one.
	g.leaseEnd = g.steady().Add(maxGrantedLease * 100 / 98)
	for _, r := range g.runs {
		r.doubt()
		go g.resolve(r)
	}
}

// doubt puts in doubt whether r, which was at an incarnation that has ended, is at the one
// that has replaced it.
func (r *run) doubt() {
	r.phase, r.inDoubt, r.mayHaveRun = ordered, true, true
	r.percent = 0
	r.startClock, r.stopAckClock = 0, 0
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
	inc.Born = l.Born
	g.followRestart(inc)
	g.confirmBy = g.now()
	return false
}

// Recall makes the gate use a target that an earlier incarnation of this process knew,
// if that still answers. It does nothing if a heartbeat has arrived already.
func (g *Gate) Recall(inc targ.Incarnation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.incarnation.ID != "" {
		return
	}
	g.event("target_recalled", "target", inc.ID)
	g.adopt(inc)
	g.confirmBy = g.now().Add(confirmPeriod)
}

// adopt starts to use an incarnation of the target.
func (g *Gate) adopt(inc targ.Incarnation) {
	g.incarnation, g.targetKnown, g.successor = inc, true, targ.Incarnation{}
	g.reconciled, g.silent, g.down, g.missedPolls = false, false, false, 0
	g.clock, g.lastEndSeq, g.ackedEndSeq = targ.ClockBound{}, 0, 0
	g.lastListing, g.lastEndClock, g.lastEnds = 0, 0, nil
	g.breaker, g.speed, g.replyTimes = cbreak.Breaker{}, estim.Speed{}, estim.ReplyTimes{}
	if g.fence == 0 {
		g.fence = time.Now().UnixMilli()
	}
	g.fence++ // so that orders for previous incarnations have no effect at this one
	g.event("target", "target", inc.ID, "service", inc.Service, "cpu", inc.Capacity.CPU, "memory", inc.Capacity.Memory)
	g.wakePollLoop()
}

// HandleDeregistration processes the deregistration of the target incarnation with this
// ID. The target may go on until it has the acknowledgement, so HandleDeregistration stops
// its runs and returns once they have ended, or after departTimeout. Runs that have not
// ended by then are resolved like those of any other target that stops to answer.
func (g *Gate) HandleDeregistration(id string) {
	if !g.stopDeparting(id) {
		return
	}
	limit := g.now().Add(departTimeout)
	for !g.endDeparted(id) && g.now() < limit {
		time.Sleep(departCheckInterval)
	}
}

// stopDeparting stops all runs at the target with this ID, which takes no more tasks. It
// reports false if that is not the current target.
func (g *Gate) stopDeparting(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.targetKnown || g.incarnation.ID != id {
		return false
	}
	g.incarnation.Leaving = true
	g.refuseQueueIfLeaving()
	for _, r := range g.runs {
		g.abandon(r, cause.Departed)
	}
	return true
}

// endDeparted ends the incarnation with this ID if nothing runs there. It reports whether
// it is, or was, over.
func (g *Gate) endDeparted(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.targetKnown || g.incarnation.ID != id {
		return true
	}
	if len(g.runs) > 0 {
		return false
	}
	g.endIncarnation(cause.Departed)
	return true
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
	g.event("target_gone", "target", g.incarnation.ID, "reason", reason, "running", len(g.runs))
	for _, r := range g.runs {
		g.finish(r, msgs.Lost, reason)
	}
	g.refuseQueue(reason)
	g.targetKnown, g.reconciled = false, false
	g.adoptSuccessor()
}

// targetReady reports whether tasks can be started at the target.
func (g *Gate) targetReady() bool {
	return g.targetKnown && g.reconciled && !g.silent && !g.incarnation.Leaving && g.clock.HasReading && !g.unconfirmed() &&
		!g.hasOverdueRun(g.now())
}

// unconfirmed reports whether the target is known only from a record that no heartbeat
// has confirmed in time.
func (g *Gate) unconfirmed() bool { return g.confirmBy > 0 && g.now() >= g.confirmBy }
