package rotate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// stopTime is the longest time that a target takes to stop a run.
const stopTime = 50 * time.Millisecond

// endsOfJobs runs a guard whose entry is checked once and never again. The other entries answer
// or not by the time since the check. It returns when jobs were ended, by the same time.
func endsOfJobs(t *testing.T, unwarned func(sinceCheck time.Duration) int) (ends []time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		m := &Monitor{ResubmitDelay: resubmitDelay, Now: func() boot.Time { return boot.Time(time.Hour).Add(time.Since(begin)) }}
		g := &Guard{
			Monitor: m,
			WarnOthers: func(ctx context.Context) int {
				n := unwarned(time.Since(begin))
				if n > 0 {
					<-ctx.Done()
				}
				return n
			},
			EndJobs: func(time.Duration, int) { ends = append(ends, time.Since(begin)) },
		}
		m.Observe()
		for ctx.Err() == nil {
			g.Check(ctx)
			m.Await(ctx, RepeatInterval)
		}
		synctest.Wait()
	})
	return ends
}

// An entry that nobody reaches ended its jobs too late, or not at all: what runs there must have
// been stopped before their callers can come to another entry.
func TestGuardEndsJobsBeforeTheirCallersAreElsewhere(t *testing.T) {
	ends := endsOfJobs(t, func(time.Duration) int { return 1 })
	if len(ends) == 0 || ends[0]+stopTime > resubmitDelay {
		t.Errorf("jobs were ended %v after the check, want within %v", ends, resubmitDelay-stopTime)
	}
}

// A guard looked once, and not when the others were lost later.
func TestGuardLooksAgain(t *testing.T) {
	lostAt := 2 * time.Second
	ends := endsOfJobs(t, func(sinceCheck time.Duration) int {
		if sinceCheck < lostAt {
			return 0
		}
		return 1
	})
	if len(ends) == 0 || ends[0] < lostAt || ends[0] > lostAt+RepeatInterval+warnTimeout {
		t.Errorf("jobs were ended %v after the check, want soon after %v", ends, lostAt)
	}
}

// An entry whose warnings all arrive goes on, since the others ask it.
func TestGuardKeepsJobsThatOthersAskAbout(t *testing.T) {
	if ends := endsOfJobs(t, func(time.Duration) int { return 0 }); len(ends) > 0 {
		t.Errorf("jobs were ended %v after the check", ends)
	}
}
