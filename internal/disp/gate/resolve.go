package gate

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

const (
	resolveAttempts = 8                    // attempts to resolve a start without an answer
	resolveInterval = 5 * time.Millisecond // between those attempts
)

// resolve determines whether a start without an answer took effect. It repeats the order, and
// if that has no answer either, the target lists the run, or a listing lacks it after an
// acknowledged stop has excluded it. If all attempts fail, a later listing resolves the run
// once its deadline has passed on the target's clock.
func (g *Gate) resolve(r *run) {
	if g.repeatStart(r) {
		return
	}
	for range resolveAttempts {
		if g.pollNow(r) {
			return
		}
		g.excludeRun(r)
		boot.Sleep(context.Background(), g.untilResolvable(r))
	}
}

// excludeRun orders the target to stop r, unless it has acknowledged that already.
func (g *Gate) excludeRun(r *run) {
	g.mu.Lock()
	acked := r.state.Stopped()
	g.mu.Unlock()
	if !acked {
		g.stop(r)
	}
}

// untilResolvable returns the pause before the next attempt to resolve r.
func (g *Gate) untilResolvable(r *run) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	excludedAt := r.state.ExcludedAt()
	if excludedAt == 0 {
		return resolveInterval
	}
	return max(resolveInterval, excludedAt.Add(g.stopTime()).Sub(g.steady()))
}

// pollNow polls the target without waiting, and reports whether r is no longer in
// doubt.
func (g *Gate) pollNow(r *run) bool {
	g.mu.Lock()
	p := g.newPoll(targ.Renewal{Fence: g.fence, Seen: g.lastEndSeq})
	g.mu.Unlock()
	ctx, cancel := g.callContext()
	defer cancel()
	l, err := g.Poll(ctx, p.incarnation, p.renewal)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && g.targetKnown && p.incarnation.Same(g.incarnation) {
		g.handleListing(p, l)
	}
	return !r.state.InDoubt()
}

// repeatStart repeats the order to start r that has had no answer. The run number makes the
// order idempotent. It reports whether r is no longer in doubt.
func (g *Gate) repeatStart(r *run) bool {
	incarnation, o, ok := g.prepareRepeat(r)
	if !ok {
		return false
	}
	ctx, cancel := g.callContext()
	defer cancel()
	sentAt := g.now()
	clock, err := g.Start(ctx, incarnation, o)
	g.recordReply(g.now().Sub(sentAt), err)
	return g.handleRepeatReply(r, incarnation, sentAt, clock, err)
}

// prepareRepeat returns the repeated order and the incarnation to send it to. It reports
// false if r must not start now, or is not in doubt for want of an answer.
func (g *Gate) prepareRepeat(r *run) (targ.Incarnation, targ.Order, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.state.Phase() != start.Doubtful || g.orderRefusal(r) != "" {
		return targ.Incarnation{}, targ.Order{}, false
	}
	return g.incarnation, g.startOrder(r), true
}

// handleRepeatReply processes the answer to a repeated order that was sent at sentAt, and reports
// whether r is no longer in doubt. A run that the target has seen the end of is looked for like one
// in progress.
func (g *Gate) handleRepeatReply(r *run, incarnation targ.Incarnation, sentAt boot.Time, clock int64, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !incarnation.Same(g.incarnation) || r.state.Phase() != start.Doubtful {
		return true
	}
	if clock > 0 {
		g.clock.Update(clock, g.steady())
	}
	switch {
	case err == nil:
		remaining := g.remaining(r, 0) - sentAt.Sub(r.orderedAt) // the first order may have started it
		r.state = r.state.Answer(sentAt, max(0, remaining))
		g.recordStart(r, 0, g.now())
	case errors.Is(err, targ.ErrStaleRun):
		r.state = r.state.Know()
		g.recordStart(r, 0, g.now())
	case errors.Is(err, targ.ErrFenced):
		g.raiseFence()
	case errors.Is(err, targ.ErrRestarted):
		g.endIncarnation(cause.TargetRestarted)
	case errors.Is(err, targ.ErrUnreachable):
		g.recordUnreachable()
	}
	return !r.state.InDoubt()
}
