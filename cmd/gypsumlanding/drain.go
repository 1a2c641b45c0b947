package main

import (
	"context"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/guard"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/drain"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/platform"
)

const (
	// drainPollInterval is the interval at which a stopping entry checks whether work is left.
	drainPollInterval = 20 * time.Millisecond
	// maxDrainSleep bounds how late it notices a suspension of the machine, during which timers
	// stand still.
	maxDrainSleep = 100 * time.Millisecond
)

// drainEntry makes the entry of c answer all its callers before the process is killed. It returns when
// the servers can be closed.
func (p process) drainEntry(ctx context.Context, c *coord.Coordinator, callers *platform.CallerHandler, clients *guard.Guard) {
	plan := drain.New(boot.Now(), p.cfg.DrainTime)
	callers.Drain(plan)
	// Both go on after the drain: a request that is being read may become a job yet.
	go abortUploads(ctx, plan, clients)
	go c.Stop(ctx, plan)
	p.awaitDrained(plan, c)
}

// drainNode makes the gate end its work before the process is killed.
func (p process) drainNode(ctx context.Context, g *gate.Gate) {
	now := boot.Now()
	ctx, cancel := context.WithTimeout(ctx, drain.New(now, p.cfg.DrainTime).AnswerBy.Sub(now))
	defer cancel()
	g.Drain(ctx)
}

// abortUploads ends the uploads that have not ended when jobs are refused.
func abortUploads(ctx context.Context, plan drain.Plan, clients *guard.Guard) {
	for now := boot.Now(); plan.Accepts(now) && ctx.Err() == nil; now = boot.Now() {
		boot.Sleep(ctx, min(plan.AcceptUntil.Sub(now), maxDrainSleep))
	}
	clients.AbortBodies()
}

// awaitDrained waits until new connections are no longer expected and no job is left, or until the
// process has to exit.
func (p process) awaitDrained(plan drain.Plan, c *coord.Coordinator) {
	start := boot.Now()
	for now := start; now < plan.ExitBy && (now < plan.ConnectUntil || c.Unsettled() > 0); now = boot.Now() {
		time.Sleep(drainPollInterval)
	}
	p.log.Event("drained", "left", c.Running(), "unsettled", c.Unsettled(), "after", boot.Now().Sub(start))
}
