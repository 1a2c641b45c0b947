package coord

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/retry"
)

// refuseIfOverdue refuses the job if it has waited too long and none of its tasks may
// have started. It reports whether it refused the job.
func (c *Coordinator) refuseIfOverdue(e *execution, reason string) bool {
	longest, expectedRunTime := c.longestStep(e)
	if c.now() < c.refusedFrom(e, expectedRunTime) {
		return false
	}
	cands := c.findCandidates(e.Route, longest)
	defer c.release(cands)
	wait, _ := cands.longestWait(longest, expectedRunTime)
	return e.refuse(Answer{State: Refused, Reason: reason, RetryAfter: c.retryDelay(e, longest, cands, wait)})
}

// refusedFrom returns the time from which e, with the given expected run time of its longest step,
// is refused if none of its tasks has started.
func (c *Coordinator) refusedFrom(e *execution, expectedRunTime time.Duration) boot.Time {
	maxStartWait := e.Route.LatencyBudget(expectedRunTime) * maxStartWaitPercent / 100
	return c.timing(e, expectedRunTime).FirstSubmitted().Add(maxStartWait)
}

// refuseIfEvacuated refuses the job if a task of s can run only at targets of evacuated
// domains, and no task of the job may have started. It reports whether it refused the job.
func (c *Coordinator) refuseIfEvacuated(e *execution, s Step) bool {
	cands := c.findCandidates(e.Route, s)
	defer c.release(cands)
	_, fits := cands.longestWait(s, c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime))
	if fits || !cands.evacuated {
		return false
	}
	return e.refuse(Answer{State: Refused, Reason: cause.Evacuated, RetryAfter: c.retryDelay(e, s, cands, 0)})
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
	return c.retries.Delay(c.refusal(e, s, cands, wait, now, c.outage(cands.usableCapacity() > 0, now)))
}

// refusal describes the refusal of e at now, given its largest step, the expected wait for
// capacity and how long no gate has been able to start tasks.
func (c *Coordinator) refusal(e *execution, s Step, cands *candidates, wait time.Duration, now boot.Time, outage time.Duration) retry.Refusal {
	expectedRunTime := c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime)
	capacity := cands.usableCapacity()
	r := retry.Refusal{
		Now: now, Wait: wait, Priority: e.Route.Priority, Outage: outage,
		Repeated: c.timing(e, expectedRunTime).Repeated(),
	}
	if capacity > 0 {
		share := capacity / float64(c.entries())
		r.Work = time.Duration(float64(s.Count) * float64(s.Size.CPU) / share * float64(expectedRunTime))
	}
	return r
}

// outage returns how long no gate has been able to start tasks, given whether one can
// now.
func (c *Coordinator) outage(usable bool, now boot.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outageSince = outageStart(c.outageSince, usable, now)
	return outageDuration(c.outageSince, now)
}

// outageStart returns since when no gate can start tasks, given since when that was so far
// and whether one can now; 0 means that one can.
func outageStart(since boot.Time, usable bool, now boot.Time) boot.Time {
	switch {
	case usable:
		return 0
	case since == 0:
		return now
	}
	return since
}

// outageDuration returns how long an outage has lasted that began at since; 0 for none.
func outageDuration(since, now boot.Time) time.Duration {
	if since == 0 {
		return 0
	}
	return now.Sub(since)
}

// entries returns the number of entries that share the gates, this one included.
func (c *Coordinator) entries() int {
	if c.Entries == nil {
		return 1
	}
	return max(1, c.Entries())
}
