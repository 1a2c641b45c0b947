package gate

import (
	"sort"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/triage"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// startQueued starts the queued tasks that fit into the free resources, in the
// order of package triage, and refuses those that startRefusal rejects. A task that
// doesn't fit blocks all behind it, so that tasks with a large demand are not starved.
func (g *Gate) startQueued() {
	now := g.now()
	sort.SliceStable(g.queue, func(i, j int) bool { return triage.Before(g.queue[i].startBy, g.queue[j].startBy, now) })
	if len(g.queue) == 0 || !g.targetReady() {
		return
	}
	for len(g.queue) > 0 {
		r := g.queue[0]
		if reason := g.startRefusal(r, now); reason != "" {
			g.queue = g.queue[1:]
			g.finish(r, msgs.Refused, reason)
			continue
		}
		if !g.used().Plus(r.demand).Within(g.incarnation.Capacity) {
			return
		}
		g.queue = g.queue[1:]
		g.breaker.RecordStart(now)
		g.observeWait(r, now)
		r.state = r.state.Order(now)
		g.runs[r.msg.Name] = r
		g.waker.Wake()
		go g.orderStart(r)
	}
}

// startRefusal returns the reason to refuse a queued task instead of starting
// it, or the empty string.
func (g *Gate) startRefusal(r *run, now boot.Time) string {
	switch {
	case g.runs[r.msg.Name] != nil:
		return cause.Duplicate
	case !r.msg.IgnoreBreaker && g.breaker.OpenReason(now) != "":
		return cause.BreakerOpen
	}
	return ""
}

// dequeue removes r from the queue.
func (g *Gate) dequeue(r *run) {
	for i, q := range g.queue {
		if q == r {
			g.queue = append(g.queue[:i:i], g.queue[i+1:]...)
			return
		}
	}
}

// expireQueue refuses the tasks that have been queued for as long as their senders
// allow.
func (g *Gate) expireQueue(now boot.Time) {
	kept := g.queue[:0:0]
	for _, r := range g.queue {
		if now >= r.queueDeadline {
			g.finish(r, msgs.Refused, cause.NoCapacity)
			continue
		}
		kept = append(kept, r)
	}
	g.queue = kept
}
