package coord

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// maxCrashes is the number of targets that may crash under a task before its job is
	// given up: a task that crashes whatever runs it must not take the fleet down.
	maxCrashes = 2
	// crashRetention is how long crashes are remembered. It is longer than callers wait
	// before they submit a job again.
	crashRetention = 10 * time.Second
)

// crashLog counts the targets that crashed under tasks, over all submissions of their jobs
// to this entry. The zero value is empty. It is not safe for concurrent use.
type crashLog struct{ tasks map[string]crashRecord }

// crashRecord is how often a target crashed under a task, and when last.
type crashRecord struct {
	count int
	last  boot.Time
}

// add counts a crash and forgets old ones.
func (l *crashLog) add(task string, now boot.Time) {
	if l.tasks == nil {
		l.tasks = map[string]crashRecord{}
	}
	for name, r := range l.tasks {
		if now.Sub(r.last) > crashRetention {
			delete(l.tasks, name)
		}
	}
	l.tasks[task] = crashRecord{l.tasks[task].count + 1, now}
}

// count returns the number of crashes under a task.
func (l *crashLog) count(task string) int { return l.tasks[task].count }

// recordCrash counts a crash if a task was lost with one.
func (c *Coordinator) recordCrash(task string, reply msgs.TaskReply) {
	if reply.Reason != cause.TargetCrashed && reply.Reason != cause.TargetRestarted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.add(task, c.now())
}

// crashesTargets reports whether too many targets have crashed under a task.
func (c *Coordinator) crashesTargets(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.count(task) >= maxCrashes
}
