package rules

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

// targetFaults are the faults that a target simulates. The zero value simulates none.
type targetFaults struct {
	unresponsive bool          // no order is answered
	loseStops    bool          // orders to stop a run are dropped
	loseEvery    int           // every loseEvery-th order is unanswered: in turn dropped and carried out; 0 means none
	lateBy       time.Duration // if positive, dropped orders are carried out this much later
	failRuns     bool          // runs end as failed
	stallRuns    bool          // runs make no progress
	unhealthy    bool          // starts are refused with targ.ErrUnhealthy
	dropStarts   *atomic.Int32 // number of orders to start a run that are dropped; nil means none
}

// crash ends all runs. The target refuses connections until it is back.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	t.endAll()
	t.down = true
	time.AfterFunc(downTime, func() {
		t.restart()
		t.onReturn()
	})
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

// receive applies the simulated faults to an order for an incarnation. It returns nil
// if the caller must carry out the order and answer it, and otherwise an error. A
// lost order is carried out by receive itself, at once or later, or not at all. t.mu
// must be held.
func (t *target) receive(ctx context.Context, l targ.Incarnation, order func()) error {
	if t.down {
		return targ.ErrUnreachable
	}
	if t.faultMode.unresponsive {
		return t.leaveUnanswered(ctx)
	}
	if l.ID != t.incarnation.ID {
		return targ.ErrRestarted
	}
	t.orderCount++
	if t.faultMode.loseEvery == 0 || t.orderCount%t.faultMode.loseEvery != 0 {
		return nil
	}
	if t.orderCount/t.faultMode.loseEvery%2 == 0 {
		order()
		return t.leaveUnanswered(ctx)
	}
	if t.faultMode.lateBy > 0 {
		incarnation := t.incarnation
		time.AfterFunc(t.faultMode.lateBy, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.incarnation.Same(incarnation) {
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
