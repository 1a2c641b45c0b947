package coord

import (
	"fmt"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/loss"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// RecordLosses records losses of runs with a target. They may be of tasks of any entry, which may come
// here next.
func (c *Coordinator) RecordLosses(losses []msgs.Loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for _, l := range losses {
		c.losses.Add(l, now)
	}
}

// finishIfLost ends the job if a task has been lost too often with its target. It reports
// whether it has ended the job.
func (c *Coordinator) finishIfLost(e *execution, task string) bool {
	c.mu.Lock()
	verdict := c.losses.Verdict(task, c.now())
	c.mu.Unlock()
	switch verdict {
	case loss.Fail:
		e.finish(Answer{State: Failed, Reason: cause.CrashesTargets})
	case loss.Abandon:
		e.finish(Answer{State: Abandoned, Reason: cause.LostTargets})
	default:
		return false
	}
	c.trace("task_given_up", "job", e.ID, "task", task, "verdict", verdict)
	return true
}

// finishIfAnyLost does the same for all tasks of a job, of which losses may be known from an earlier
// submission. If it ends the job, those of each task are remembered from then on, also where they are
// too few.
func (c *Coordinator) finishIfAnyLost(e *execution) bool {
	c.mu.Lock()
	none := c.losses.Empty(c.now())
	c.mu.Unlock()
	if none {
		return false
	}
	for i, s := range e.Steps {
		for j := range s.Count {
			if c.finishIfLost(e, taskName(e.ID, i, j)) {
				c.keepLosses(e)
				return true
			}
		}
	}
	return false
}

// keepLosses makes the losses of all tasks of a job be remembered from now on.
func (c *Coordinator) keepLosses(e *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for i, s := range e.Steps {
		for j := range s.Count {
			c.losses.Keep(taskName(e.ID, i, j), now)
		}
	}
}

// taskName returns the name of a task of a job.
func taskName(job string, stepIndex, taskIndex int) string {
	return fmt.Sprintf("%s.0.%d.%d", job, stepIndex, taskIndex)
}
