package coord

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/drain"
)

const (
	// stopCheckInterval is the interval at which the unfinished jobs are checked while the process
	// is stopping.
	stopCheckInterval = 20 * time.Millisecond
	// settleTimeout is how long a withdrawn job waits at most for the gates to tell whether its tasks
	// have started.
	settleTimeout = 300 * time.Millisecond
	// settleLead is how long before the last answers are due the last jobs are withdrawn, so that the
	// gates can tell. It cuts jobs short, so it is no longer than a call takes as a rule.
	settleLead = 100 * time.Millisecond
	// ElsewhereDelay is the delay before a refused caller may retry that another entry may serve.
	ElsewhereDelay = time.Second
	// leastRunTimePercent is the part of the expected run time of a task, in percent, that the task
	// takes at least: no job that has begun is given up for a task that may end sooner.
	leastRunTimePercent = 50
)

// withdrawal is the end of a job that the process can't wait for, since it is stopping: none of its
// tasks is placed any more, and those in flight are cancelled. It holds what the job waited for.
type withdrawal struct {
	at       boot.Time
	needed   time.Duration // least time until the job is done
	left     time.Duration // time until the last answers
	unplaced int           // tasks that are neither done nor in flight
	inFlight int           // tasks in flight
}

// Stop ends the jobs as p says: those that can't be done in time as soon as that is known, and the
// others by p.AnswerBy at the latest. A job of which no task has started is refused, and any other
// abandoned. Stop returns when ctx ends.
func (c *Coordinator) Stop(ctx context.Context, p drain.Plan) {
	c.stopPlan.Store(&p)
	for ctx.Err() == nil {
		c.withdrawLate(p)
		boot.Sleep(ctx, pauseBefore(p.AnswerBy.Sub(c.now())))
	}
}

// pauseBefore returns the pause before the next check, given the time until the last answers are due:
// one check is made just then.
func pauseBefore(left time.Duration) time.Duration {
	if left > 0 && left < stopCheckInterval {
		return left
	}
	return stopCheckInterval
}

// Unsettled returns the number of jobs that have not ended, or have ended with tasks that may still
// be running.
func (c *Coordinator) Unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.jobs)
}

// submission is a submission of a job that waits for its answer.
type submission struct {
	*execution
	known  *withdrawal   // the job's withdrawal when it was looked at; nil if it was not withdrawn
	needed time.Duration // least time until it is done
	begun  bool          // it waits for the end of an earlier submission, of which a task may have started
}

// withdrawLate withdraws the jobs that can't be done in time, and as many others as callers wait that
// could not be told in time. It ends the withdrawn jobs for which it is time.
func (c *Coordinator) withdrawLate(p drain.Plan) {
	now := c.now()
	var rest, withdrawn []submission
	for _, s := range c.unanswered() {
		switch {
		case s.known != nil:
			withdrawn = append(withdrawn, s)
		case !p.Allows(now, s.needed):
			s.withdraw(now, p, s.needed, s.begun)
		default:
			rest = append(rest, s)
		}
	}
	endUnsettled(withdrawn, now, len(rest)+len(withdrawn)-p.MaxWaiting(now))
	excess := len(rest) - p.MaxWaiting(now.Add(settleLead+stopCheckInterval))
	if excess <= 0 {
		return
	}
	slices.SortFunc(rest, func(a, b submission) int {
		return cmp.Or(cmp.Compare(b.needed, a.needed), cmp.Compare(b.Arrived, a.Arrived))
	})
	for _, s := range rest[:excess] {
		s.withdraw(now, p, s.needed, s.begun)
	}
}

// endUnsettled ends the withdrawn jobs for which the gates have had settleTimeout at now, and at least
// n of them, those first that have waited the longest.
func endUnsettled(withdrawn []submission, now boot.Time, n int) {
	slices.SortFunc(withdrawn, func(a, b submission) int { return cmp.Compare(a.known.at, b.known.at) })
	for i, s := range withdrawn {
		if i < n || now >= s.known.at.Add(settleTimeout) {
			s.endWithdrawn()
		}
	}
}

// unanswered returns the submissions that wait for their answers.
func (c *Coordinator) unanswered() []submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []submission
	add := func(e *execution, begun bool) {
		if w, ended := e.withdrawalState(); !ended {
			all = append(all, submission{execution: e, known: w, needed: c.timeNeeded(e, 0), begun: begun})
		}
	}
	for _, e := range c.jobs {
		add(e, false)
		for _, w := range e.waiting {
			add(w, e.hasBegun())
		}
	}
	return all
}

// withdrawIfTooLate withdraws a job that can't be done before the process ends. The wait is what its
// next task is expected to wait for its start. It reports whether the job is withdrawn.
func (c *Coordinator) withdrawIfTooLate(e *execution, wait time.Duration) bool {
	p := c.stopPlan.Load()
	if p == nil {
		return false
	}
	now := c.now()
	if needed := c.timeNeeded(e, wait); !p.Allows(now, needed) {
		e.withdraw(now, *p, needed, false)
	}
	return e.isWithdrawn()
}

// timeNeeded returns the least time until a job is done whose next task waits for its start as long as
// given. A job that has not begun is reckoned with the expected run times and that wait: refused now, its
// caller comes to another entry in time. Any other is reckoned with the least run times of the
// tasks that are to be placed.
func (c *Coordinator) timeNeeded(e *execution, wait time.Duration) time.Duration {
	percent := time.Duration(100)
	if e.hasBegun() {
		wait, percent = 0, leastRunTimePercent
	}
	runTimes := make([]time.Duration, len(e.Steps))
	for i, s := range e.Steps {
		runTimes[i] = c.runTimes.Estimate(e.Route.Name, s.DeclaredRunTime)
		if s.DeclaredRunTime > 0 {
			runTimes[i] = min(runTimes[i], s.DeclaredRunTime)
		}
		runTimes[i] = runTimes[i] * percent / 100
	}
	return wait + e.longestChain(runTimes)
}

// longestChain returns the time that the longest chain of steps takes, given the run time of a task of
// each step. Tasks in flight may end at any moment.
func (e *execution) longestChain(runTimes []time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var longest time.Duration
	ends := make([]time.Duration, len(e.Steps))
	for i, s := range e.Steps {
		for _, dependency := range s.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		if e.steps[i].unfinished > e.steps[i].inFlight {
			ends[i] += runTimes[i]
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// hasBegun reports whether a task may have started, or may still start at a gate.
func (e *execution) hasBegun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mayHaveStarted()
}

// isWithdrawn reports whether the job is withdrawn.
func (e *execution) isWithdrawn() bool {
	w, _ := e.withdrawalState()
	return w != nil
}

// withdrawalState returns the withdrawal of the job, nil if it is not withdrawn, and whether the
// job has ended.
func (e *execution) withdrawalState() (w *withdrawal, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.withdrawal, e.answer != nil
}

// withdraw withdraws the job at now, unless it has ended or is withdrawn. It ends at once if no task is
// in flight. If begun is set, a task of an earlier submission may have started.
func (e *execution) withdraw(now boot.Time, p drain.Plan, needed time.Duration, begun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answer != nil || e.withdrawal != nil {
		return
	}
	e.started = e.started || begun
	e.withdrawal = &withdrawal{
		at: now, needed: needed, left: p.AnswerBy.Sub(now), unplaced: e.unfinishedTasks - e.inFlight, inFlight: e.inFlight,
	}
	close(e.withdrawn)
	e.endIfWithdrawn()
}

// endIfWithdrawn ends a job that is withdrawn and has no task in flight. The caller holds mu.
func (e *execution) endIfWithdrawn() {
	if e.withdrawal != nil && e.inFlight == 0 {
		e.end(e.stopAnswer())
	}
}

// endWithdrawn ends a job that is withdrawn, though gates have not told what became of its tasks.
func (e *execution) endWithdrawn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(e.stopAnswer())
}

// stopAnswer returns the answer to a job that the process can't wait for. The caller holds mu.
func (e *execution) stopAnswer() Answer {
	if e.mayHaveStarted() {
		return Answer{State: Abandoned, Reason: cause.Stopping}
	}
	return Answer{State: Refused, Reason: cause.Stopping, RetryAfter: ElsewhereDelay}
}

// traceWithdrawal logs what a withdrawn job waited for, and what its callers are told.
func (c *Coordinator) traceWithdrawal(e *execution, told string) {
	e.mu.Lock()
	w, begun, callers := e.withdrawal, e.started, e.callers
	e.mu.Unlock()
	if w == nil {
		return
	}
	c.trace("job_withdrawn", "job", e.ID, "told", told, "callers", callers, "begun", begun, "unplaced", w.unplaced, "running", w.inFlight,
		"needed", w.needed, "left", w.left, "settled", c.now().Sub(w.at))
}
