package coord

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
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
		c.RevokeAt = func(context.Context, string, string) { revoked++ }
		j := newTestJob(1, 100)
		j.Arrived = boot.Now().Add(-50 * time.Millisecond)
		a := c.Submit(t.Context(), j)
		if a.State != tc.want || revoked != tc.revoked || givenUp != min(tc.revoked, 1) {
			t.Errorf("%s: got %+v, revoked %d times, given up elsewhere %d times", tc.name, a, revoked, givenUp)
		}
	}
}
