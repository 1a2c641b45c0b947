package gate

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cbreak"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/learn"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	pollWait           = 150 * time.Millisecond // how long a hold waits for an end
	pollTimeout        = 100 * time.Millisecond // longest wait for the answer beyond that
	hedgeDuration      = 3 * time.Second        // how long a second hold is kept open after one had no answer
	hedgedPollWait     = 60 * time.Millisecond  // how long holds wait meanwhile
	hedgeCheckInterval = 100 * time.Millisecond // between looks at whether a second hold is wanted
	maxMissedPolls     = 2                      // holds without an answer, one after the other, that make a target silent
	idlePollInterval   = time.Second            // between holds while nothing runs
	pollPause          = 10 * time.Millisecond  // after a hold that failed or did not wait
	tickInterval       = 25 * time.Millisecond
	idleTickInterval   = 100 * time.Millisecond // while there are no tasks
	resultRetention    = 5 * time.Second        // how long results are kept for a sender that asks again
	loadLogInterval    = 5 * time.Second        // between lines that tell the load
)

// Announced takes in what the target said of itself. It reports whether the
// life is the newest.
func (g *Gate) Announced(l targ.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targetKnown && l.Born < g.incarnation.Born {
		return false
	}
	if g.targetKnown && l.Same(g.incarnation) {
		if l.Leaving && !g.incarnation.Leaving {
			g.event("target_leaving", "target", l.ID)
		}
		leaving := g.incarnation.Leaving || l.Leaving
		g.incarnation = l
		g.incarnation.Leaving = leaving
		g.refuseQueueIfLeaving()
		return true
	}
	g.gone(cause.Reborn)
	g.incarnation, g.targetKnown = l, true
	g.clean, g.silent, g.missedPolls = false, false, 0
	g.clock, g.lastEndSeq, g.ackedEndSeq = targ.ClockBound{}, 0, 0
	g.lastEndClock, g.lastEnds = 0, nil
	g.cbreak, g.speed = cbreak.Breaker{}, learn.Speed{}
	if g.fence == 0 {
		g.fence = time.Now().UnixMilli()
	}
	g.event("target", "target", l.ID, "service", l.Service, "cpu", l.Capacity.CPU, "memory", l.Capacity.Memory)
	g.wakePollLoop()
	return true
}

// Departed takes in that the target with this ID has ended.
func (g *Gate) Departed(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.targetKnown && g.incarnation.ID == id {
		g.gone(cause.Departed)
	}
}

// shed hands back what waits for a target that takes no more.
func (g *Gate) refuseQueueIfLeaving() {
	if !g.incarnation.Leaving {
		return
	}
	for _, r := range g.queue {
		g.finish(r, msgs.Refused, cause.Leaving)
	}
	g.queue = nil
}

// gone notes that the life of the target has ended, and all that ran with it.
func (g *Gate) gone(reason string) {
	if !g.targetKnown {
		return
	}
	g.event("target_gone", "target", g.incarnation.ID, "reason", reason, "running", len(g.runs))
	for _, r := range g.runs {
		g.finish(r, msgs.Lost, reason)
	}
	for _, r := range g.queue {
		g.finish(r, msgs.Refused, reason)
	}
	g.queue = nil
	g.targetKnown, g.clean = false, false
}

// hedgeLoop keeps a second hold open while answers get lost, so that the ends of
// runs are known in time.
func (g *Gate) hedgeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.hedging() {
			boot.Sleep(ctx, hedgeCheckInterval)
			continue
		}
		g.pollOnce(ctx)
	}
}

// holdLoop renews the target's lease and takes in its lists until ctx ends.
func (g *Gate) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.pollOnce(ctx)
	}
}

// holdOnce makes the next hold, or waits for something to do.
func (g *Gate) pollOnce(ctx context.Context) {
	incarnation, renewal, pause := g.nextPoll()
	if pause > 0 {
		g.awaitWake(ctx, pause)
		return
	}
	call, cancel := context.WithTimeout(ctx, time.Duration(renewal.Wait)*time.Millisecond+pollTimeout)
	l, err := g.Poll(call, incarnation, renewal)
	cancel()
	if !g.handlePollReply(incarnation, renewal, l, err) || renewal.Wait == 0 {
		boot.Sleep(ctx, pollPause)
	}
}

// hedging tells whether a second hold is wanted.
func (g *Gate) hedging() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs) > 0 && g.now() < g.hedgeUntil
}

// plan returns the next hold, or how long to wait for something to do.
func (g *Gate) nextPoll() (targ.Incarnation, targ.Renewal, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !g.targetKnown {
		return targ.Incarnation{}, targ.Renewal{}, idlePollInterval
	}
	idle := len(g.runs) == 0 && g.ackedEndSeq == g.lastEndSeq && g.clean && !g.silent
	if idle && g.clock.HasReading && now.Sub(g.clock.ReadAt) < idlePollInterval {
		return targ.Incarnation{}, targ.Renewal{}, idlePollInterval - now.Sub(g.clock.ReadAt)
	}
	renewal := targ.Renewal{Fence: g.fence, Seen: g.lastEndSeq}
	if g.clock.HasReading && !g.silent && len(g.runs) > 0 {
		renewal.Deadline = g.extendTargetLease(now)
	}
	if len(g.runs) > 0 && !g.awaitingStop() && g.missedPolls == 0 && g.clean {
		renewal.Wait = pollWait.Milliseconds()
		if now < g.hedgeUntil {
			renewal.Wait = hedgedPollWait.Milliseconds()
		}
	}
	return g.incarnation, renewal, 0
}

// stoppingRun tells whether the end of a run that was stopped is awaited.
func (g *Gate) awaitingStop() bool {
	for _, r := range g.runs {
		if r.stopAckClock > 0 {
			return true
		}
	}
	return false
}

// await waits for something to do, for d at most.
func (g *Gate) awaitWake(ctx context.Context, d time.Duration) {
	g.mu.Lock()
	wake := g.wakeChan()
	g.mu.Unlock()
	boot.Await(ctx, wake, d)
}

// held takes in the answer to a hold and reports whether there was one.
func (g *Gate) handlePollReply(incarnation targ.Incarnation, renewal targ.Renewal, l targ.Listing, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.targetKnown || !incarnation.Same(g.incarnation) {
		return true
	}
	now := g.now()
	switch {
	case err == nil:
		if g.silent {
			g.event("target_answers", "target", incarnation.ID)
		}
		g.silent, g.missedPolls = false, 0
		g.ackedEndSeq = max(g.ackedEndSeq, renewal.Seen)
		g.applyListing(l, now)
		g.startQueued()
		return true
	case errors.Is(err, targ.ErrFenced):
		g.raiseFence()
	case errors.Is(err, targ.ErrRestarted):
		g.gone(cause.Reborn)
	default:
		g.missedPolls++
		g.hedgeUntil = now.Add(hedgeDuration)
		g.count("target.missed")
		if g.missedPolls < maxMissedPolls {
			return false
		}
		if !g.silent {
			g.event("target_silent", "target", incarnation.ID, "err", err)
		}
		g.silent = true
		g.giveUpLapsedRuns(now)
	}
	return false
}

// lapse gives up what ran at a silent target once its lease has run out there.
func (g *Gate) giveUpLapsedRuns(now boot.Time) {
	if now < g.leaseEnd.Add(stopSlack) {
		return
	}
	for _, r := range g.runs {
		g.finish(r, msgs.Lost, cause.Silent)
	}
}

// tick does what is due by time until ctx ends.
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
		g.checkRuns(now)
		g.startQueued()
		g.logLoad(now)
		g.mu.Unlock()
	}
}

// report logs the load now and then.
func (g *Gate) logLoad(now boot.Time) {
	if now < g.nextLoadLog || !g.targetKnown {
		return
	}
	g.nextLoadLog = now.Add(loadLogInterval)
	l := g.load()
	g.event("load", "target", l.Target, "cpu", l.CPU, "used", l.UsedCPU, "running", len(g.runs),
		"queued", len(g.queue), "speed", int(100*l.Speed), "aside", l.Aside, "clean", g.clean, "misses", g.missedPolls)
}

// leaveQueue hands back what has waited for as long as its sender lets it.
func (g *Gate) expireQueue(now boot.Time) {
	kept := g.queue[:0:0]
	for _, r := range g.queue {
		if now >= r.queueDeadline {
			g.finish(r, msgs.Refused, cause.Full)
			continue
		}
		kept = append(kept, r)
	}
	g.queue = kept
}

// forget drops results that no sender will ask for again.
func (g *Gate) forgetResults(now boot.Time) {
	for id, r := range g.tasks {
		if r.phase == over && now.Sub(r.endedAt) > resultRetention {
			delete(g.tasks, id)
		}
	}
}
