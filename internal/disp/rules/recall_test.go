package rules

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
)

// TestRestartedGatesServeAtOnce kills all gates and entries, while the targets live on,
// and starts them again. Jobs must be served before the targets' next heartbeats.
func TestRestartedGatesServeAtOnce(t *testing.T) {
	served := 0
	var violations []string
	synctest.Test(t, func(*testing.T) {
		c := newCluster(entryCount, gateCount, false)
		time.Sleep(heartbeatTime + 50*time.Millisecond)
		for i := range gateCount {
			c.gateAt(i).kill()
			c.startGate(i)
		}
		for i := range entryCount {
			c.startEntry(i)
		}
		time.Sleep(50 * time.Millisecond) // until the entries have learned of the gates
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			c.submit(id, jobSpec{Tasks: 1, Work: work{CPU: targetCapacity / 2, MS: 40}, Attempts: 1})
		}
		time.Sleep(heartbeatTime / 3)
		served = c.checker.count(coord.Done)
		c.finish()
		time.Sleep(5 * time.Second) // until the remaining goroutines have ended by their timeouts
		violations = c.checker.violations
	})
	if served < 6 || len(violations) > 0 {
		t.Errorf("%d of 6 jobs were served before the heartbeats; violations: %v", served, violations)
	}
}
