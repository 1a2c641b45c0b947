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
	ctx      context.Context
	deadline time.Time
	home     *Home
	life     *life
	args     *msgs.Run

	stop     chan struct{} // closed when no further task is to be started
	stopOnce sync.Once
}

// result is the outcome of one task of a job.
type result struct {
	task int
	starts.Result
}

// begin runs the job that the ledger admitted, until its outcome is settled. The
// caller's context ends at the job's deadline.
func (h *Home) begin(caller context.Context, l *life, rec *ledger.Record, args *msgs.Run) {
	deadline, _ := caller.Deadline()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(h.LedgerOptions.OutcomeGrace()))
	j := &job{ctx: ctx, deadline: deadline, home: h, life: l, args: args, stop: make(chan struct{})}
	h.running.Add(1)
	go func() {
		defer h.running.Add(-1)
		defer cancel()
		outcome := j.run()
		if !l.ledger.Finish(rec, outcome) {
			h.settleElsewhere(rec, outcome)
		}
	}()
}

func (j *job) run() ledger.Outcome {
	h := j.home
	if reason := h.admitLimits(j.args, h.Clock.Now()); reason != "" {
		return notRun(reason)
	}
	defer h.limiter.Release(j.args.Entry, len(j.args.Tasks))
	if !h.picker.HasService(j.args.Service) {
		return notRun(NoGate)
	}
	if len(j.args.Tasks) == 1 {
		return outcomeOf([]result{{task: 0, Result: j.place(0)}}, 1)
	}
	return j.gather()
}

// gather runs all tasks and waits until the outcome of the job is known.
func (j *job) gather() ledger.Outcome {
	n := len(j.args.Tasks)
	results := make(chan result, n)
	for i := range n {
		go func() { results <- result{task: i, Result: j.place(i)} }()
	}
	got := make([]result, 0, n)
	for range n {
		res := <-results
		got = append(got, res)
		if res.State == ledger.Answered {
			continue
		}
		j.halt()
		if res.State == ledger.Failed {
			break
		}
	}
	return outcomeOf(got, n)
}

// halt keeps tasks that are not yet started from being started.
func (j *job) halt() { j.stopOnce.Do(func() { close(j.stop) }) }

func (j *job) halted() bool {
	select {
	case <-j.stop:
		return true
	default:
		return false
	}
}

// waste counts a message above one a task.
func (j *job) waste(reason string) { j.home.Stats.Count("wasted." + reason) }

// outcomeOf returns the outcome of a job of n tasks from the results so far.
// It is failed if a task is known to have run and the answer can't be whole,
// unknown if a task may have run, and notrun only if none did.
func outcomeOf(got []result, n int) ledger.Outcome {
	answers := make([][]byte, n)
	answered := 0
	var worst starts.Result
	for _, r := range got {
		if r.State == ledger.Answered {
			answers[r.task] = r.Answer
			answered++
			continue
		}
		if worst.Reason == "" || rank(r.State) > rank(worst.State) {
			worst = r.Result
		}
	}
	if answered == n {
		return ledger.Outcome{State: ledger.Answered, Answers: answers}
	}
	if worst.State == ledger.NotRun && answered > 0 {
		return ledger.Outcome{State: ledger.Failed, Reason: Incomplete}
	}
	return ledger.Outcome{State: worst.State, Reason: worst.Reason}
}

func rank(s ledger.State) int {
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
