package triage

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// Job is what is known of a job's timing when it arrives.
type Job struct {
	Arrived       boot.Time     // when this submission arrived
	WaitsUntil    boot.Time     // when the caller stops waiting for the answer; 0 if unknown
	LatencyBudget time.Duration // time from the first submission within which the job should be answered
	RunTime       time.Duration // expected run time
	ResubmitDelay time.Duration // delay after which callers repeat a job whose answer was lost; 0 if they don't
}

// FirstSubmitted returns the latest time at which the caller can have submitted the job
// first. A caller that waits too short for its job to be repeated and then answered in
// time has repeated it already: nobody that repeats jobs plans for less.
func (j Job) FirstSubmitted() boot.Time {
	if j.WaitsUntil == 0 || j.ResubmitDelay <= 0 {
		return j.Arrived
	}
	if j.WaitsUntil.Sub(j.Arrived) >= j.ResubmitDelay+j.LatencyBudget {
		return j.Arrived
	}
	return j.Arrived.Add(-j.ResubmitDelay)
}

// Repeated reports whether the caller counts as having submitted the job before.
func (j Job) Repeated() bool { return j.FirstSubmitted() < j.Arrived }

// StartBy returns the latest time at which the job must start to be answered within its
// latency budget.
func (j Job) StartBy() boot.Time {
	return j.FirstSubmitted().Add(j.LatencyBudget - j.RunTime)
}

// Before reports whether a task that has to start by a goes before one that has to
// start by b when capacity becomes free at now. Tasks that can still start in time go
// first. In both groups the earlier time goes first.
func Before(a, b, now boot.Time) bool {
	if overdueA, overdueB := a < now, b < now; overdueA != overdueB {
		return overdueB
	}
	return a < b
}
