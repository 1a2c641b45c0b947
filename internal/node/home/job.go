package home

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Incomplete is the reason of a job some of whose tasks were answered, while
// others could not be started.
const Incomplete ledger.Reason = "incomplete"

// job is a job in progress. No task starts after the deadline. The context ends
// some time later, so that the outcome of tasks started before the deadline can
// still be received.
type job struct {
	ctx         context.Context
	deadline    time.Time
	home        *Home
	incarnation *incarnation
	args        *msgs.Run

	stopped  chan struct{} // closed when no more tasks may start
	stopOnce sync.Once
}

// taskResult is the result of one task of a job.
type taskResult struct {
	task int
	starts.Result
}

// startJob runs a job that the ledger admitted and records its outcome, in a
// goroutine. The deadline of callerCtx is that of the job.
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

// run runs all tasks of the job and returns its outcome.
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

// runAll runs all tasks concurrently and returns the outcome of the job. It does
// not wait for the remaining tasks once one has failed.
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

// stop prevents tasks that have not started yet from starting.
func (j *job) stop() { j.stopOnce.Do(func() { close(j.stopped) }) }

func (j *job) isStopped() bool {
	select {
	case <-j.stopped:
		return true
	default:
		return false
	}
}

// countExtraMessage counts a message in addition to the single one that each task
// needs, for the given reason.
func (j *job) countExtraMessage(reason string) { j.home.Stats.Count("wasted." + reason) }

// jobOutcome returns the outcome of a job of n tasks from the results received so
// far. The state is Answered if all tasks were answered. Otherwise it is Failed if
// a task failed, or if some were answered and none of the others may have run;
// Unknown if a task may have run; and NotRun only if none has run.
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

// severity orders the states of tasks without an answer: a job takes the state of
// the most severe one.
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
