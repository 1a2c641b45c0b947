package coord

import (
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
)

// confirmed reports whether the process has not stood still since a caller of e was known
// to wait for the answer. After a stall, a request may have been read long after it was
// sent, and a caller may have left, and have submitted its job elsewhere, unnoticed.
func (c *Coordinator) confirmed(e *execution) bool {
	lastStall := c.lastStall()
	return lastStall == 0 || boot.Time(e.confirmedAt.Load()) >= lastStall
}

// confirm checks after a stall whether a caller of e may still wait for the answer: it has
// not closed its connection, and no other entry runs the job. Otherwise confirm ends the
// job. It reports whether the job goes on.
func (c *Coordinator) confirm(e *execution) bool {
	if c.confirmed(e) {
		return !e.hasEnded()
	}
	select {
	case e.confirming <- struct{}{}:
	case <-e.ctx.Done():
		return false
	}
	defer func() { <-e.confirming }()
	for !e.hasEnded() && !c.confirmed(e) {
		now := c.now()
		c.count("jobs.confirmed")
		c.trace("job_in_doubt", "job", e.ID, "route", e.Route.Name, "stalled", now.Sub(c.lastStall()))
		if e.finishIfLeft() {
			return false
		}
		if c.RunsElsewhere != nil && c.RunsElsewhere(e.ctx, e.ID) {
			e.finish(Answer{State: Abandoned, Reason: cause.RunsElsewhere})
		}
		// The caller may have left while the other entries were asked.
		e.finishIfLeft()
		e.confirmedAt.Store(int64(now))
	}
	return !e.hasEnded()
}

// lastStall returns when the process last went on after it had stood still, or 0.
func (c *Coordinator) lastStall() boot.Time {
	if c.LastStall == nil {
		return 0
	}
	return c.LastStall()
}
