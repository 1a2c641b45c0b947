package psim

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	routeAttempts = 2 // failed runs allowed for each task
	crashesToFail = 2 // targets that must crash under a task before its job may fail for that
	crashLimit    = 3 // targets that may crash under a task, and starts after that, before it is one too many
	// cancelLimit is how long after the acknowledgement of a cancel a task may still start: the bound of
	// undisturbed processes, and the longest time for which a failure keeps one from hearing of it.
	cancelLimit = 6 * time.Second
)

// checker records what targets and callers observe, and which guarantees of the
// dispatcher that violates. The zero value is ready to use.
type checker struct {
	mu            sync.Mutex
	targetsByTask map[string][]string  // addresses of the targets that run the task, one for each run
	startsByJob   map[string]int       // number of task starts
	failures      map[string]int       // runs that ended as failed, by task
	crashes       map[string]int       // targets that crashed with a run in progress, by task
	startsAfter   map[string]int       // starts after crashLimit targets had crashed, by task that crashes its targets
	cancelled     map[string]time.Time // when the cancel of a job was acknowledged
	violations    []string
	done          int                 // jobs whose callers got "done"
	refused       int                 // jobs whose callers got "refused"
	unknown       int                 // jobs without a complete answer
	failed        int                 // jobs whose callers got "failed"
	jobIDs        map[string][]string // by the state that their callers got
}

// addViolation records a violation, with the arguments of fmt.Sprintf.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// init makes the maps. The caller holds mu.
func (c *checker) init() {
	if c.targetsByTask == nil {
		c.targetsByTask, c.startsByJob = map[string][]string{}, map[string]int{}
		c.failures, c.crashes, c.startsAfter = map[string]int{}, map[string]int{}, map[string]int{}
		c.cancelled = map[string]time.Time{}
	}
}

// taskStarted records the start of a task at a target, which it crashes if it is deadly. It is a
// violation if the task already runs somewhere, if its job was cancelled before, or if it has crashed
// too many targets.
func (c *checker) taskStarted(task, target string, deadly bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if deadly && c.crashes[task] >= crashLimit {
		c.startsAfter[task]++
		if c.startsAfter[task] >= crashLimit {
			c.violations = append(c.violations, fmt.Sprintf("task %s starts for the third time after %d targets have crashed under it", task, c.crashes[task]))
		}
	}
	if at, ok := c.cancelled[jobOf(task)]; ok && time.Since(at) > cancelLimit {
		c.violations = append(c.violations, fmt.Sprintf("task %s starts %v after the cancel of its job was acknowledged", task, time.Since(at)))
	}
	if others := c.targetsByTask[task]; len(others) > 0 {
		c.violations = append(c.violations, fmt.Sprintf("task %s runs at %s and %s at the same time", task, others[0], target))
	}
	c.targetsByTask[task] = append(c.targetsByTask[task], target)
	c.startsByJob[jobOf(task)]++
}

// taskEnded records that a run of a task at a target has ended.
func (c *checker) taskEnded(task, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets := c.targetsByTask[task]
	if i := slices.Index(targets, target); i >= 0 {
		targets = slices.Delete(targets, i, i+1)
	}
	c.targetsByTask[task] = targets
	if len(targets) == 0 {
		delete(c.targetsByTask, task)
	}
}

// taskFailed records that a run of a task has ended as failed.
func (c *checker) taskFailed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures[task]++
}

// taskCrashed records that a target has crashed with a run of a task in progress.
func (c *checker) taskCrashed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[task]++
}

// jobCancelled records that the cancel of a job was acknowledged.
func (c *checker) jobCancelled(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.cancelled[job] = time.Now()
}

// mayFail reports whether a task of a job has failed as often as its route allows, or has had enough
// targets crash under it. The caller holds mu.
func (c *checker) mayFail(job string) bool {
	for task, n := range c.failures {
		if n >= routeAttempts && jobOf(task) == job {
			return true
		}
	}
	for task, n := range c.crashes {
		if n >= crashesToFail && jobOf(task) == job {
			return true
		}
	}
	return false
}

// jobAnswered records the state that the caller of a job got: "done", "failed",
// "refused" or, without a complete answer, "unknown". A job that is done must have
// started all its tasks, and a job that was refused must have started none. The
// latter is not checked for a resubmitted job, because an earlier attempt without
// an answer may have started it.
func (c *checker) jobAnswered(job, state string, tasks int, resubmitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobIDs == nil {
		c.jobIDs = map[string][]string{}
	}
	c.jobIDs[state] = append(c.jobIDs[state], job)
	if resubmitted {
		c.jobIDs[StateResubmitted] = append(c.jobIDs[StateResubmitted], job)
	}
	switch state {
	case "done":
		c.done++
		if c.startsByJob[job] < tasks {
			c.violations = append(c.violations, fmt.Sprintf("job %s is done, but only %d of its %d tasks started", job, c.startsByJob[job], tasks))
		}
	case "failed":
		c.failed++
		if !c.mayFail(job) {
			c.violations = append(c.violations, fmt.Sprintf("job %s has failed, but no task of it has failed so often", job))
		}
	case "refused":
		c.refused++
		if c.startsByJob[job] > 0 && !resubmitted {
			c.violations = append(c.violations, fmt.Sprintf("job %s was refused, but has started", job))
		}
	default:
		c.unknown++
	}
}

// jobOf returns the job ID at the start of a task name, which ends at the first
// dot.
func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

// Verdict counts the jobs by the state that their callers got, and lists the
// violations of the dispatcher's guarantees.
type Verdict struct {
	Done       int      `json:"done"`
	Failed     int      `json:"failed"`
	Refused    int      `json:"refused"`
	Unknown    int      `json:"unknown"` // without a complete answer
	Violations []string `json:"faults"`
}

// Verdict returns the verdict on all jobs so far.
func (p *Platform) Verdict() Verdict {
	c := &p.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	return Verdict{Done: c.done, Failed: c.failed, Refused: c.refused, Unknown: c.unknown, Violations: append([]string{}, c.violations...)}
}

// StateResubmitted selects, for JobIDs, the jobs that were submitted more than
// once because an attempt got no complete answer.
const StateResubmitted = "again"

// JobIDs returns the IDs of the jobs whose callers got the given state, or, for
// StateResubmitted, of the jobs that were submitted more than once.
func (p *Platform) JobIDs(state string) []string {
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	return slices.Clone(p.checker.jobIDs[state])
}

// MetricsAddr returns the address at which an entry serves its metrics and status.
// Entries are numbered from 1.
func (p *Platform) MetricsAddr(entry int) string { return address(entry, p.ports.metrics) }

// Starts returns how many tasks of a job have started.
func (p *Platform) Starts(job string) int {
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	return p.checker.startsByJob[job]
}
