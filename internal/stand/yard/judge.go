package yard

import (
	"fmt"
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
// without a whole answer, "unknown".
func (j *judge) answered(job, state string, tasks int) {
	j.mu.Lock()
	defer j.mu.Unlock()
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
		if j.starts[job] > 0 {
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
