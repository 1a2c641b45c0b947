package coord

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/admit"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/bulk"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cancel"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/drain"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/estim"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/loss"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/retry"
)

const (
	// maxStartWaitPercent is how long an admitted job waits for capacity before
	// it is refused, in percent of its latency budget, as long as none of its
	// tasks has started. An answer that late is of little use to the caller.
	maxStartWaitPercent = 200
	// maxWaitCheckInterval is the longest time between two checks whether the caller
	// of a job has stopped waiting. It bounds how late a check is after a suspension
	// of the machine, during which timers stand still.
	maxWaitCheckInterval = 200 * time.Millisecond
)

// Coordinator runs the jobs of one entry. Set the exported fields before use.
// It is safe for concurrent use.
type Coordinator struct {
	// Links returns the links to all known gates.
	Links func() []*link.Link
	// ResubmitDelay is the delay after which callers repeat a job whose answer was
	// lost; 0 if they don't.
	ResubmitDelay time.Duration
	// RemoteFactor is the factor by which the run time of a task grows on a target without the
	// step's preferred label, that is, away from its data; 0 means defaultRemoteFactor.
	RemoteFactor float64
	// Entries returns the number of entries that share the gates; nil means 1.
	Entries func() int
	// GiveUpElsewhere makes other entries give up a job: all of them if its caller counts
	// as having submitted it before, and otherwise those that are out of rotation. It
	// returns when none of them that can be reached has tasks of the job that can still be
	// running, or when ctx ends; nil does nothing.
	GiveUpElsewhere func(ctx context.Context, job string, repeated bool)
	// GiveUpIfKnown makes those other entries give up a job, in the same way, that answer soon
	// that they have it; nil does nothing.
	GiveUpIfKnown func(ctx context.Context, job string)
	// RevokeAt makes the gate at an address take the tasks of a job from this entry, which it has
	// refused for the sake of another one. It returns when no task of another entry may run there, or
	// when ctx ends, and reports whether the gate takes them now; one that does not answer does not. Nil
	// means that this can't be done.
	RevokeAt func(ctx context.Context, gate, job string) bool
	// OthersOut reports whether another entry is out of rotation, so that any of its jobs
	// may be submitted here without a sign of that; nil means no.
	OthersOut func() bool
	// RunsElsewhere reports whether another entry that can be reached runs the job with
	// the given ID; nil means no.
	RunsElsewhere func(ctx context.Context, job string) bool
	// LastStall returns when the process last went on after it had stood still, or 0 if it
	// has not; nil means 0. See stall.Detector.
	LastStall func() boot.Time
	// Now returns the current time; nil means boot.Now.
	Now func() boot.Time
	// Trace logs a decision about a job, with its details as alternating keys and
	// values; nil disables it.
	Trace func(event string, pairs ...any)
	// Count increments the counter with the given name; nil disables it.
	Count func(name string)
	// Observe records a duration under the given metric name; nil disables it.
	Observe func(name string, d time.Duration)

	runTimes   estim.RunTimes
	retries    retry.Planner
	limiter    admit.Limiter
	nextTaskID atomic.Uint64
	stopPlan   atomic.Pointer[drain.Plan] // nil unless the process is stopping

	candidatePool sync.Pool // of *candidates
	interference  interference

	mu          sync.Mutex
	jobs        map[string]*execution
	guards      map[string]*bulk.Guard // by service
	losses      loss.Log
	cancelled   cancel.Log
	outageSince boot.Time // since when no gate can start tasks; 0 if one can
}

// Cancel cancels the job with the given ID, also one that is submitted here later. It reports false
// if this entry has not known of the job: it neither runs it unfinished nor has cancelled it before.
func (c *Coordinator) Cancel(id string) bool {
	c.mu.Lock()
	now := c.now()
	known := c.cancelled.Has(id, now)
	c.cancelled.Add(id, now)
	c.mu.Unlock()
	e := c.unfinishedJob(id)
	if e == nil {
		return known
	}
	e.finish(Answer{State: Cancelled, Reason: cause.Cancelled})
	return true
}

// finishIfCancelled ends a job that was cancelled before it was submitted here. It reports whether
// it has ended the job.
func (c *Coordinator) finishIfCancelled(e *execution) bool {
	c.mu.Lock()
	cancelled := c.cancelled.Has(e.ID, c.now())
	c.mu.Unlock()
	if cancelled {
		e.finish(Answer{State: Cancelled, Reason: cause.Cancelled})
	}
	return cancelled
}

// GiveUp abandons the job with the given ID, and the submissions that wait for its end.
// It waits until none of its tasks can still be running, or ctx ends. It reports false if
// this entry has no such job, that is, neither an unfinished one nor one that has ended
// with tasks that may be running.
func (c *Coordinator) GiveUp(ctx context.Context, id string) bool {
	c.mu.Lock()
	e := c.jobs[id]
	submissions := e.submissions()
	c.mu.Unlock()
	if e == nil {
		return false
	}
	for _, s := range submissions {
		s.finish(Answer{State: Abandoned, Reason: cause.Cancelled})
	}
	select {
	case <-e.drained:
	case <-ctx.Done():
	}
	return true
}

// AbandonOlder abandons, for the given reason, the unfinished jobs whose latest submission
// arrived the given age ago or earlier. It returns their number.
func (c *Coordinator) AbandonOlder(age time.Duration, reason string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest, n := c.now().Add(-age), 0
	for _, e := range c.jobs {
		for _, s := range e.submissions() {
			if s.abandonIfArrivedBy(latest, reason) {
				n++
			}
		}
	}
	return n
}

// State returns the state of the job with the given ID. It reports false if this entry neither
// runs it unfinished nor has cancelled it.
func (c *Coordinator) State(id string) (State, bool) {
	if e := c.unfinishedJob(id); e != nil {
		return e.state(), true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return Cancelled, c.cancelled.Has(id, c.now())
}

// MayRun reports whether this entry has the job with the given ID unfinished, or has one that has
// ended with tasks that may still be running.
func (c *Coordinator) MayRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id] != nil
}

// unfinishedJob returns the job with the given ID, or nil if it is unknown or has
// ended.
func (c *Coordinator) unfinishedJob(id string) *execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.jobs[id]; e != nil && !e.hasEnded() {
		return e
	}
	return nil
}

// Pending returns the number of jobs in the state Waiting, by route name.
func (c *Coordinator) Pending() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, e := range c.jobs {
		if e.state() == Waiting {
			counts[e.Route.Name]++
		}
	}
	return counts
}

// Running returns the number of jobs that have not ended.
func (c *Coordinator) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.jobs {
		if !e.hasEnded() {
			n++
		}
	}
	return n
}

// report logs how a job ended and updates the counters and the duration metric of
// its final state.
func (c *Coordinator) report(e *execution, a Answer) {
	stateNames := [...]string{"waiting", "working", "done", "failed", "refused", "abandoned", "cancelled"}
	c.count("jobs." + stateNames[a.State])
	switch a.State {
	case Refused:
		c.count(cause.RefusedPrefix + a.Reason)
	case Failed:
		c.count(cause.FailedPrefix + a.Reason)
	case Abandoned:
		c.count(cause.AbandonedPrefix + a.Reason)
	}
	took := c.now().Sub(e.Arrived)
	if c.Observe != nil {
		c.Observe("job."+stateNames[a.State]+".ms", took)
	}
	e.mu.Lock()
	retries := e.retries
	e.mu.Unlock()
	c.trace("job", "job", e.ID, "route", e.Route.Name, "state", stateNames[a.State], "reason", a.Reason,
		"ms", took.Milliseconds(), "retries", retries, "delay", a.RetryAfter)
	c.traceWithdrawal(e, stateNames[a.State])
}

func (c *Coordinator) now() boot.Time {
	if c.Now != nil {
		return c.Now()
	}
	return boot.Now()
}

func (c *Coordinator) trace(event string, pairs ...any) {
	if c.Trace != nil {
		c.Trace(event, pairs...)
	}
}

func (c *Coordinator) count(name string) {
	if c.Count != nil {
		c.Count(name)
	}
}
