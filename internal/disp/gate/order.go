package gate

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	callTimeout = 60 * time.Millisecond // longest wait for the answer to a start or stop
	stopEvery   = 60 * time.Millisecond // between two attempts to stop a run
	maxOrders   = 8                     // starts of a run that the target refuses for its number, token or deadline
	runStep     = 4                     // raise of a run's number that the target finds old
	settleTries = 8                     // to find out what became of a start without an answer
	settlePause = 5 * time.Millisecond  // between them
)

// order starts r at the target. It holds no lock while it calls.
func (g *Gate) order(r *run) {
	for range maxOrders {
		life, o, ok := g.prepare(r)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		sent := g.now()
		clock, err := g.Start(ctx, life, o)
		cancel()
		g.took(OrderTime, g.now().Sub(sent))
		if g.started(r, life, clock, err) {
			if errors.Is(err, targ.ErrUnanswered) {
				g.settle(r)
			}
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse(r, cause.OutdatedOrder)
}

// prepare makes the order to start r, or gives r up if it must not start now.
func (g *Gate) prepare(r *run) (targ.Incarnation, targ.Order, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	switch {
	case r.phase != ordered:
		return targ.Incarnation{}, targ.Order{}, false
	case r.cancel:
		g.refuse(r, r.because)
		return targ.Incarnation{}, targ.Order{}, false
	case !g.lives(r.msg.Sender):
		g.refuse(r, cause.LeaseExpired)
		return targ.Incarnation{}, targ.Order{}, false
	case !g.reachable():
		g.refuse(r, cause.Silent)
		return targ.Incarnation{}, targ.Order{}, false
	}
	r.latest = g.deadline(now)
	return g.life, targ.Order{Task: r.msg.Name, Run: r.number, Spec: r.msg.Spec, Deadline: r.latest, Fence: g.fence}, true
}

// started takes in the answer to a start. It reports false if the start should
// be ordered again.
func (g *Gate) started(r *run, life targ.Incarnation, clock int64, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !life.Same(g.life) || r.phase != ordered {
		return true
	}
	if clock > 0 {
		g.clock.Note(clock, now)
	}
	switch {
	case err == nil:
		r.phase = running
		r.since = clock
		r.begun, r.moved = now, now
		g.tellStarted(r, now)
		if r.cancel {
			g.stopNow(r, now)
		}
	case errors.Is(err, targ.ErrStaleRun):
		r.number += runStep
		return false
	case errors.Is(err, targ.ErrFenced):
		g.raiseFence()
		return false
	case errors.Is(err, targ.ErrDeadlinePassed):
		return false
	case errors.Is(err, targ.ErrUnanswered):
		g.count("target.unanswered")
		g.trace("start_unanswered", "job", r.msg.Job, "task", r.msg.Name, "run", r.number, "target", life.ID, "err", err)
		g.hedgeUntil = now.Add(hedgeFor)
		r.settle = true
	case errors.Is(err, targ.ErrRestarted):
		g.gone(cause.TargetRestarted)
	case errors.Is(err, targ.ErrUnhealthy):
		g.bad(r, cause.Unhealthy, now)
		g.refuse(r, cause.Unhealthy)
	case errors.Is(err, targ.ErrUnreachable):
		g.silent = true
		g.refuse(r, cause.Unreachable)
	default:
		g.trace("start_refused", "job", r.msg.Job, "task", r.msg.Name, "err", err)
		g.refuse(r, cause.Rejected)
	}
	return true
}

// settle finds out what became of a start without an answer: the run is listed,
// or it is barred by a stop and then not listed. Should neither be told in time,
// the run is settled once its deadline has passed on the target's clock.
func (g *Gate) settle(r *run) {
	for range settleTries {
		if g.look(r) {
			return
		}
		g.stop(r)
		boot.Sleep(context.Background(), settlePause)
	}
}

// look has the target list its runs at once, and reports whether r is settled.
func (g *Gate) look(r *run) bool {
	g.mu.Lock()
	life, renewal := g.life, targ.Renewal{Fence: g.fence, Seen: g.seen}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	l, err := g.Poll(ctx, life, renewal)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && g.known && life.Same(g.life) {
		g.apply(l, g.now())
		g.startQueued()
	}
	return !r.settle || r.phase != ordered
}

// refuse gives up a run that has never started.
func (g *Gate) refuse(r *run, reason string) { g.finish(r, msgs.Refused, reason) }

// bad notes that r went wrong by the target's fault, or may have.
func (g *Gate) bad(r *run, reason string, now boot.Time) {
	if r.msg.Failures > 0 {
		return
	}
	if g.trust.Bad(r.msg.Job, reason, now) {
		g.event("target_aside", "target", g.life.ID, "reason", reason, "job", r.msg.Job, "task", r.msg.Name)
		g.count(cause.BreakerOpened + reason)
	}
}

// stopNow orders the target to stop r, now and again until its end is listed.
func (g *Gate) stopNow(r *run, now boot.Time) {
	r.stopAt = now.Add(stopEvery)
	go g.stop(r)
}

// stop orders the target to stop r once.
func (g *Gate) stop(r *run) {
	g.mu.Lock()
	life, o := g.life, targ.Order{Task: r.msg.Name, Run: r.number, Fence: g.fence}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	clock, err := g.Stop(ctx, life, o)
	g.stopped(r, life, clock, err)
}

// stopped takes in the answer to a stop.
func (g *Gate) stopped(r *run, life targ.Incarnation, clock int64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !life.Same(g.life) || r.phase == over {
		return
	}
	switch {
	case err == nil:
		r.barred = clock
		g.clock.Note(clock, g.now())
		g.nudge()
	case errors.Is(err, targ.ErrFenced):
		g.raiseFence()
	case errors.Is(err, targ.ErrRestarted):
		g.gone(cause.TargetRestarted)
	}
}

// raiseFence takes a higher fencing token. Nobody else calls this target, so a
// higher one can only stem from a former process here.
func (g *Gate) raiseFence() { g.fence += int64(time.Hour / time.Millisecond) }
