package coord

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// maxTakeovers is how often a gate is taken over for a task. It bounds the refusals of a gate that
// goes on to refuse the task.
const maxTakeovers = 3

// takeOver makes the gate that has refused a task in reply, since its job was revoked for another
// entry, take it. It reports false, and does nothing, unless the job was submitted here after it was
// revoked: then the entry for which it was has it no more, or gives it up now. The task is then placed
// at that gate if it can run it, since the others may have the same revocation, or at another one if the
// gate does not answer any more.
func (c *Coordinator) takeOver(e *execution, ts *taskState, reply msgs.TaskReply) bool {
	revokedFor := time.Duration(reply.RevokedFor) * time.Millisecond
	if c.RevokeAt == nil || c.GiveUpElsewhere == nil || ts.takeovers[ts.gate] == maxTakeovers || revokedFor <= e.lastArrivedFor(c.now()) {
		return false
	}
	if ts.takeovers == nil {
		ts.takeovers = map[string]int{}
	}
	ts.takeovers[ts.gate]++
	c.giveUpOnce(e)
	taken := c.RevokeAt(e.ctx, ts.gate, e.ID)
	if taken {
		ts.takenOver = ts.gate
	}
	c.trace("job_taken_over", "job", e.ID, "task", ts.name, "gate", ts.gate, "revoked", revokedFor, "taken", taken)
	return true
}

// giveUpOnce makes the other entries give up the job, and waits until they have; once, however many of
// its tasks are refused.
func (c *Coordinator) giveUpOnce(e *execution) {
	e.mu.Lock()
	first := e.takenOver == nil
	if first {
		e.takenOver = make(chan struct{})
	}
	done := e.takenOver
	e.mu.Unlock()
	if first {
		c.GiveUpElsewhere(e.ctx, e.ID, true)
		close(done)
		return
	}
	select {
	case <-done:
	case <-e.ctx.Done():
	}
}

// lastArrivedFor returns how long ago, at now, the latest submission arrived.
func (e *execution) lastArrivedFor(now boot.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastArrived)
}
