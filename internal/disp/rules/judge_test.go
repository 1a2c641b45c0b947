package rules

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

const (
	drainTime  = 2 * time.Second // within which a leaving target gets nothing new
	cancelTime = 3 * time.Second // within which a job whose caller left is over
)

// judge knows what targets and callers saw, and notes what must not be.
type judge struct {
	mu     sync.Mutex
	begun  time.Time
	jobs   map[string]*verdict
	runs   map[string]string // target by task that runs
	faults []string
}

// verdict is what is known of one job.
type verdict struct {
	tasks    int
	attempts int
	starts   int
	done     map[string]bool
	failed   map[string]int // runs that ended failed, by task
	told     map[string]int // of these, what the entry was told in this try
	refused  int            // answers "not run" of tries that had no start before
	tries    int
	left     time.Time // when its caller left
	answer   coord.State
	answered bool
}

func newJudge() *judge {
	return &judge{begun: time.Now(), jobs: map[string]*verdict{}, runs: map[string]string{}}
}

func (j *judge) fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.note(format, args...)
}

func (j *judge) note(format string, args ...any) {
	j.faults = append(j.faults, time.Since(j.begun).String()+" "+fmt.Sprintf(format, args...))
}

// expect notes a job that a caller is about to submit.
func (j *judge) expect(id string, tasks, attempts int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id] = &verdict{tasks: tasks, attempts: attempts, done: map[string]bool{}, failed: map[string]int{}}
}

// try notes that a caller submits a job once more.
func (j *judge) try(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].tries++
	j.jobs[id].told = map[string]int{}
}

// tell notes that an entry is told that a run of a task has failed. A gate that
// dies may take what it knows of a run with it, and the task is run again; that
// is allowed for jobs that are not stored.
func (j *judge) tell(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	j.jobs[id].told[task]++
}

// start notes that a run of a task begins.
func (j *judge) start(task, at string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	v := j.jobs[id]
	if v == nil {
		j.note("UNASKED: %s starts at %s, and nobody asked for it", task, at)
		return
	}
	v.starts++
	if other, ok := j.runs[task]; ok {
		j.note("TWICE: %s starts at %s and runs at %s", task, at, other)
	}
	j.runs[task] = at
	if v.answered && v.answer == coord.Refused && v.tries == 1 {
		j.note("REFUSED: %s starts at %s after its job was refused", task, at)
	}
	if !v.left.IsZero() && time.Since(v.left) > cancelTime {
		j.note("UNASKED: %s starts %v after its caller left", task, time.Since(v.left))
	}
	if v.told[task] >= v.attempts {
		j.note("BUDGET: %s starts after %d of %d attempts failed", task, v.told[task], v.attempts)
	}
}

// over notes that a run has ended.
func (j *judge) over(task, at string, how targ.Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.runs[task] == at {
		delete(j.runs, task)
	}
	id, _, _ := strings.Cut(task, ".")
	v := j.jobs[id]
	if v == nil {
		return
	}
	if !v.left.IsZero() && time.Since(v.left) > cancelTime {
		j.note("UNASKED: %s runs until %v after its caller left", task, time.Since(v.left))
	}
	switch how {
	case targ.EndedDone:
		v.done[task] = true
	case targ.EndedFailed:
		v.failed[task]++
	}
}

// leave notes that a job's caller leaves.
func (j *judge) leave(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if v := j.jobs[id]; v != nil && !v.answered && v.left.IsZero() {
		v.left = time.Now()
	}
}

// answer notes what the caller of a job got; Abandoned stands for no answer.
func (j *judge) answer(id string, a coord.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.jobs[id]
	v.answered, v.answer = true, a.State
	switch a.State {
	case coord.Done:
		if len(v.done) < v.tasks {
			j.note("LOST: %s is said to be done with %d of %d tasks", id, len(v.done), v.tasks)
		}
	case coord.Failed:
		most := 0
		for _, n := range v.failed {
			most = max(most, n)
		}
		if most < v.attempts {
			j.note("LOST: %s is said to have failed after %d of %d attempts", id, most, v.attempts)
		}
	case coord.Refused:
		if v.starts > 0 && v.tries == 1 {
			j.note("REFUSED: %s is refused after %d starts", id, v.starts)
		}
	}
}

// count returns the number of jobs that callers got a state for.
func (j *judge) count(s coord.State) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, v := range j.jobs {
		if v.answered && v.answer == s {
			n++
		}
	}
	return n
}
