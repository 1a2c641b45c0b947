package coord

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/triage"
)

// admit decides whether to accept a job. It returns a refusal if no target is large
// enough for one of the tasks, or if the steps without dependencies would wait for
// capacity so long that the answer would be late. Otherwise it returns the zero
// Answer. An entry that does not know any gates yet accepts the job, since gates
// answer within moments of the entry's start.
func (c *Coordinator) admit(e *execution) Answer {
	for i, s := range e.Steps {
		if a := c.admitStep(e, i, s); a.State == Refused {
			return a
		}
	}
	return Answer{}
}

// admitStep is admit for one step.
func (c *Coordinator) admitStep(e *execution, i int, s Step) Answer {
	expectedRunTime := c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime)
	timing := c.timing(e, expectedRunTime)
	slack := timing.StartBy().Sub(c.now())
	cands := c.findCandidates(e.Route, s)
	defer c.release(cands)
	longestWait, fits := cands.longestWait(s, expectedRunTime)
	c.outage(cands.usableCapacity() > 0, c.now())
	reason := ""
	switch {
	case !fits && cands.evacuated:
		reason = cause.Evacuated
	case len(cands.gates) == 0:
	case !fits:
		reason = cause.TooLarge
	case cands.allCrashed, len(s.DependsOn) == 0 && longestWait > c.limiter.MaxWait(slack):
		reason = cause.Overload
	}
	c.trace("step_admitted", "job", e.ID, "route", e.Route.Name, "config", e.ConfigVersion, "step", i, "tasks", s.Count,
		"cpu", s.Size.CPU, "expected", expectedRunTime, "waited", c.now().Sub(timing.FirstSubmitted()), "slack", slack, "gates", len(cands.gates), "usable", cands.usableGates(), "wait", longestWait, "refused", reason)
	switch reason {
	case cause.TooLarge:
		return Answer{State: Refused, Reason: reason}
	case cause.Overload, cause.Evacuated:
		return Answer{State: Refused, Reason: reason, RetryAfter: c.retryDelay(e, s, cands, longestWait)}
	}
	return Answer{}
}

// timing returns the timing of e if its tasks have the given expected run time.
func (c *Coordinator) timing(e *execution, expectedRunTime time.Duration) triage.Job {
	return triage.Job{
		Arrived: e.Arrived, WaitsUntil: e.WaitsUntil, LatencyBudget: e.Route.LatencyBudget(expectedRunTime),
		RunTime: expectedRunTime, ResubmitDelay: c.ResubmitDelay,
	}
}
