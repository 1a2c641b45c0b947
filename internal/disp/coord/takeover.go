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

// giveUpRound is a call of GiveUpElsewhere for a job that is taken over.
type giveUpRound struct {
	arrived boot.Time     // when the latest submission before the call arrived
	done    chan struct{} // closed when the call has returned
}

// giveUpOnce makes the other entries give up the job, and waits until they have; once after each
// submission, however many of its tasks are refused. An entry to which the caller has gone in between has
// the job anew.
func (c *Coordinator) giveUpOnce(e *execution) {
	round, first := e.giveUpRound()
	if first {
		c.GiveUpElsewhere(e.ctx, e.ID, true)
		close(round.done)
		return
	}
	select {
	case <-round.done:
	case <-e.ctx.Done():
	}
}

// giveUpRound returns the round in which other entries give up the job as of its latest submission,
// and whether the caller has to make the call.
func (e *execution) giveUpRound() (round *giveUpRound, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.givenUp != nil && e.lastArrived <= e.givenUp.arrived {
		return e.givenUp, false
	}
	e.givenUp = &giveUpRound{arrived: e.lastArrived, done: make(chan struct{})}
	return e.givenUp, true
}

// lastArrivedFor returns how long ago, at now, the latest submission arrived.
func (e *execution) lastArrivedFor(now boot.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Sub(e.lastArrived)
}
