package psim

import (
	"context"
	"encoding/json"
	"time"
)

// runKey identifies a run at a target. Runs of one task may overlap there while the
// earlier one is being stopped.
type runKey struct {
	task   string
	number int // counts the runs of the task
}

// run is a run of a task.
type run struct {
	milliCPU  int // thousandths of a core in use
	startedAt time.Time
	dueAt     time.Time // when the run ends by itself
	stopsAt   time.Time // when the run ends because it was stopped; zero if it wasn't
	unlisted  bool      // the run is not listed while it is being stopped
	crash     Crash     // how the run crashes the target
}

// jobSpec is the part of a job that only targets read: what each task does.
type jobSpec struct {
	RunTimeMS int   `json:"ms"`
	MilliCPU  int   `json:"cpu"` // thousandths of a core
	Crash     Crash `json:"crash,omitempty"`
}

// startRun starts a run of a task and returns the empty string, or the reason for
// the refusal. A run that is already running is left as it is.
func (t *target) startRun(o order) string {
	key := runKey{o.Task, o.Run}
	if t.runs[key] != nil {
		return ""
	}
	switch {
	case o.Run <= t.highestRun[o.Task]:
		return "old"
	case o.DeadlineMS <= t.clockOfIncarnation()():
		return "late"
	}
	if !t.drainSentAt.IsZero() && o.receivedAt.Sub(t.drainSentAt) > maxDrainDelay {
		t.checker.addViolation("task %s starts at %s %v after the target reported that it drains", o.Task, t.addr, o.receivedAt.Sub(t.drainSentAt))
	}
	var spec jobSpec
	if err := json.Unmarshal([]byte(o.SpecText), &spec); err != nil {
		t.checker.addViolation("task %s: malformed spec %q", o.Task, o.SpecText)
	}
	usedMilliCPU := spec.MilliCPU
	for _, r := range t.runs {
		usedMilliCPU += r.milliCPU
	}
	if usedMilliCPU > t.milliCPU {
		t.checker.addViolation("task %s: %d of %d thousandths of a core in use at %s", o.Task, usedMilliCPU, t.milliCPU, t.addr)
	}
	if overdue := t.evacuations.overdue(t.domain); overdue > 0 {
		t.checker.addViolation("task %s starts at %s %v after %s was evacuated", o.Task, t.addr, overdue, t.domain)
	}
	t.checker.taskStarted(o.Task, t.addr, spec.Crash != NoCrash)
	now := time.Now()
	t.runs[key] = &run{milliCPU: spec.MilliCPU, startedAt: now, dueAt: now.Add(time.Duration(spec.RunTimeMS) * time.Millisecond), crash: spec.Crash}
	if spec.Crash != NoCrash {
		go t.crashAfter(spec.Crash, t.startedAt)
	}
	return ""
}

// stopRun begins to stop a run, which goes on for a while, and excludes the run if it
// hasn't started.
func (t *target) stopRun(task string, number int) {
	if r := t.runs[runKey{task, number}]; r != nil && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(t.draws.upTo(maxStopTime))
		r.unlisted = t.draws.oneOf(2) == 0
	}
	t.highestRun[task] = max(t.highestRun[task], number)
}

// endRunsLoop ends runs when they are due or the lease lapses, also while the target
// gets no orders, until ctx ends.
func (t *target) endRunsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		t.mu.Lock()
		t.endDueRuns()
		t.mu.Unlock()
	}
}

// endDueRuns ends the runs whose time is over or whose stop is complete, and all runs
// once the lease has lapsed.
func (t *target) endDueRuns() {
	now := time.Now()
	for key, r := range t.runs {
		stopped := !r.stopsAt.IsZero() && r.stopsAt.Before(r.dueAt)
		switch {
		case !t.leaseEnd.IsZero() && now.After(t.leaseEnd):
			t.endRun(key, "lapsed")
		case stopped && !now.Before(r.stopsAt):
			t.endRun(key, "stopped")
		case now.Before(r.dueAt):
		case t.failTasks:
			t.endRun(key, "failed")
		default:
			t.endRun(key, "done")
		}
	}
}

func (t *target) endRun(key runKey, outcome string) {
	delete(t.runs, key)
	t.highestRun[key.task] = max(t.highestRun[key.task], key.number)
	t.ends = append(t.ends, []any{len(t.ends) + 1, key.task, key.number, outcome, ""})
	if outcome == "failed" {
		t.checker.taskFailed(key.task)
	}
	t.checker.taskEnded(key.task, t.addr)
}
