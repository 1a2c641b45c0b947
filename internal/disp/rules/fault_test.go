package rules

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

// targetFaults are the faults that a target simulates. The zero value simulates none.
type targetFaults struct {
	unresponsive bool          // no call is answered
	loseStops    bool          // orders to stop a run are dropped
	loseEvery    int           // every loseEvery-th call is unanswered; 0 means none
	keepLost     bool          // all calls without an answer are executed, at once or later
	failRuns     bool          // runs end as failed
	stallRuns    bool          // runs make no progress
	unhealthy    bool          // starts are refused with targ.ErrUnhealthy
	slowPolls    bool          // answers to polls take long, and are lost if the target goes down meanwhile
	dropStarts   *atomic.Int32 // number of orders to start a run that are dropped; nil means none
}

// crashBy crashes an incarnation of the target for a run of a task, which may have ended.
func (t *target) crashBy(task string, run int, incarnation targ.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down || !t.incarnation.Same(incarnation) {
		return
	}
	t.endDueRuns()
	if t.hasUnreadEnd(task, run) {
		t.checker.targetFelled(task)
	}
	t.goDown()
}

// hasUnreadEnd reports whether a run has ended and its gate has not acknowledged that. t.mu must
// be held.
func (t *target) hasUnreadEnd(task string, run int) bool {
	return slices.ContainsFunc(t.ended, func(e targ.Ended) bool { return e.Task == task && e.Run == run && e.Seq > t.seen })
}

// goDown ends all runs. The target refuses connections until it is back. t.mu must be held.
func (t *target) goDown() {
	t.endAll()
	t.down, t.crashedAt = true, time.Now()
	time.AfterFunc(downTime, func() {
		t.restart()
		t.onReturn()
	})
}

// lastCrash returns when the target last crashed under a task; zero if it has not.
func (t *target) lastCrash() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashedAt
}

// shrink reduces the capacity of the current incarnation, which its next heartbeat shows.
func (t *target) shrink() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shrunkAt = time.Now()
	t.incarnation.Capacity.CPU = shrunkCapacity
}

// grow restores the capacity.
func (t *target) grow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shrunkAt = time.Time{}
	t.incarnation.Capacity.CPU = targetCapacity
}

// limit returns the capacity that the runs must keep to. t.mu must be held.
func (t *target) limit() int {
	if t.shrunkAt.IsZero() || time.Since(t.shrunkAt) < shrinkGrace {
		return targetCapacity
	}
	return shrunkCapacity
}

// setFaults replaces the faults that the target simulates.
func (t *target) setFaults(faultMode targetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultMode = faultMode
}

// receive applies the simulated faults to a call for an incarnation. It returns nil if the
// caller must execute the order and answer it, and otherwise an error. t.mu must be held.
func (t *target) receive(ctx context.Context, l targ.Incarnation, call string, order func()) error {
	if t.down {
		return targ.ErrUnreachable
	}
	if t.faultMode.unresponsive {
		return t.lose(ctx, l, call, order)
	}
	if l.ID != t.incarnation.ID {
		return targ.ErrRestarted
	}
	t.orderCount++
	if t.faultMode.loseEvery == 0 || t.orderCount%t.faultMode.loseEvery != 0 {
		return nil
	}
	return t.lose(ctx, l, call, order)
}

// lose leaves a call without an answer. Its order is executed at once, later or not at all.
// One that is late is lost with the process, since nothing can guard a target that has
// restarted under its ID against it. t.mu must be held.
func (t *target) lose(ctx context.Context, l targ.Incarnation, call string, order func()) error {
	incarnation := t.incarnation
	switch {
	case l.ID != incarnation.ID:
	case t.behavior.chooses(executesLost, call):
		order()
	case t.faultMode.keepLost || t.behavior.chooses(executesLate, call):
		time.AfterFunc(t.behavior.delay(lateness, call), func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if !t.down && t.incarnation.Same(incarnation) {
				order()
			}
		})
	}
	return t.leaveUnanswered(ctx)
}

// leaveUnanswered waits until ctx is done and returns targ.ErrUnanswered. t.mu must be
// held, and is released during the wait.
func (t *target) leaveUnanswered(ctx context.Context) error {
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	return targ.ErrUnanswered
}
