package rules

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Runs end just before their targets crash, and the answers that tell of it are lost with them. The
// other runs of the route have lasted longer, so these are expected to go on.
func TestRunThatEndedBeforeTheCrashDoesNotFailItsJob(t *testing.T) {
	b := scripted{delays: func(s step, _ string) time.Duration {
		if s == answering {
			return maxAnswering / 4
		}
		return 0
	}}
	var violations []string
	synctest.Test(t, func(*testing.T) {
		c := newCluster(entryCount, stubbornGates, false)
		for _, target := range c.targets {
			target.setBehavior(b)
		}
		time.Sleep(50 * time.Millisecond) // until the entries have learned of the gates
		for i := range 20 {
			c.submit(fmt.Sprint("long", i), jobSpec{Tasks: 1, Work: work{CPU: 100, MS: 400}, Attempts: 1})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Second)
		for _, target := range c.targets {
			target.setFaults(targetFaults{slowPolls: true})
		}
		c.submit("j", jobSpec{Tasks: 1, Work: work{CPU: 100, MS: 15, Deadly: true}, Attempts: 1})
		time.Sleep(5 * time.Second)
		c.finish()
		time.Sleep(5 * time.Second) // until the remaining goroutines have ended by their timeouts
		violations = c.checker.violations
	})
	if len(violations) > 0 {
		t.Error(violations)
	}
}
