package coord

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// The machine is suspended until after the caller has stopped waiting, so that no timer
// has fired yet when a task that a gate refused would be placed again.
func TestNothingIsPlacedAfterSuspensionPastTheWait(t *testing.T) {
	f := newFakeGates(t, 2)
	var suspended atomic.Int64
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		time.Sleep(20 * time.Millisecond) // until the timers are set
		suspended.Store(int64(350 * time.Millisecond))
		return msgs.TaskReply{Result: msgs.Refused, Reason: "full"}
	}
	c := f.coordinator()
	c.Now = func() boot.Time { return boot.Now().Add(time.Duration(suspended.Load())) }
	j := newTestJob(1, 100)
	j.WaitsUntil = j.Arrived.Add(330 * time.Millisecond)
	if a := c.Submit(context.Background(), j); a.State != Abandoned || a.Reason != "waitover" {
		t.Errorf("got %+v", a)
	}
	if n := f.receivedCount(); n != 1 {
		t.Errorf("%d placements, want only the one before the suspension", n)
	}
}

// A job that runs past the end of its caller's wait is stopped at its gate.
func TestTasksAreCancelledWhenTheCallerStopsWaiting(t *testing.T) {
	f := newFakeGates(t, 1)
	release := make(chan struct{})
	defer close(release)
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		<-release
		return msgs.TaskReply{Result: msgs.Lost}
	}
	j := newTestJob(1, 100)
	j.WaitsUntil = j.Arrived.Add(50 * time.Millisecond)
	if a := f.coordinator().Submit(context.Background(), j); a.State != Abandoned || a.Reason != "waitover" {
		t.Errorf("got %+v", a)
	}
	waitUntil(t, "the task is cancelled", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.cancelCount == 1 })
}
