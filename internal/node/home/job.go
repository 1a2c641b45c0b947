package home

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Incomplete is the reason of a job of which some tasks ran and others could
// not be started.
const Incomplete ledger.Reason = "incomplete"

// job is one job in progress. No task is started past its deadline; its context
// ends some time later, so that what was started by then can still be learned.
type job struct {
	ctx         context.Context
	deadline    time.Time
	home        *Home
	incarnation *incarnation
	args        *msgs.Run

	stopped  chan struct{} // closed when no further task is to be started
	stopOnce sync.Once
}

// result is the outcome of one task of a job.
type taskResult struct {
	task int
	starts.Result
}

// begin runs the job that the ledger admitted, until its outcome is settled. The
// caller's context ends at the job's deadline.
func (h *Home) startJob(callerCtx context.Context, inc *incarnation, rec *ledger.Record, args *msgs.Run) {
	deadline, _ := callerCtx.Deadline()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(h.LedgerOptions.OutcomeGrace()))
	j := &job{ctx: ctx, deadline: deadline, home: h, incarnation: inc, args: args, stopped: make(chan struct{})}
	h.running.Add(1)
	go func() {
		defer h.running.Add(-1)
		defer cancel()
		outcome := j.run()
		if !inc.ledger.Finish(rec, outcome) {
			h.sendOutcome(rec, outcome)
		}
	}()
}

func (j *job) run() ledger.Outcome {
	h := j.home
	if reason := h.acquireLimits(j.args, h.Clock.Now()); reason != "" {
		return notRunOutcome(reason)
	}
	defer h.limiter.Release(j.args.Entry, len(j.args.Tasks))
	if !h.picker.HasService(j.args.Service) {
		return notRunOutcome(NoGate)
	}
	if len(j.args.Tasks) == 1 {
		return jobOutcome([]taskResult{{task: 0, Result: j.runTask(0)}}, 1)
	}
	return j.runAll()
}

// gather runs all tasks and waits until the outcome of the job is known.
func (j *job) runAll() ledger.Outcome {
	n := len(j.args.Tasks)
	results := make(chan taskResult, n)
	for i := range n {
		go func() { results <- taskResult{task: i, Result: j.runTask(i)} }()
	}
	received := make([]taskResult, 0, n)
	for range n {
		res := <-results
		received = append(received, res)
		if res.State == ledger.Answered {
			continue
		}
		j.stop()
		if res.State == ledger.Failed {
			break
		}
	}
	return jobOutcome(received, n)
}

// halt keeps tasks that are not yet started from being started.
func (j *job) stop() { j.stopOnce.Do(func() { close(j.stopped) }) }

func (j *job) isStopped() bool {
	select {
	case <-j.stopped:
		return true
	default:
		return false
	}
}

// waste counts a message above one a task.
func (j *job) countExtraMessage(reason string) { j.home.Stats.Count("wasted." + reason) }

// outcomeOf returns the outcome of a job of n tasks from the results so far.
// It is failed if a task is known to have run and the answer can't be whole,
// unknown if a task may have run, and notrun only if none did.
func jobOutcome(results []taskResult, n int) ledger.Outcome {
	answers := make([][]byte, n)
	answered := 0
	var mostSevere starts.Result
	for _, r := range results {
		if r.State == ledger.Answered {
			answers[r.task] = r.Answer
			answered++
			continue
		}
		if mostSevere.Reason == "" || severity(r.State) > severity(mostSevere.State) {
			mostSevere = r.Result
		}
	}
	if answered == n {
		return ledger.Outcome{State: ledger.Answered, Answers: answers}
	}
	if mostSevere.State == ledger.NotRun && answered > 0 {
		return ledger.Outcome{State: ledger.Failed, Reason: Incomplete}
	}
	return ledger.Outcome{State: mostSevere.State, Reason: mostSevere.Reason}
}

func severity(s ledger.State) int {
	switch s {
	case ledger.Failed:
		return 3
	case ledger.Unknown:
		return 2
	case ledger.NotRun:
		return 1
	}
	return 0
}
