package coord

import (
	"context"
	"slices"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
)

// Submit runs a job and returns its answer once the job has ended. If ctx ends
// first, or the caller stops waiting at j.WaitsUntil, the job is abandoned and its
// tasks are cancelled. If the ID of j belongs to an unfinished job, j is a repeated
// submission of it and is not run beside it: its caller gets that job's answer too.
// Such a job is abandoned when the last of its callers has left or stopped waiting.
func (c *Coordinator) Submit(ctx context.Context, j Job) Answer {
	e := newExecution(j)
	if c.finishIfCancelled(e) {
		return c.await(ctx, e)
	}
	if e.WaitsUntil != 0 {
		go c.watchWait(e)
	}
	if previous := c.register(ctx, e); previous != nil {
		e.cancel()
		c.count("jobs.joined")
		c.trace("job_joined", "job", e.ID, "route", e.Route.Name, "after", e.Arrived.Sub(previous.Arrived))
		return c.await(ctx, previous)
	}
	repeated := c.GiveUpElsewhere != nil && c.isRepeated(e)
	if !e.finishIfLeft() && (repeated || e.NewConnection || c.mayRunElsewhere() || !c.confirmed(e)) {
		go c.startAlone(e, repeated)
	} else {
		c.start(e)
	}
	return c.await(ctx, e)
}

// mayRunElsewhere reports whether any job that is submitted may be running at another entry.
func (c *Coordinator) mayRunElsewhere() bool {
	return c.GiveUpElsewhere != nil && c.OthersOut != nil && c.OthersOut()
}

// startAlone starts a job that another entry may have. If its caller may have submitted it before,
// other entries give it up first.
func (c *Coordinator) startAlone(e *execution, repeated bool) {
	if !c.confirm(e) {
		return
	}
	if repeated {
		c.count("jobs.repeated")
	}
	if repeated || c.mayRunElsewhere() {
		c.GiveUpElsewhere(e.ctx, e.ID, repeated)
		c.trace("job_given_up_elsewhere", "job", e.ID, "route", e.Route.Name, "repeated", repeated, "took", c.now().Sub(e.Arrived))
	}
	if e.NewConnection && !repeated && c.GiveUpIfKnown != nil {
		c.GiveUpIfKnown(e.ctx, e.ID)
	}
	c.start(e)
}

// start begins to run a job, or ends it with a refusal. It does nothing if the job has
// ended.
func (c *Coordinator) start(e *execution) {
	if e.hasEnded() || c.finishIfCancelled(e) || c.finishIfAnyLost(e) {
		return
	}
	if a := c.admit(e); a.State == Refused {
		e.finish(a)
		return
	}
	for i, s := range e.Steps {
		go c.runStep(e, i, s)
	}
}

// await waits until the job has ended and returns its answer. If ctx ends first, the
// caller leaves the job; await then returns without waiting for other callers.
func (c *Coordinator) await(ctx context.Context, e *execution) Answer {
	select {
	case <-e.ctx.Done():
	case <-ctx.Done():
		if !e.leave() {
			return Answer{State: Abandoned, Reason: cause.CallerDisconnected}
		}
	}
	e.concluded.Do(func() {
		c.report(e, *e.answer)
		go c.unregister(e)
	})
	return *e.answer
}

// watchWait ends the job once its callers have stopped waiting for the answer. It
// returns when the job has ended.
func (c *Coordinator) watchWait(e *execution) {
	for e.ctx.Err() == nil && !e.finishIfUnawaited(c.now()) {
		boot.Sleep(e.ctx, min(e.remainingWait(c.now()), maxWaitCheckInterval))
	}
}

// register adds a job to the table of jobs and returns nil. If an unfinished job has
// the same ID, register joins it on behalf of the caller and returns it. A caller whose
// connection broke may resubmit its job at once; register then waits until none of the
// tasks of the previous submission can still be running. If the caller leaves or stops
// waiting meanwhile, the new job ends without having been added.
func (c *Coordinator) register(ctx context.Context, e *execution) (joined *execution) {
	for {
		previous, joined := c.insert(e)
		switch {
		case previous == nil:
			return nil
		case joined:
			return previous
		}
		select {
		case <-previous.drained:
		case <-e.ctx.Done():
			return nil
		case <-ctx.Done():
			c.finishUnlessAdded(e)
			return nil
		}
	}
}

// finishUnlessAdded ends a job whose caller has left. One that unregister has added may have more
// callers.
func (c *Coordinator) finishUnlessAdded(e *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[e.ID] != e {
		e.finish(Answer{State: Abandoned, Reason: cause.CallerDisconnected})
	}
}

// insert adds a job and returns nil, joins the unfinished job that has its ID, or notes that the
// job waits for the one that has its ID, which has ended.
func (c *Coordinator) insert(e *execution) (previous *execution, joined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs == nil {
		c.jobs = map[string]*execution{}
	}
	previous = c.jobs[e.ID]
	switch {
	case previous == nil, previous == e: // unregister may have added it
		c.jobs[e.ID] = e
		return nil, false
	case previous.join(e.Job):
		previous.waiting = slices.DeleteFunc(previous.waiting, func(w *execution) bool { return w == e })
		return previous, true
	}
	if !slices.Contains(previous.waiting, e) {
		previous.waiting = append(previous.waiting, e)
	}
	return previous, false
}

// unregister removes a job that has ended, if it was registered, after waiting until
// none of its tasks can still be running. In the same moment it adds one that waits for that, so
// that the ID is never unknown between the two.
func (c *Coordinator) unregister(e *execution) {
	e.outstanding.Wait()
	c.mu.Lock()
	if c.jobs[e.ID] == e {
		delete(c.jobs, e.ID)
		if i := slices.IndexFunc(e.waiting, func(w *execution) bool { return !w.hasEnded() }); i >= 0 {
			next := e.waiting[i]
			next.waiting = append(next.waiting, e.waiting[i+1:]...) // until each has joined it, or waits for it
			c.jobs[e.ID] = next
		}
	}
	c.mu.Unlock()
	close(e.drained)
}
