package coord

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
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
	now := c.now()
	cands := c.findCandidates(e.Route, s)
	defer c.release(cands)
	d := c.decide(e, s, cands, now)
	c.outage(cands.usableCapacity() > 0, c.now())
	c.trace("step_admitted", "job", e.ID, "route", e.Route.Name, "config", e.ConfigVersion, "step", i, "tasks", s.Count,
		"cpu", s.Size.CPU, "expected", d.expectedRunTime, "waited", c.now().Sub(d.timing.FirstSubmitted()), "slack", d.slack, "gates", len(cands.gates), "usable", cands.usableGates(), "wait", d.longestWait, "refused", d.reason)
	if d.reason == "" {
		return Answer{}
	}
	a := Answer{State: Refused, Reason: d.reason}
	if d.retryable() {
		a.RetryAfter = c.retryDelay(e, s, cands, d.longestWait)
	}
	return a
}

// decision is whether a step is admitted, and what that depends on.
type decision struct {
	expectedRunTime time.Duration // of a task
	timing          triage.Job
	slack           time.Duration // time until the latest start
	longestWait     time.Duration // expected until the last task starts
	maxWait         time.Duration // longest wait accepted for a step without dependencies
	reason          string        // for refusing the job; empty if the step is admitted
}

// retryable reports whether the step is refused and may be admitted later.
func (d decision) retryable() bool { return d.reason != "" && d.reason != cause.TooLarge }

// decide decides at now whether a step is admitted, given the gates that may run its tasks.
// It records nothing.
func (c *Coordinator) decide(e *execution, s Step, cands *candidates, now boot.Time) decision {
	d := decision{expectedRunTime: c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime)}
	d.timing = c.timing(e, d.expectedRunTime)
	d.slack = d.timing.StartBy().Sub(now)
	d.maxWait = c.limiter.MaxWait(d.slack)
	longestWait, fits := cands.longestWait(s, d.expectedRunTime)
	d.longestWait = longestWait
	switch {
	case !fits && cands.evacuated:
		d.reason = cause.Evacuated
	case len(cands.gates) == 0:
	case !fits:
		d.reason = cause.TooLarge
	case cands.allCrashed, len(s.DependsOn) == 0 && longestWait > d.maxWait:
		d.reason = cause.Overload
	}
	return d
}

// timing returns the timing of e if its tasks have the given expected run time.
func (c *Coordinator) timing(e *execution, expectedRunTime time.Duration) triage.Job {
	return triage.Job{
		Arrived: e.Arrived, WaitsUntil: e.WaitsUntil, LatencyBudget: e.Route.LatencyBudget(expectedRunTime),
		RunTime: expectedRunTime, ResubmitDelay: c.ResubmitDelay,
	}
}
