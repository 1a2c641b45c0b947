package gate

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

const (
	pollWait           = 150 * time.Millisecond // how long the target may hold a poll open until a run ends
	pollTimeout        = 100 * time.Millisecond // longest wait for the answer beyond the requested one
	hedgeDuration      = 3 * time.Second        // how long a second poll is kept open after one without an answer
	hedgedPollWait     = 60 * time.Millisecond  // replaces pollWait while two polls are open
	hedgeCheckInterval = 100 * time.Millisecond // between checks whether a second poll is needed
	maxMissedPolls     = 2                      // consecutive polls without an answer after which the target counts as silent
	idlePollInterval   = time.Second            // between polls while nothing runs
	pollPause          = 10 * time.Millisecond  // after a poll that did not wait, or after the second one that failed
	tickInterval       = 25 * time.Millisecond  // between periodic checks
	idleTickInterval   = 100 * time.Millisecond // while there are no tasks
	resultRetention    = 5 * time.Second        // how long results are kept for a repeated task message
	loadLogInterval    = 5 * time.Second        // between log lines with the load
)

// hedgeLoop keeps a second poll open while answers get lost, so that the ends of
// runs are known without delay.
func (g *Gate) hedgeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.hedging() {
			boot.Sleep(ctx, hedgeCheckInterval)
			continue
		}
		g.pollOnce(ctx)
	}
}

// pollLoop renews the target's lease and applies its listings until ctx is
// cancelled.
func (g *Gate) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.pollOnce(ctx)
	}
}

// pollOnce polls the target if a poll is due, and otherwise waits until one is due
// or the loop is woken.
func (g *Gate) pollOnce(ctx context.Context) {
	p, pause := g.nextPoll()
	if pause > 0 {
		g.waker.Await(ctx, pause)
		return
	}
	call, cancel := context.WithTimeout(ctx, time.Duration(p.renewal.Wait)*time.Millisecond+pollTimeout)
	l, err := g.Poll(call, p.incarnation, p.renewal)
	cancel()
	answered := g.handlePollReply(p, l, err)
	if !answered && g.missedOnce() {
		return // the next poll follows without a pause
	}
	if !answered || p.renewal.Wait == 0 {
		boot.Sleep(ctx, pollPause)
	}
}

// missedOnce reports whether one poll has had no answer since the last that had.
func (g *Gate) missedOnce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.missedPolls == 1
}

// hedging reports whether a second poll is needed.
func (g *Gate) hedging() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs) > 0 && g.now() < g.hedgeUntil
}

// nextPoll returns the next poll, or a positive duration to wait if none is due.
func (g *Gate) nextPoll() (poll, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !g.targetKnown {
		return poll{}, idlePollInterval
	}
	idle := len(g.runs) == 0 && g.ackedEndSeq == g.lastEndSeq && g.reconciled() && !g.silent
	if age := g.steady().Sub(g.clock.ReadAt); idle && g.clock.HasReading && age < idlePollInterval {
		return poll{}, idlePollInterval - age
	}
	renewal := targ.Renewal{Fence: g.fence, Seen: g.lastEndSeq}
	if g.clock.HasReading && !g.silent && len(g.runs) > 0 && !g.hasOverdueRun(now) {
		renewal.Deadline = g.extendTargetLease()
	}
	if len(g.runs) > 0 && !g.awaitingStop() && g.missedPolls == 0 && g.reconciled() {
		renewal.Wait = pollWait.Milliseconds()
		if now < g.hedgeUntil {
			renewal.Wait = hedgedPollWait.Milliseconds()
		}
	}
	return g.newPoll(renewal), 0
}

// awaitingStop reports whether a run is excluded whose end the target has not reported.
func (g *Gate) awaitingStop() bool {
	for _, r := range g.runs {
		if r.state.ExcludedAt() > 0 {
			return true
		}
	}
	return false
}

// handlePollReply processes the outcome of p. It reports false if p failed while the
// incarnation that it was sent to is current.
func (g *Gate) handlePollReply(p poll, l targ.Listing, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.targetKnown || !p.incarnation.Same(g.incarnation) {
		return true
	}
	now := g.now()
	switch {
	case err == nil:
		g.handleListing(p, l)
		return true
	case errors.Is(err, targ.ErrFenced):
		g.raiseFence()
	case errors.Is(err, targ.ErrRestarted):
		g.endIncarnation(cause.TargetRestarted)
	default:
		g.missedPolls++
		if errors.Is(err, targ.ErrUnreachable) {
			g.recordDown()
		}
		g.hedgeUntil = now.Add(hedgeDuration)
		g.count("target.missed")
		if g.missedPolls < maxMissedPolls {
			return false
		}
		if !g.silent {
			g.event("target_silent", "target", p.incarnation.ID, "err", err)
		}
		g.silent = true
		g.giveUpLapsedRuns()
	}
	return false
}

// handleListing processes the answer l to p, which was sent to the current incarnation. If another
// one has answered, the end of the current one is dated by the first connection that it refused:
// recordAnswer, which forgets that time, comes after the check.
func (g *Gate) handleListing(p poll, l targ.Listing) {
	if g.silent {
		g.event("target_answers", "target", p.incarnation.ID)
	}
	if !g.checkIncarnation(l) {
		return
	}
	g.recordAnswer()
	g.successor = targ.Incarnation{}
	g.ackedEndSeq = max(g.ackedEndSeq, p.renewal.Seen)
	g.applyListing(p, l, g.now())
	g.startQueued()
}

// recordAnswer records that the target answers, or is given another chance to.
func (g *Gate) recordAnswer() {
	g.missedPolls, g.silent = 0, false
	g.downAt, g.downWithRuns = 0, false
}

// recordDown records that the target refuses connections.
func (g *Gate) recordDown() {
	if g.downAt == 0 {
		g.downAt, g.downWithRuns = g.now(), len(g.runs) > 0
	}
}

// downFor returns how long ago the target first refused a connection; 0 if it has not.
func (g *Gate) downFor() time.Duration {
	if g.downAt == 0 {
		return 0
	}
	return g.now().Sub(g.downAt)
}

// giveUpLapsedRuns gives up the runs at a silent target once its lease on them has
// certainly lapsed. A start without an answer may have reached a target that has restarted
// under its ID, unless that refuses connections.
func (g *Gate) giveUpLapsedRuns() {
	now := g.steady()
	if now < g.leaseEnd.Add(stopSlack) {
		return
	}
	reason := cause.Silent
	switch {
	case g.incarnation.Leaving:
		reason = cause.Departed
	case g.downAt > 0:
		reason = cause.TargetCrashed
	}
	for _, r := range g.runs {
		if !r.state.InProgress() && g.downAt == 0 && now < g.leaseEnd.Add(stopSlack+restartedLeaseExcess) {
			continue
		}
		g.reportInferred(r, provedByLease, g.clock.At(now))
		g.loseWithTarget(r, reason, g.downAt)
	}
	if g.successor.ID != "" && len(g.runs) == 0 {
		g.endIncarnation(cause.TargetRestarted)
	}
}

// tickLoop does the periodic work, such as expiry, until ctx is cancelled.
func (g *Gate) tickLoop(ctx context.Context) {
	pause := tickInterval
	for ctx.Err() == nil {
		boot.Sleep(ctx, pause)
		g.mu.Lock()
		pause = idleTickInterval
		if len(g.runs) > 0 || len(g.queue) > 0 {
			pause = tickInterval
		}
		now := g.now()
		g.expireEntries(now)
		g.expireQueue(now)
		g.forgetResults(now)
		g.forgetEnds(now)
		g.revocations.Forget(now)
		g.checkRuns(now)
		g.startQueued()
		g.logLoad(now)
		g.mu.Unlock()
	}
}

// logLoad logs the load at most once per loadLogInterval.
func (g *Gate) logLoad(now boot.Time) {
	if now < g.nextLoadLog || !g.targetKnown {
		return
	}
	g.nextLoadLog = now.Add(loadLogInterval)
	l := g.load()
	g.event("load", "target", l.TargetIncarnation, "cpu", l.CPU, "used", l.UsedCPU, "running", len(g.runs),
		"queued", len(g.queue), "speed", int(100*l.Speed), "aside", l.BlockedReason, "clean", g.reconciled(), "misses", g.missedPolls)
}

// forgetResults removes results older than resultRetention.
func (g *Gate) forgetResults(now boot.Time) {
	for id, r := range g.tasks {
		if r.isOver() && now.Sub(r.endedAt) > resultRetention {
			delete(g.tasks, id)
		}
	}
}
