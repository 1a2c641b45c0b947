package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
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
// may be of another machine's target, and so does one that no longer answers.
func (g *Gate) HandleHeartbeat(inc targ.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targetKnown && !g.silent && inc.Born < g.incarnation.Born && (g.confirmBy == 0 || g.clock.HasReading) {
		return false
	}
	switch {
	case g.targetKnown && inc.Same(g.incarnation):
		return g.confirm(inc)
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

// confirm processes a heartbeat of the current incarnation. It reports whether the heartbeat
// is the newest.
func (g *Gate) confirm(inc targ.Incarnation) bool {
	if inc.Leaving && !g.incarnation.Leaving {
		g.event("target_leaving", "target", inc.ID)
	}
	g.confirmBy = 0
	outdated := inc.Seq != 0 && inc.Seq < g.incarnation.Seq
	newer := g.incarnation.Seq != 0 && inc.Seq > g.incarnation.Seq
	leaving := inc.Leaving || g.incarnation.Leaving && !newer
	if !outdated {
		g.incarnation = inc
	}
	g.incarnation.Leaving = leaving
	g.refuseQueueIfLeaving()
	g.refuseQueueIfEvacuated()
	return !outdated
}

// awaitEnd notes a heartbeat of a target with another ID. A delayed heartbeat proves no
// end, so the current incarnation keeps its runs until it no longer answers under its ID,
// or until their lease has lapsed. If it answers, the heartbeat is dropped.
func (g *Gate) awaitEnd(inc targ.Incarnation) {
	g.event("target_announced", "target", inc.ID, "current", g.incarnation.ID, "running", len(g.runs))
	g.successor = inc
	g.waker.Wake()
}

// adoptSuccessor starts to use the announced successor of an incarnation that has ended.
func (g *Gate) adoptSuccessor() {
	if g.successor.ID == "" || len(g.runs) > 0 {
		return
	}
	g.adopt(g.successor)
	g.confirmBy = 0
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
