package psim

import (
	"fmt"
	"slices"
	"sync"
)

// judge gathers what targets and callers saw.
type judge struct {
	mu      sync.Mutex
	running map[string]string // target by task
	starts  map[string]int    // of tasks by job
	faults  []string
	done    int
	refused int
	unknown int
	failed  int
	ids     map[string][]string // of jobs by what their callers got
}

func (j *judge) fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// started notes the start of a task, which must run nowhere.
func (j *judge) started(task, target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running == nil {
		j.running, j.starts = map[string]string{}, map[string]int{}
	}
	if other, ok := j.running[task]; ok {
		j.faults = append(j.faults, fmt.Sprintf("%s runs at %s and %s at once", task, other, target))
	}
	j.running[task] = target
	j.starts[jobOf(task)]++
}

func (j *judge) over(task, target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running[task] == target {
		delete(j.running, task)
	}
}

// answered notes what the caller of a job got: "done", "failed", "refused" or,
// without a whole answer, "unknown". Of a job that was asked for again, an earlier
// try without an answer may have started it, so only the refusal of an only try
// says that nothing has.
func (j *judge) answered(job, state string, tasks int, again bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ids == nil {
		j.ids = map[string][]string{}
	}
	j.ids[state] = append(j.ids[state], job)
	if again {
		j.ids[StateResubmitted] = append(j.ids[StateResubmitted], job)
	}
	switch state {
	case "done":
		j.done++
		if j.starts[job] < tasks {
			j.faults = append(j.faults, fmt.Sprintf("%s is done with %d of %d tasks", job, j.starts[job], tasks))
		}
	case "failed":
		j.failed++
	case "refused":
		j.refused++
		if j.starts[job] > 0 && !again {
			j.faults = append(j.faults, fmt.Sprintf("%s was refused, but has started", job))
		}
	default:
		j.unknown++
	}
}

func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}

// Verdict is what callers got and what must not be.
type Verdict struct {
	Done       int      `json:"done"`
	Failed     int      `json:"failed"`
	Refused    int      `json:"refused"`
	Unknown    int      `json:"unknown"`
	Violations []string `json:"faults"`
}

// Verdict returns what was seen so far.
func (y *Platform) Verdict() Verdict {
	j := &y.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	return Verdict{Done: j.done, Failed: j.failed, Refused: j.refused, Unknown: j.unknown, Violations: append([]string{}, j.faults...)}
}

// StateAgain stands for the jobs that callers had to ask for more than once.
const StateResubmitted = "again"

// Jobs returns the IDs of the jobs whose callers got the given state, and of
// StateAgain.
func (y *Platform) JobIDs(state string) []string {
	y.judge.mu.Lock()
	defer y.judge.mu.Unlock()
	return slices.Clone(y.judge.ids[state])
}

// Metrics returns the metrics address of an entry.
func (y *Platform) MetricsAddr(entry int) string { return address(entry, y.ports.metrics) }
