package rules

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestLostOrderCostsLittle loses one order to start a task, after the gate has learned
// how quickly its target replies. The task must be done without waiting much longer
// than a reply takes.
func TestLostOrderCostsLittle(t *testing.T) {
	const runTime = 60 * time.Millisecond
	var took time.Duration
	synctest.Test(t, func(*testing.T) {
		c := newCluster(1, 2, false)
		time.Sleep(50 * time.Millisecond) // until the entry has learned of the gates
		spec := jobSpec{Tasks: 1, Work: work{CPU: targetCapacity * 3 / 4, MS: int(runTime.Milliseconds())}, Attempts: 1}
		for _, id := range []string{"a", "b", "c", "d"} {
			c.submit(id, spec)
			time.Sleep(200 * time.Millisecond)
		}
		var drops atomic.Int32
		drops.Store(1)
		for _, target := range c.targets {
			target.setFaults(targetFaults{dropStarts: &drops})
		}
		start := time.Now()
		c.submit("lost", spec)
		c.callers.Wait()
		took = time.Since(start)
		c.finish()
		time.Sleep(5 * time.Second) // until the remaining goroutines have ended by their timeouts
	})
	if limit := runTime + 45*time.Millisecond; took > limit {
		t.Errorf("a job of one task that runs for %v took %v, want at most %v", runTime, took, limit)
	}
}
