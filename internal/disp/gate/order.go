package gate

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	minCallTimeout = 20 * time.Millisecond // of a start, a stop, or a poll that resolves a start
	maxCallTimeout = 60 * time.Millisecond // the same, for a target that replies slowly
	stopInterval   = 60 * time.Millisecond // between attempts to stop a run
	maxStartOrders = 8                     // orders to start a run that the target refuses for its number, token or deadline
	runNumberStep  = 4                     // added to a run number that the target refuses as stale
)

// orderStart starts r at the target. The caller must not hold the lock.
func (g *Gate) orderStart(r *run) {
	for range maxStartOrders {
		incarnation, o, ok := g.prepareStart(r)
		if !ok {
			return
		}
		ctx, cancel := g.callContext()
		sentAt := g.now()
		clock, err := g.Start(ctx, incarnation, o)
		cancel()
		g.recordReply(g.now().Sub(sentAt), err)
		if g.handleStartReply(r, incarnation, sentAt, clock, err) {
			if errors.Is(err, targ.ErrUnanswered) {
				g.resolve(r)
			}
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse(r, cause.OutdatedOrder)
}

// callContext returns the context of a short call to the target, whose timeout follows
// from how quickly the target has answered before.
func (g *Gate) callContext() (context.Context, context.CancelFunc) {
	g.mu.Lock()
	timeout := g.replyTimes.Timeout(minCallTimeout, maxCallTimeout)
	g.mu.Unlock()
	return context.WithTimeout(context.Background(), timeout)
}

// recordReply records the answer to a start order, or that there was none.
func (g *Gate) recordReply(took time.Duration, err error) {
	g.observe(OrderHistogram, took)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case errors.Is(err, targ.ErrUnanswered):
		g.replyTimes.RecordLoss()
	case err == nil:
		g.replyTimes.Observe(took)
	}
}

// prepareStart returns the order to start r and the incarnation to send it to. If
// r must not start now, it refuses r, unless r has finished already, and reports
// false.
func (g *Gate) prepareStart(r *run) (targ.Incarnation, targ.Order, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.state.Phase() != start.Ordered && r.state.Phase() != start.Detached {
		return targ.Incarnation{}, targ.Order{}, false
	}
	if reason := g.orderRefusal(r); reason != "" {
		g.refuse(r, reason)
		return targ.Incarnation{}, targ.Order{}, false
	}
	return g.incarnation, g.startOrder(r), true
}

// orderRefusal returns the reason not to order the start of r now, or the empty string. The
// target's capacity may have shrunk since r was given its part of it.
func (g *Gate) orderRefusal(r *run) string {
	switch {
	case r.endedReason != "":
		return r.endedReason
	case r.state.Stopping():
		return r.stopReason
	case !g.leaseValid(r.msg.Sender):
		return cause.LeaseExpired
	case g.evacuated():
		return cause.Evacuated
	case !g.targetReady():
		return cause.Silent
	case !g.used().Within(g.incarnation.Capacity):
		return cause.NoCapacity
	}
	return ""
}

// startOrder returns the order to start r.
func (g *Gate) startOrder(r *run) targ.Order {
	if r.orderedAt == 0 {
		r.orderedAt = g.now()
	}
	r.startDeadline = g.extendTargetLease()
	return targ.Order{Task: r.msg.Name, Run: r.number, Spec: r.msg.Spec, Deadline: r.startDeadline, Fence: g.fence}
}

// handleStartReply processes the answer to a start order that was sent at sentAt. It reports
// false if the start should be ordered again.
func (g *Gate) handleStartReply(r *run, incarnation targ.Incarnation, sentAt boot.Time, clock int64, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if r.state.Phase() == start.Detached {
		g.finishEnded(r, sentAt, err)
		return true
	}
	if !incarnation.Same(g.incarnation) || r.state.Phase() != start.Ordered {
		return true
	}
	if clock > 0 {
		g.clock.Update(clock, g.steady())
	}
	switch {
	case err == nil:
		r.state = r.state.Answer(sentAt, g.remaining(r, 0))
		g.recordStart(r, clock, now)
	case errors.Is(err, targ.ErrStaleRun):
		r.renumber(now)
		return false
	case errors.Is(err, targ.ErrFenced):
		g.raiseFence()
		return false
	case errors.Is(err, targ.ErrDeadlinePassed):
		return false
	case errors.Is(err, targ.ErrUnanswered):
		g.count("target.unanswered")
		g.trace("start_unanswered", "job", r.msg.Job, "task", r.msg.Name, "run", r.number, "target", incarnation.ID, "err", err)
		g.hedgeUntil = now.Add(hedgeDuration)
		r.state = r.state.Doubt()
		if r.state.InProgress() {
			g.recordStart(r, 0, now)
		}
	case errors.Is(err, targ.ErrRestarted):
		g.refuse(r, cause.TargetRestarted)
		g.endIncarnation(cause.TargetRestarted)
	case errors.Is(err, targ.ErrUnhealthy):
		g.recordFailure(r, cause.Unhealthy, now)
		g.refuse(r, cause.Unhealthy)
	case errors.Is(err, targ.ErrUnreachable):
		g.refuse(r, cause.Unreachable)
		g.recordUnreachable()
	default:
		g.trace("start_refused", "job", r.msg.Job, "task", r.msg.Name, "err", err)
		g.refuse(r, cause.Rejected)
	}
	return true
}

// renumber gives r, whose number the target has refused as stale, a higher one.
func (r *run) renumber(now boot.Time) {
	r.number += runNumberStep
	r.state = r.state.Renumber(now)
	r.percent, r.progress = 0, progress{}
}

// recordStart records that r, whose state says so, is in progress since the target's time clock; 0
// if that is unknown.
func (g *Gate) recordStart(r *run, clock int64, now boot.Time) {
	r.startClock = clock
	r.startedAt, r.progressedAt = now, now
	g.observeStart(r)
	g.logStarted(r, now)
	if r.state.Stopping() {
		g.stopNow(r, now)
	}
}

// recordUnreachable records that the target has refused a connection.
func (g *Gate) recordUnreachable() {
	g.silent = true
	g.recordDown()
}

// refuse finishes r as refused. Its run must never have started.
func (g *Gate) refuse(r *run, reason string) { g.finish(r, msgs.Refused, reason) }

// recordFailure records a failure of r in the circuit breaker, since the target may be at
// fault. A task that has already failed elsewhere is no evidence against the
// target and is ignored.
func (g *Gate) recordFailure(r *run, reason string, now boot.Time) {
	if r.msg.Failures > 0 {
		return
	}
	if g.breaker.RecordFailure(r.msg.Job, reason, now) {
		g.event("target_aside", "target", g.incarnation.ID, "reason", reason, "job", r.msg.Job, "task", r.msg.Name)
		g.count(cause.BreakerOpenedPrefix + reason)
	}
}

// stopNow orders the target to stop r and schedules the next attempt. If r is one
// of the gate's runs, checkRuns repeats the order until the target reports its end.
func (g *Gate) stopNow(r *run, now boot.Time) {
	r.nextStop = now.Add(stopInterval)
	go g.stop(r)
}

// stop orders the target to stop r once.
func (g *Gate) stop(r *run) {
	g.mu.Lock()
	incarnation, o := g.incarnation, targ.Order{Task: r.msg.Name, Run: r.number, Fence: g.fence}
	g.mu.Unlock()
	ctx, cancel := g.callContext()
	defer cancel()
	clock, err := g.Stop(ctx, incarnation, o)
	g.handleStopReply(r, incarnation, clock, err)
}

// handleStopReply processes the answer to a stop order.
func (g *Gate) handleStopReply(r *run, incarnation targ.Incarnation, clock int64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !incarnation.Same(g.incarnation) || r.isOver() {
		return
	}
	switch {
	case err == nil:
		r.state = r.state.Exclude(g.steady(), true)
		g.clock.Update(clock, g.steady())
		g.waker.Wake()
	case errors.Is(err, targ.ErrFenced):
		g.raiseFence()
	case errors.Is(err, targ.ErrRestarted):
		g.endIncarnation(cause.TargetRestarted)
	}
}

// raiseFence raises the fencing token by the milliseconds of an hour. No other
// process calls this target, so a higher token that it has seen can only come from
// a previous incarnation of this process.
func (g *Gate) raiseFence() { g.fence += int64(time.Hour / time.Millisecond) }
