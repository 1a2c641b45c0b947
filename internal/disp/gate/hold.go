package gate

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cbreak"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/estim"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	holdWait    = 150 * time.Millisecond // how long a hold waits for an end
	holdTimeout = 100 * time.Millisecond // longest wait for the answer beyond that
	hedgeFor    = 3 * time.Second        // how long a second hold is kept open after one had no answer
	hedgeWait   = 60 * time.Millisecond  // how long holds wait meanwhile
	hedgePause  = 100 * time.Millisecond // between looks at whether a second hold is wanted
	mostMisses  = 2                      // holds without an answer, one after the other, that make a target silent
	holdIdle    = time.Second            // between holds while nothing runs
	holdPause   = 10 * time.Millisecond  // after a hold that failed or did not wait
	tickEvery   = 25 * time.Millisecond
	tickIdle    = 100 * time.Millisecond // while there are no tasks
	keepResults = 5 * time.Second        // how long results are kept for a sender that asks again
	reportEvery = 5 * time.Second        // between lines that tell the load
)

// Announced takes in what the target said of itself. It reports whether the
// life is the newest.
func (g *Gate) Announced(l targ.Incarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known && l.Born < g.life.Born {
		return false
	}
	if g.known && l.Same(g.life) {
		if l.Leaving && !g.life.Leaving {
			g.event("target_leaving", "target", l.ID)
		}
		leaving := g.life.Leaving || l.Leaving
		g.life = l
		g.life.Leaving = leaving
		g.shed()
		return true
	}
	g.gone(cause.TargetRestarted)
	g.life, g.known = l, true
	g.clean, g.silent, g.misses = false, false, 0
	g.clock, g.seen, g.acked = targ.Clock{}, 0, 0
	g.endClock, g.lastEnds = 0, nil
	g.trust, g.speed = cbreak.Breaker{}, estim.Speed{}
	if g.fence == 0 {
		g.fence = time.Now().UnixMilli()
	}
	g.event("target", "target", l.ID, "service", l.Service, "cpu", l.Capacity.CPU, "memory", l.Capacity.Memory)
	g.nudge()
	return true
}

// Departed takes in that the target with this ID has ended.
func (g *Gate) Departed(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.known && g.life.ID == id {
		g.gone(cause.Departed)
	}
}

// shed hands back what waits for a target that takes no more.
func (g *Gate) shed() {
	if !g.life.Leaving {
		return
	}
	for _, r := range g.queue {
		g.finish(r, msgs.Refused, cause.Leaving)
	}
	g.queue = nil
}

// gone notes that the life of the target has ended, and all that ran with it.
func (g *Gate) gone(reason string) {
	if !g.known {
		return
	}
	g.event("target_gone", "target", g.life.ID, "reason", reason, "running", len(g.runs))
	for _, r := range g.runs {
		g.finish(r, msgs.Lost, reason)
	}
	for _, r := range g.queue {
		g.finish(r, msgs.Refused, reason)
	}
	g.queue = nil
	g.known, g.clean = false, false
}

// hedgeLoop keeps a second hold open while answers get lost, so that the ends of
// runs are known in time.
func (g *Gate) hedgeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.hedging() {
			boot.Sleep(ctx, hedgePause)
			continue
		}
		g.holdOnce(ctx)
	}
}

// holdLoop renews the target's lease and takes in its lists until ctx ends.
func (g *Gate) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.holdOnce(ctx)
	}
}

// holdOnce makes the next hold, or waits for something to do.
func (g *Gate) holdOnce(ctx context.Context) {
	life, renewal, pause := g.plan()
	if pause > 0 {
		g.await(ctx, pause)
		return
	}
	call, cancel := context.WithTimeout(ctx, time.Duration(renewal.Wait)*time.Millisecond+holdTimeout)
	l, err := g.Poll(call, life, renewal)
	cancel()
	if !g.held(life, renewal, l, err) || renewal.Wait == 0 {
		boot.Sleep(ctx, holdPause)
	}
}

// hedging tells whether a second hold is wanted.
func (g *Gate) hedging() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs) > 0 && g.now() < g.hedgeUntil
}

// plan returns the next hold, or how long to wait for something to do.
func (g *Gate) plan() (targ.Incarnation, targ.Renewal, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !g.known {
		return targ.Incarnation{}, targ.Renewal{}, holdIdle
	}
	idle := len(g.runs) == 0 && g.acked == g.seen && g.clean && !g.silent
	if idle && g.clock.Set && now.Sub(g.clock.After) < holdIdle {
		return targ.Incarnation{}, targ.Renewal{}, holdIdle - now.Sub(g.clock.After)
	}
	renewal := targ.Renewal{Fence: g.fence, Seen: g.seen}
	if g.clock.Set && !g.silent && len(g.runs) > 0 {
		renewal.Deadline = g.deadline(now)
	}
	if len(g.runs) > 0 && !g.stoppingRun() && g.misses == 0 && g.clean {
		renewal.Wait = holdWait.Milliseconds()
		if now < g.hedgeUntil {
			renewal.Wait = hedgeWait.Milliseconds()
		}
	}
	return g.life, renewal, 0
}

// stoppingRun tells whether the end of a run that was stopped is awaited.
func (g *Gate) stoppingRun() bool {
	for _, r := range g.runs {
		if r.barred > 0 {
			return true
		}
	}
	return false
}

// await waits for something to do, for d at most.
func (g *Gate) await(ctx context.Context, d time.Duration) {
	g.mu.Lock()
	wake := g.waker()
	g.mu.Unlock()
	boot.Await(ctx, wake, d)
}

// held takes in the answer to a hold and reports whether there was one.
func (g *Gate) held(life targ.Incarnation, renewal targ.Renewal, l targ.Listing, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.known || !life.Same(g.life) {
		return true
	}
	now := g.now()
	switch {
	case err == nil:
		if g.silent {
			g.event("target_answers", "target", life.ID)
		}
		g.silent, g.misses = false, 0
		g.acked = max(g.acked, renewal.Seen)
		g.apply(l, now)
		g.startQueued()
		return true
	case errors.Is(err, targ.ErrFenced):
		g.raiseFence()
	case errors.Is(err, targ.ErrRestarted):
		g.gone(cause.TargetRestarted)
	default:
		g.misses++
		g.hedgeUntil = now.Add(hedgeFor)
		g.count("target.missed")
		if g.misses < mostMisses {
			return false
		}
		if !g.silent {
			g.event("target_silent", "target", life.ID, "err", err)
		}
		g.silent = true
		g.lapse(now)
	}
	return false
}

// lapse gives up what ran at a silent target once its lease has run out there.
func (g *Gate) lapse(now boot.Time) {
	if now < g.leaseEnd.Add(stopSlack) {
		return
	}
	for _, r := range g.runs {
		g.finish(r, msgs.Lost, cause.Silent)
	}
}

// tick does what is due by time until ctx ends.
func (g *Gate) tick(ctx context.Context) {
	pause := tickEvery
	for ctx.Err() == nil {
		boot.Sleep(ctx, pause)
		g.mu.Lock()
		pause = tickIdle
		if len(g.runs) > 0 || len(g.queue) > 0 {
			pause = tickEvery
		}
		now := g.now()
		g.expire(now)
		g.leaveQueue(now)
		g.forget(now)
		g.watch(now)
		g.startQueued()
		g.report(now)
		g.mu.Unlock()
	}
}

// report logs the load now and then.
func (g *Gate) report(now boot.Time) {
	if now < g.reportAt || !g.known {
		return
	}
	g.reportAt = now.Add(reportEvery)
	l := g.load()
	g.event("load", "target", l.Target, "cpu", l.CPU, "used", l.UsedCPU, "running", len(g.runs),
		"queued", len(g.queue), "speed", int(100*l.Speed), "aside", l.Aside, "clean", g.clean, "misses", g.misses)
}

// leaveQueue hands back what has waited for as long as its sender lets it.
func (g *Gate) leaveQueue(now boot.Time) {
	kept := g.queue[:0:0]
	for _, r := range g.queue {
		if now >= r.leave {
			g.finish(r, msgs.Refused, cause.NoCapacity)
			continue
		}
		kept = append(kept, r)
	}
	g.queue = kept
}

// forget drops results that no sender will ask for again.
func (g *Gate) forget(now boot.Time) {
	for id, r := range g.tasks {
		if r.phase == over && now.Sub(r.ended) > keepResults {
			delete(g.tasks, id)
		}
	}
}
