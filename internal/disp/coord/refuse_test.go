package coord

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// overloaded returns gates whose targets are full and have long queues.
func overloaded(t *testing.T) *fakeGates {
	f := newFakeGates(t, 2)
	f.mu.Lock()
	for i := range f.loads {
		f.loads[i].UsedCPU, f.loads[i].QueuedWork = 1000, 900
	}
	f.mu.Unlock()
	for _, l := range f.links {
		waitUntil(t, "the load is known", func() bool { return l.View(boot.Now()).Load.QueuedWork > 0 })
	}
	return f
}

// Callers that are refused together are told to come back one after the other, as the
// capacity allows, and later if other entries use the same gates.
func TestRefusedCallersComeBackInTurn(t *testing.T) {
	last := map[int]time.Duration{}
	for _, entries := range []int{1, 3} {
		c := overloaded(t).coordinator()
		c.Entries = func() int { return entries }
		for i := range 20 {
			j := newTestJob(2, 1000)
			j.ID = strconv.Itoa(i)
			a := c.Submit(context.Background(), j)
			if a.State != Refused || a.RetryAfter < 900*time.Millisecond {
				t.Fatalf("got %+v, want a refusal until the queues are empty", a)
			}
			last[entries] = a.RetryAfter
		}
	}
	// 20 jobs of 2 tasks of 100 ms use both targets for 2 s.
	if last[1] < 2*time.Second || last[3] < 3*last[1]/2 {
		t.Errorf("the last callers come back after %v with one entry and %v with three", last[1], last[3])
	}
}

// The delay grows with an outage of all gates, and does not count the time before it.
func TestDelayGrowsWithOutage(t *testing.T) {
	f := newFakeGates(t, 1)
	now := boot.Now()
	c := f.coordinator()
	c.Now = func() boot.Time { return now }
	e := newExecution(newTestJob(1, 100))
	defer e.cancel()
	c.admit(e)
	now = now.Add(time.Hour) // the load is too old from here on
	delay := func() time.Duration { return c.retryDelay(e, e.Steps[0], c.findCandidates(e.Route, e.Steps[0]), 0) }
	if got := delay(); got > time.Second {
		t.Errorf("at the start of the outage: %v", got)
	}
	now = now.Add(4 * time.Second)
	if got := delay(); got < 4*time.Second {
		t.Errorf("after 4 s of outage: %v", got)
	}
	now = now.Add(time.Hour)
	if got := delay(); got > 15*time.Second {
		t.Errorf("after an hour of outage: %v", got)
	}
}
