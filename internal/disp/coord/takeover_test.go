package coord

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A job is taken over only if it was revoked before its latest submission arrived here. One that was
// revoked since runs at the entry for which it was.
func TestJobIsTakenOverOnlyFromAnOlderRevocation(t *testing.T) {
	for _, tc := range []struct {
		name       string
		revokedFor time.Duration
		refusals   int // before the gate takes the task
		want       State
		revoked    int // calls of RevokeAt
	}{
		{"revoked before", time.Minute, 1, Done, 1},
		{"revoked since", time.Millisecond, 1, Abandoned, 0},
		{"refused whatever is done", time.Minute, 100, Abandoned, maxTakeovers},
	} {
		f := newFakeGates(t, 1)
		placed, revoked, givenUp := 0, 0, 0
		f.respond = func(int, msgs.Task) msgs.TaskReply {
			placed++
			if placed > tc.refusals {
				return msgs.TaskReply{Result: msgs.Done, RunTime: 10}
			}
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Revoked, RevokedFor: tc.revokedFor.Milliseconds()}
		}
		c := f.coordinator()
		c.GiveUpElsewhere = func(context.Context, string, bool) { givenUp++ }
		c.RevokeAt = func(context.Context, string, string) bool {
			revoked++
			return true
		}
		j := newTestJob(1, 100)
		j.Arrived = boot.Now().Add(-50 * time.Millisecond)
		a := c.Submit(t.Context(), j)
		if a.State != tc.want || revoked != tc.revoked || givenUp != min(tc.revoked, 1) {
			t.Errorf("%s: got %+v, revoked %d times, given up elsewhere %d times", tc.name, a, revoked, givenUp)
		}
	}
}

// revokedGates returns n gates that have the revocation of a job for another entry, and a coordinator
// that takes the job over there. Calls of RevokeAt add to revoked.
func revokedGates(t *testing.T, n int, takes func(gate int) msgs.TaskReply) (c *Coordinator, revoked map[string]int) {
	f := newFakeGates(t, n)
	revoked = map[string]int{}
	f.respond = func(gate int, _ msgs.Task) msgs.TaskReply {
		if revoked[f.links[gate].Addr] == 0 {
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Revoked, RevokedFor: time.Minute.Milliseconds()}
		}
		return takes(gate)
	}
	c = f.coordinator()
	c.GiveUpElsewhere = func(context.Context, string, bool) {}
	c.RevokeAt = func(_ context.Context, gate, _ string) bool {
		revoked[gate]++
		return true
	}
	return c, revoked
}

// The task went to another gate after each takeover, and the job ended at the fourth.
func TestTaskIsPlacedAtTheGateThatWasTakenOver(t *testing.T) {
	c, revoked := revokedGates(t, 8, func(int) msgs.TaskReply { return msgs.TaskReply{Result: msgs.Done, RunTime: 10} })
	if a := c.Submit(t.Context(), newTestJob(1, 100)); a.State != Done || len(revoked) != 1 {
		t.Errorf("got %+v, revoked at %v", a, revoked)
	}
}

// Gates that were taken over, and turned out to be full, counted against the gates after them.
func TestTakeoversAreCountedForEachGate(t *testing.T) {
	const full = maxTakeovers + 2 // gates
	tried := map[int]bool{}
	c, revoked := revokedGates(t, 8, func(gate int) msgs.TaskReply {
		tried[gate] = true
		if len(tried) <= full {
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.NoCapacity}
		}
		return msgs.TaskReply{Result: msgs.Done, RunTime: 10}
	})
	links := c.Links()
	c.Links = func() []*link.Link { // the gates that were found full come last
		return slices.SortedStableFunc(slices.Values(links), func(a, b *link.Link) int { return revoked[a.Addr] - revoked[b.Addr] })
	}
	j := newTestJob(1, 100)
	j.Steps[0].DeclaredRunTime = 2 * time.Second // so that the job is not refused as overdue
	if a := c.Submit(t.Context(), j); a.State != Done || len(revoked) != full+1 {
		t.Errorf("got %+v, revoked at %v", a, revoked)
	}
}

// A gate that died after it had refused the task is not taken over, and was asked again.
func TestTaskIsPlacedElsewhereIfTheGateWasNotTakenOver(t *testing.T) {
	c, revoked := revokedGates(t, 2, func(int) msgs.TaskReply { return msgs.TaskReply{Result: msgs.Done, RunTime: 10} })
	c.RevokeAt = func(_ context.Context, gate, _ string) bool {
		if len(revoked) == 0 {
			revoked[gate] = 0
			return false
		}
		revoked[gate]++
		return true
	}
	if a := c.Submit(t.Context(), newTestJob(1, 100)); a.State != Done || len(revoked) != 2 {
		t.Errorf("got %+v, revoked at %v", a, revoked)
	}
}

// The other entries were asked once, and one to which the caller had gone in between ran the job beside this one.
func TestOthersGiveUpTheJobAgainAfterANewerSubmission(t *testing.T) {
	f := newFakeGates(t, 1)
	var tasks, givenUp atomic.Int64
	var revokedAt atomic.Int64 // boot.Time of the later revocation
	joined := make(chan struct{})
	f.respond = func(int, msgs.Task) msgs.TaskReply {
		switch tasks.Add(1) {
		case 1:
			<-joined
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Revoked, RevokedFor: boot.Now().Sub(boot.Time(revokedAt.Load())).Milliseconds()}
		case 2:
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Revoked, RevokedFor: time.Minute.Milliseconds()}
		}
		return msgs.TaskReply{Result: msgs.Done, RunTime: 10}
	}
	c := f.coordinator()
	c.GiveUpElsewhere = func(context.Context, string, bool) { givenUp.Add(1) }
	c.RevokeAt = func(context.Context, string, string) bool { return true }
	j := newTestJob(2, 100)
	j.Steps[0].DeclaredRunTime = 2 * time.Second // so that the job is not refused as overdue
	first := submitAsync(t.Context(), c, j)
	waitUntil(t, "one task has been taken over", func() bool { return tasks.Load() == 3 })
	revokedAt.Store(int64(boot.Now()))
	time.Sleep(20 * time.Millisecond)
	j.Arrived = boot.Now()
	second := submitAsync(t.Context(), c, j)
	waitUntil(t, "the newer submission has joined", func() bool { return callerCount(c) == 2 })
	close(joined)
	if a, b := <-first, <-second; a.State != Done || b.State != Done || givenUp.Load() != 2 {
		t.Errorf("got %+v and %+v, given up elsewhere %d times", a, b, givenUp.Load())
	}
}
