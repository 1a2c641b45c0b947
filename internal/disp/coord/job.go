package coord

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/stall"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Step is a group of identical tasks of a job.
type Step struct {
	Count           int           // number of tasks
	Size            rsrc.Vector   // resources that each task requires
	DeclaredRunTime time.Duration // the caller's estimate per task on a target of speed 1; 0 for none
	DependsOn       []int         // indexes of the steps that must be done before this one starts
	RequiredLabel   string        // label that the target must have; empty for any target
	PreferredLabel  string        // label of the rack that holds the step's data; empty for no preference
	MaxPerTarget    int           // limit of concurrent tasks of the step on one target; 0 for no limit
	Image           string        // part of the kind of its tasks; may be empty

	kind string // of its tasks; see interf.Kind
}

// Job is a caller's request: steps of tasks that are run for one route.
type Job struct {
	ID            string
	Spec          string // passed unchanged to the target with each task
	Route         route.Route
	ConfigVersion int64 // version of the configuration that Route comes from
	Steps         []Step
	Arrived       boot.Time // when the entry received the request
	WaitsUntil    boot.Time // when the caller stops waiting for the answer; 0 if unknown
	// HasLeft reports whether the caller is known to have closed its connection. It tells
	// before the end of the context of Submit does. Nil means never.
	HasLeft func() bool
	// NewConnection means that the request is the first on its connection. Its caller may have
	// lost another connection just now, and with it the answer of another entry.
	NewConnection bool
}

// State is the state of a job.
type State int

const (
	// Waiting means that no task has been sent to a gate, or that the gates have
	// refused all that were sent.
	Waiting State = iota
	// Working means that a task is at a gate or may have started.
	Working
	// Done means that all tasks have succeeded.
	Done
	// Failed means that a task has failed as often as the route allows, or that targets have
	// provably crashed under it.
	Failed
	// Refused means that no task has started and none will start.
	Refused
	// Abandoned means that the job was given up for another entry, or that its callers have disconnected
	// or have stopped waiting, or that a task was lost with its target too often, or that the process is
	// stopping. It may have run.
	Abandoned
	// Cancelled means that the job was cancelled, and that none of its tasks will be placed.
	Cancelled
)

// Answer is the outcome of a job.
type Answer struct {
	State      State
	Reason     string        // a reason of package cause; empty if the job is done
	RetryAfter time.Duration // if refused, the delay before the caller may retry; 0 if a retry is useless
}

// execution is the state of a job while it runs and until all its tasks have left
// the gates.
type execution struct {
	Job
	ctx         context.Context // ends when the job ends
	cancel      context.CancelFunc
	stepDone    []chan struct{} // one per step, closed when all tasks of the step are done
	outstanding sync.WaitGroup  // tasks that may still be at a gate, even after the job has ended
	drained     chan struct{}   // closed when the job has ended and outstanding is empty
	concluded   sync.Once       // the end of the job is reported once, whoever waited for it
	confirming  chan struct{}   // holds a value while it is checked whether a caller still waits
	withdrawn   chan struct{}   // closed when the job is withdrawn
	confirmedAt atomic.Int64    // boot.Time as of which a caller was known to wait
	waiting     []*execution    // submissions that wait for drained; guarded by Coordinator.mu

	mu              sync.Mutex
	hasLeft         []func() bool  // HasLeft of all submissions
	callers         int            // submissions whose connection, as far as is known, still exists
	lastArrived     boot.Time      // when the latest submission arrived
	givenUp         *giveUpRound   // latest one, after the job was revoked for another entry; nil before
	waitsUntil      boot.Time      // when the last caller stops waiting for the answer; 0 if unknown
	inFlight        int            // tasks whose outcome the job is waiting for
	started         bool           // a task has started or may have started
	unfinishedTasks int            // tasks of all steps that are not done
	steps           []stepCounts   // one per step
	withdrawal      *withdrawal    // nil unless the job is withdrawn
	answer          *Answer        // nil until the job has ended
	retries         int            // unsuccessful placements of all tasks before the job ended
	tasksByTarget   map[string]int // tasks at a target, by stepTargetKey
}

// stepCounts counts the tasks of a step.
type stepCounts struct {
	unfinished int // tasks that are not done
	inFlight   int // those of them whose outcome the job is waiting for
}

// newExecution returns the execution of a job with one caller.
func newExecution(j Job) *execution {
	e := &execution{
		Job: j, callers: 1, lastArrived: j.Arrived, waitsUntil: j.WaitsUntil, tasksByTarget: map[string]int{},
		drained: make(chan struct{}), confirming: make(chan struct{}, 1), withdrawn: make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.confirmedAt.Store(int64(stall.EarliestSend(j.Arrived)))
	e.hasLeft = []func() bool{j.HasLeft}
	for _, s := range j.Steps {
		e.unfinishedTasks += s.Count
		e.steps = append(e.steps, stepCounts{unfinished: s.Count})
		e.stepDone = append(e.stepDone, make(chan struct{}))
	}
	return e
}

// submissions returns e and those that wait for its end; none if e is nil. The caller holds
// Coordinator.mu.
func (e *execution) submissions() []*execution {
	if e == nil {
		return nil
	}
	return append([]*execution{e}, e.waiting...)
}

// finish ends the job with the answer a. It does nothing if the job has ended.
func (e *execution) finish(a Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(a)
}

// end is finish for callers that hold mu.
func (e *execution) end(a Answer) {
	if e.answer == nil {
		e.answer = &a
		e.cancel()
	}
}

// refuse ends the job with the refusal a. It reports false, and does nothing, if a
// task may have started or may still start at a gate, or if the job has ended.
func (e *execution) refuse(a Answer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answer != nil || e.mayHaveStarted() {
		return false
	}
	e.end(a)
	return true
}

// mayHaveStarted reports whether a task may have started, or may still start at a gate. The caller
// holds mu.
func (e *execution) mayHaveStarted() bool { return e.started || e.inFlight > 0 }

// join adds the caller of another submission; a WaitsUntil of 0, for unknown, counts as
// later than any other. It reports false, and does nothing, if the job has ended.
func (e *execution) join(j Job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answer != nil {
		return false
	}
	e.callers++
	e.lastArrived = j.Arrived
	e.hasLeft = append(e.hasLeft, j.HasLeft)
	if j.WaitsUntil == 0 || e.waitsUntil != 0 && j.WaitsUntil > e.waitsUntil {
		e.waitsUntil = j.WaitsUntil
	}
	return true
}

// abandonIfArrivedBy ends the job for the given reason if its latest submission arrived at
// latest or before. It reports whether it ended the job.
func (e *execution) abandonIfArrivedBy(latest boot.Time, reason string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answer != nil || e.lastArrived > latest {
		return false
	}
	e.end(Answer{State: Abandoned, Reason: reason})
	return true
}

// finishIfLeft ends the job if all its callers are known to have closed their connections.
// It reports whether the job has ended.
func (e *execution) finishIfLeft() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	stays := func(hasLeft func() bool) bool { return hasLeft == nil || !hasLeft() }
	if !slices.ContainsFunc(e.hasLeft, stays) {
		e.end(Answer{State: Abandoned, Reason: cause.CallerDisconnected})
	}
	return e.answer != nil
}

// leave removes a caller. The last one to leave ends the job. It reports whether the
// job has ended.
func (e *execution) leave() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.callers--
	if e.callers == 0 {
		e.end(Answer{State: Abandoned, Reason: cause.CallerDisconnected})
	}
	return e.answer != nil
}

// remainingWait returns for how long the last caller still waits for the answer, or the
// longest duration if that is unknown.
func (e *execution) remainingWait(now boot.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waitsUntil == 0 {
		return math.MaxInt64
	}
	return e.waitsUntil.Sub(now)
}

// finishIfUnawaited ends the job if its callers have stopped waiting for the answer by
// now. It reports whether the job has ended.
func (e *execution) finishIfUnawaited(now boot.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endIfUnawaited(now)
}

// endIfUnawaited is finishIfUnawaited for callers that hold mu.
func (e *execution) endIfUnawaited(now boot.Time) bool {
	if e.waitsUntil != 0 && now >= e.waitsUntil {
		e.end(Answer{State: Abandoned, Reason: cause.WaitOver})
	}
	return e.answer != nil
}

// beginSend counts a task of a step as in flight and outstanding before it is sent at now. It
// reports false, and counts nothing, if the job has ended or is withdrawn. It ends the job first if
// its callers have stopped waiting.
func (e *execution) beginSend(step int, now boot.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endIfUnawaited(now) || e.ctx.Err() != nil || e.withdrawal != nil {
		return false
	}
	e.inFlight++
	e.steps[step].inFlight++
	e.outstanding.Add(1)
	return true
}

// hasEnded reports whether the job has ended.
func (e *execution) hasEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answer != nil
}

// endSend records that the job no longer waits for a task of a step that it sent, and the result. The
// last task that is done ends the job, and so does the last one in flight if the job is withdrawn.
func (e *execution) endSend(step int, result msgs.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	e.steps[step].inFlight--
	e.started = e.started || result != msgs.Refused
	if result == msgs.Done {
		e.unfinishedTasks--
		e.steps[step].unfinished--
	}
	if e.unfinishedTasks == 0 {
		e.end(Answer{State: Done})
	}
	e.endIfWithdrawn()
}

// state returns the current state of the job.
func (e *execution) state() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.answer != nil:
		return e.answer.State
	case e.mayHaveStarted():
		return Working
	}
	return Waiting
}

// belowLimit reports whether the step and target of key have fewer than limit tasks;
// a limit of 0 means no limit.
func (e *execution) belowLimit(key string, limit int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return limit == 0 || e.tasksByTarget[key] < limit
}

// reserve counts a task for the step and target of key. It reports false, and counts
// nothing, if there are limit tasks already; a limit of 0 means no limit.
func (e *execution) reserve(key string, limit int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if limit > 0 && e.tasksByTarget[key] >= limit {
		return false
	}
	e.tasksByTarget[key]++
	return true
}

// release undoes one successful call of reserve.
func (e *execution) release(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tasksByTarget[key]--
}
