package coord

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/retry"
)

// refuseIfOverdue refuses the job if it has waited too long, or can't be answered while its callers
// wait, and none of its tasks may have started. It reports whether the job has ended.
func (c *Coordinator) refuseIfOverdue(e *execution, reason string) bool {
	longest, expectedRunTime := c.longestStep(e)
	now := c.now()
	if e.finishIfUnawaited(now) {
		return true
	}
	waited := now.Sub(c.timing(e, expectedRunTime).FirstSubmitted())
	if now < c.hopelessFrom(e) && waited < e.Route.LatencyBudget(expectedRunTime)*maxStartWaitPercent/100 {
		return false
	}
	cands := c.findCandidates(e.Route, longest)
	defer c.release(cands)
	wait, _ := cands.longestWait(longest, expectedRunTime)
	return e.refuse(Answer{State: Refused, Reason: reason, RetryAfter: c.retryDelay(e, longest, cands, wait)})
}

// hopelessFrom returns the time from which e can't be answered in the time that its callers wait,
// unless a task of it has started.
func (c *Coordinator) hopelessFrom(e *execution) boot.Time {
	_, expectedRunTime := c.longestStep(e)
	timing := c.timing(e, expectedRunTime)
	timing.WaitsUntil = e.awaitedUntil()
	return timing.HopelessFrom()
}

// endHopeless ends a job that can't be answered any more while its callers wait, unless a task of
// it may have started or be at a gate. They learn it at once instead of at the end of their wait.
// The job is refused only if this entry has begun to place it: before, another entry may run it.
func (c *Coordinator) endHopeless(e *execution) {
	if !e.placing.Load() {
		e.finish(Answer{State: Abandoned, Reason: cause.TooLate})
		return
	}
	c.refuseIfOverdue(e, cause.TooLate)
}

// longestStep returns the step of e with the longest expected run time of a task, and
// that time.
func (c *Coordinator) longestStep(e *execution) (Step, time.Duration) {
	longest := e.Steps[0]
	expectedRunTime := time.Duration(0)
	for _, s := range e.Steps {
		if t := c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime); t > expectedRunTime {
			longest, expectedRunTime = s, t
		}
	}
	return longest, expectedRunTime
}

// isRepeated reports whether the caller of e counts as having submitted the job before.
func (c *Coordinator) isRepeated(e *execution) bool {
	_, expectedRunTime := c.longestStep(e)
	return c.timing(e, expectedRunTime).Repeated()
}

// retryDelay returns the delay after which the caller of e shall come back, given its
// largest step and the expected wait for capacity.
func (c *Coordinator) retryDelay(e *execution, s Step, cands *candidates, wait time.Duration) time.Duration {
	now := c.now()
	expectedRunTime := c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime)
	capacity := cands.usableCapacity()
	r := retry.Refusal{
		Now: now, Wait: wait, Priority: e.Route.Priority, Outage: c.outage(capacity > 0, now),
		Repeated: c.timing(e, expectedRunTime).Repeated(),
	}
	if capacity > 0 {
		share := capacity / float64(c.entries())
		r.Work = time.Duration(float64(s.Count) * float64(s.Size.CPU) / share * float64(expectedRunTime))
	}
	return c.retries.Delay(r)
}

// outage returns how long no gate has been able to start tasks, given whether one can
// now.
func (c *Coordinator) outage(usable bool, now boot.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case usable:
		c.outageSince = 0
		return 0
	case c.outageSince == 0:
		c.outageSince = now
	}
	return now.Sub(c.outageSince)
}

// entries returns the number of entries that share the gates, this one included.
func (c *Coordinator) entries() int {
	if c.Entries == nil {
		return 1
	}
	return max(1, c.Entries())
}
