package rules

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestCancelledTaskEndsWhileSyncCallsFail has an entry send tasks to a gate that its Sync
// calls do not reach. Each task renews its lease, so the tasks have to cancel what the
// entry has given up: the caller submits that to another entry.
func TestCancelledTaskEndsWhileSyncCallsFail(t *testing.T) {
	const shortJobs, interval, lastBeforeCut = 80, 50 * time.Millisecond, 6
	var violations []string
	starts := 0
	synctest.Test(t, func(*testing.T) {
		c := newCluster(entryCount, gateCount, false)
		c.degrade(0, 1, dropsAll)
		c.degrade(0, 2, dropsAll)
		time.Sleep(100 * time.Millisecond) // until the entries have learned of the gates
		c.degrade(0, 0, dropsSyncs)
		c.submit("long", jobSpec{Tasks: 1, Work: work{CPU: 100, MS: longRunMS}, Attempts: 1})
		for i := range shortJobs {
			c.submit(fmt.Sprint("short", i), jobSpec{Tasks: 1, Work: work{CPU: 100, MS: 20}, Attempts: 1})
			time.Sleep(interval)
			if i == lastBeforeCut {
				c.disconnectCallers(0)
			}
		}
		starts = c.checker.starts("long")
		c.finish()
		time.Sleep(5 * time.Second) // until the remaining goroutines have ended by their timeouts
		violations = c.checker.violations
	})
	if len(violations) > 0 {
		t.Error(violations)
	}
	if starts < 2 {
		t.Errorf("the cancelled task has started %d times, want 2", starts)
	}
}
