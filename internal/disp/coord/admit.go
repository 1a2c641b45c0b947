package coord

import (
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/triage"
)

const (
	// remoteDataFactor is the factor by which the run time of a task grows on a target
	// without the step's preferred label, that is, away from its data.
	remoteDataFactor = 1.5
	// maxWaitPercent is the share of a job's slack, in percent, that the expected wait
	// for capacity may take. The slack is the latency budget minus the run time.
	maxWaitPercent = 100
)

// candidates are the gates that may run a task, with what the entry knows of each.
// The slices have the same length and order.
type candidates struct {
	links []*link.Link
	views []link.View
	gates []pick.Gate
}

// findCandidates returns the gates of a service that have reported their load
// recently, are not leaving, and have the label that the step requires. They need not
// have free capacity or an available target.
func (c *Coordinator) findCandidates(service string, s Step) candidates {
	now := c.now()
	var cands candidates
	for _, l := range c.Links() {
		v := l.View(now)
		if !v.Available || v.Load.Service != service {
			continue
		}
		if s.RequiredLabel != "" && !slices.Contains(v.Load.Labels, s.RequiredLabel) {
			continue
		}
		runTimeFactor := 1.0
		if s.PreferredLabel != "" && !slices.Contains(v.Load.Labels, s.PreferredLabel) {
			runTimeFactor = remoteDataFactor
		}
		cands.links = append(cands.links, l)
		cands.views = append(cands.views, v)
		cands.gates = append(cands.gates, pick.Gate{
			Capacity:      rsrc.Vector{CPU: v.Load.CPU, Memory: v.Load.Memory, GPU: v.Load.GPU},
			Used:          v.Used,
			QueuedWork:    v.Load.QueuedWork,
			Speed:         v.Load.Speed,
			Unavailable:   cannotStart(v.Load.BlockedReason),
			BreakerOpen:   v.Load.BlockedReason != "" && !cannotStart(v.Load.BlockedReason),
			RunTimeFactor: runTimeFactor,
		})
	}
	return cands
}

// cannotStart reports whether a gate whose load has this BlockedReason can start no
// task at all. Any other non-empty reason means that the target's circuit breaker is open.
func cannotStart(blockedReason string) bool {
	return blockedReason == cause.Silent || blockedReason == cause.NoTarget
}

// admit decides whether to accept a job. It returns a refusal if no target is large
// enough for one of the tasks, or if the steps without dependencies would wait for
// capacity so long that the answer would be late. Otherwise it returns the zero
// Answer. An entry that does not know any gates yet accepts the job, since gates
// answer within moments of the entry's start.
func (c *Coordinator) admit(e *execution) Answer {
	for i, s := range e.Steps {
		expectedRunTime := c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime)
		timing := c.timing(e, expectedRunTime)
		slack := timing.StartBy().Sub(c.now())
		cands := c.findCandidates(e.Route.Service, s)
		longestWait, fits := cands.longestWait(s, expectedRunTime)
		c.outage(cands.usableCapacity() > 0, c.now())
		reason := ""
		switch {
		case len(cands.gates) == 0:
		case !fits:
			reason = cause.TooLarge
		case len(s.DependsOn) == 0 && longestWait > max(0, slack*maxWaitPercent/100):
			reason = cause.Overload
		}
		c.trace("step_admitted", "job", e.ID, "route", e.Route.Name, "config", e.ConfigVersion, "step", i, "tasks", s.Count,
			"cpu", s.Size.CPU, "expected", expectedRunTime, "waited", c.now().Sub(timing.FirstSubmitted()), "slack", slack, "gates", len(cands.gates), "wait", longestWait, "refused", reason)
		switch reason {
		case cause.TooLarge:
			return Answer{State: Refused, Reason: reason}
		case cause.Overload:
			return Answer{State: Refused, Reason: reason, RetryAfter: c.retryDelay(e, s, cands, longestWait)}
		}
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

// longestWait returns the longest expected wait for capacity of any task of s if all
// of them are placed now. It reports false if no target can run such a task.
func (cands candidates) longestWait(s Step, expectedRunTime time.Duration) (time.Duration, bool) {
	gates := slices.Clone(cands.gates)
	var longest time.Duration
	for range s.Count {
		choice := pick.Best(gates, pick.Task{Size: s.Size, RunTime: expectedRunTime})
		if choice.Gate < 0 {
			return 0, false
		}
		longest = max(longest, choice.Wait)
		g := &gates[choice.Gate]
		if choice.Wait > 0 {
			g.QueuedWork += int64(s.Size.CPU) * expectedRunTime.Milliseconds() / 1000
			continue
		}
		g.Used = g.Used.Plus(s.Size)
	}
	return longest, true
}
