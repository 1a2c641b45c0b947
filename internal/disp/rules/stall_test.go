package rules

import (
	"context"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// stallEntry lets entry i stand still and returns the function that lets it go on. Until
// then requests and the answers of gates wait to be read, the end of a caller's connection goes
// unnoticed, and no call is made.
func (c *cluster) stallEntry(i int) (goOn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stalls[i] != nil {
		return func() {}
	}
	stalled := make(chan struct{})
	c.stalls[i] = stalled
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lastStalls[i] = c.entryNow(i)
		delete(c.stalls, i)
		close(stalled)
	}
}

// stalled returns a channel that is closed when entry i goes on; nil if it doesn't stand
// still.
func (c *cluster) stalled(i int) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalls[i]
}

// awaitEntry waits while entry i stands still and reports whether it does.
func (c *cluster) awaitEntry(i int) bool {
	stalled := c.stalled(i)
	if stalled == nil {
		return false
	}
	<-stalled
	return true
}

// answers waits until entry i answers, until ctx ends at most, and reports whether it does.
func (c *cluster) answers(ctx context.Context, i int) bool {
	stalled := c.stalled(i)
	if stalled == nil {
		return true
	}
	select {
	case <-stalled:
		return true
	case <-ctx.Done():
		return false
	}
}

// lastStall returns the end of the latest stall of entry i; 0 if there was none.
func (c *cluster) lastStall(i int) boot.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastStalls[i]
}

// TestRulesHoldWhenEntriesStall lets entries stand still for longer than their callers wait.
// An entry that goes on reads requests whose callers have left, and loses what it ran, when
// the jobs may be running at another entry already.
func TestRulesHoldWhenEntriesStall(t *testing.T) {
	kinds := []int{stallEntry, stallEntry, stallEntry, cutCallers, cutConnection, cutReplies, silenceTarget, loseOrders}
	checkRulesOf(t, kinds, callerWait, func(s *schedule) {
		for i := range s.Jobs {
			s.Jobs[i].Submissions = 4 // some jobs take longer than their callers wait
		}
	})
}

// An entry stands still while requests arrive. Their callers leave, and some are just served
// elsewhere when the entry goes on and reads the requests. The run time is so short that the
// first submissions don't count as repeated.
func TestStalledEntryStartsNothingForCallersThatHaveLeft(t *testing.T) {
	sched := schedule{Events: []event{{StartMS: 50, Kind: stallEntry, DurationMS: 3500 / stallFactor}}}
	for at := 100; at < 1500; at += 20 {
		sched.Jobs = append(sched.Jobs, jobSpec{Tasks: 4, Work: work{CPU: 5, MS: 80}, Attempts: 1, Wait: callerWait})
		sched.SubmitMS = append(sched.SubmitMS, at)
	}
	mustHold(t, sched)
}

// An entry stands still while it runs a job. The connection of the caller breaks meanwhile, or
// goes silent, and the job runs at another entry when the first one goes on and finds that
// its own run was lost.
func TestStalledEntryDoesNotResumeJobThatRunsElsewhere(t *testing.T) {
	for name, kind := range map[string]int{"the connection breaks": cutCallers, "the connection goes silent": silenceCallers} {
		t.Run(name, func(t *testing.T) {
			mustHold(t, schedule{
				Events:   []event{{StartMS: 200, Kind: stallEntry, DurationMS: 2000 / stallFactor}, {StartMS: 400, Kind: kind}},
				Jobs:     []jobSpec{{Tasks: 2, Work: work{CPU: 10, MS: longRunMS}, Attempts: 1, Wait: patience}},
				SubmitMS: []int{100},
			})
		})
	}
}

// The connection of a caller is reset while an entry that is being stopped reads the request.
// The caller sends it again at once, to an entry that is not being stopped, and the first
// entry notices the reset only after it has read more.
func TestRequestWhoseConnectionWasResetDoesNotRunBesideItsRepetition(t *testing.T) {
	var sched schedule
	for at := 100; at < 1000; at += 100 {
		sched.Jobs = append(sched.Jobs, jobSpec{Tasks: 4, Work: work{CPU: 5, MS: 80}, Attempts: 1, Wait: callerWait, Reset: true})
		sched.SubmitMS = append(sched.SubmitMS, at)
	}
	mustHold(t, sched)
}
