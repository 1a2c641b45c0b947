package rules

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"pgregory.net/rapid"
)

const (
	entryCount = 2
	gateCount  = 3
	activeMS   = 4000 // time in which jobs are submitted and failures begin, ms
	longRunMS  = 4000 // run time of the tasks of some jobs, ms

	// quietTime is how long nothing fails before the recovery jobs are submitted,
	// all of which must be done. The effects of earlier failures must be over by
	// then. A crash of a target under a task is a failure too.
	quietTime        = 10 * time.Second
	recoveryJobs     = 6
	recoveryInterval = 100 * time.Millisecond // between submissions of recovery jobs

	// patience is how long callers wait for the first answer where their connections go
	// silent. It is long enough for no first submission to count as a repeated one.
	patience = 15 * time.Second

	// maxOpenTime is how long the circuit breakers of targets may stay open while
	// further jobs are submitted.
	maxOpenTime = 10 * time.Second
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 40}) }

// simulate runs a schedule and returns descriptions of the rule violations.
func simulate(sched schedule) []string {
	violations, _ := simulateCount(sched)
	return violations
}

// simulateCount runs a schedule and returns descriptions of the rule violations, and
// the number of jobs of the schedule that were done.
func simulateCount(sched schedule) ([]string, int) {
	c := newSeededCluster(sched.Seed, cmp.Or(sched.Entries, entryCount), gateCount, sched.Balanced)
	c.checker.lossesKnown = sched.LossesKnown
	time.Sleep(50 * time.Millisecond) // until the entries have learned of the gates
	for _, e := range sched.Events {
		go func() {
			time.Sleep(time.Duration(e.StartMS) * time.Millisecond)
			finish := c.inject(e)
			time.Sleep(time.Duration(e.DurationMS) * time.Millisecond)
			finish()
		}()
	}
	for i, s := range sched.Jobs {
		go func() {
			time.Sleep(time.Duration(sched.SubmitMS[i]) * time.Millisecond)
			c.submit(fmt.Sprint("j", i), s)
		}()
	}
	time.Sleep(time.Duration(cmp.Or(sched.ActiveMS, activeMS))*time.Millisecond + 1500*time.Millisecond + quietTime)
	c.awaitLastCrash()
	doneBefore := c.checker.count(coord.Done)
	for i := range recoveryJobs {
		c.submit(fmt.Sprint("recovery", i), jobSpec{Tasks: 2, Work: work{CPU: 100, MS: 50}, Attempts: 1, Entry: i % entryCount})
		time.Sleep(recoveryInterval)
	}
	time.Sleep(time.Second)
	if served := c.checker.count(coord.Done) - doneBefore; served < recoveryJobs {
		c.checker.reportViolation("RECOVER: only %d of %d jobs were done after all failures had ended; %s", served, recoveryJobs, c.describe())
	}
	for i := 0; c.breakerOpen() && i < int(maxOpenTime/recoveryInterval); i++ {
		c.submit(fmt.Sprint("recoveryprobe", i), jobSpec{Tasks: 2, Work: work{CPU: 100, MS: 50}, Attempts: 1, Entry: i % entryCount})
		time.Sleep(recoveryInterval)
	}
	if c.breakerOpen() {
		c.checker.reportViolation("RECOVER: a circuit breaker is still open long after all failures had ended; %s", c.describe())
	}
	c.finish()
	time.Sleep(5 * time.Second) // until the remaining goroutines have ended by their timeouts
	return c.checker.violations, doneBefore
}

// awaitLastCrash waits until no target has crashed under a task for quietTime. Tasks that crash targets
// are given up, so that time has to come.
func (c *cluster) awaitLastCrash() {
	giveUpAt := time.Now().Add(mutePatience)
	for slices.ContainsFunc(c.targets, func(t *target) bool { return time.Since(t.lastCrash()) < quietTime }) {
		if time.Now().After(giveUpAt) {
			c.checker.reportViolation("RECOVER: targets still crash under tasks %v after all other failures had ended", mutePatience)
			return
		}
		time.Sleep(recoveryInterval)
	}
}

// breakerOpen reports whether the circuit breaker of any target is open.
func (c *cluster) breakerOpen() bool {
	for i := range c.gates {
		if c.gateAt(i).gate.State().Load.BlockedReason != "" {
			return true
		}
	}
	return false
}

// checkRules simulates random schedules with events of the given kinds and fails if a
// rule is violated. The callers wait for the given time for the first answer, and say so
// unless it is 0.
func checkRules(t *testing.T, kinds []int, wait time.Duration) {
	checkRulesOf(t, kinds, wait, func(*schedule) {})
}

// checkRulesOf does the same with schedules that change has changed.
func checkRulesOf(t *testing.T, kinds []int, wait time.Duration, change func(*schedule)) {
	checkDrawn(t, func(rt *rapid.T) schedule {
		sched := drawSchedule(rt, kinds)
		change(&sched)
		for i := range sched.Jobs {
			sched.Jobs[i].Wait = wait
		}
		return sched
	})
}

// checkDrawn simulates the schedules of draw and fails if a rule is violated.
func checkDrawn(t *testing.T, draw func(*rapid.T) schedule) {
	rapid.Check(t, func(rt *rapid.T) {
		sched := draw(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = simulate(sched) })
		if len(violations) > 0 {
			rt.Fatalf("%v\nseed %d %v\n%+v", violations, sched.Seed, sched.Events, sched.Jobs)
		}
	})
}

// mustHold simulates a schedule and reports the rules that are violated.
func mustHold(t *testing.T, sched schedule) {
	t.Helper()
	var violations []string
	synctest.Test(t, func(*testing.T) { violations = simulate(sched) })
	if len(violations) > 0 {
		t.Error(violations)
	}
}

// TestRulesHoldWhateverFails checks that no rule is violated under failures of any
// kind, and that all jobs are done again after the failures have ended.
func TestRulesHoldWhateverFails(t *testing.T) { checkRules(t, allKinds(), 0) }

// TestRulesHoldWhenProcessesDie does the same with restarts of processes, broken
// connections and callers that abandon their jobs only.
func TestRulesHoldWhenProcessesDie(t *testing.T) {
	checkRules(t, []int{killGate, killEntry, cutConnection, cutReplies, restartTarget, delayHeartbeat, callerAbandons, cutCallers}, 0)
}

// TestRulesHoldWhenTargetsMisbehave does the same with events of targets, and with
// gates that are killed, only.
func TestRulesHoldWhenTargetsMisbehave(t *testing.T) {
	checkRules(t, []int{restartTarget, restartTargetInPlace, drainTarget, deregisterTarget, silenceTarget, loseOrders, delayOrders, failTargetRuns, stallTargetRuns, makeTargetUnhealthy, killGate}, 0)
}

// TestFailingJobsLeaveTargetsInUse checks that jobs are still done while two thirds
// of all jobs always fail. Their failures open circuit breakers, but must not take
// too many targets out of use.
func TestFailingJobsLeaveTargetsInUse(t *testing.T) {
	var sched schedule
	for i := range 60 {
		sched.Jobs = append(sched.Jobs, jobSpec{Tasks: 1, Work: work{CPU: 100, MS: 40, Fail: i%3 > 0}, Attempts: 3, Entry: i % entryCount})
		sched.SubmitMS = append(sched.SubmitMS, i*activeMS/60)
	}
	var violations []string
	served := 0
	synctest.Test(t, func(*testing.T) { violations, served = simulateCount(sched) })
	if len(violations) > 0 {
		t.Error(violations)
	}
	if served < 20 {
		t.Errorf("%d of the 20 jobs that can be done were done", served)
	}
}

// TestRulesHoldWhenConnectionsBreak breaks connections to callers and to gates at the
// same time. A task that an entry has given up must not start after the caller has
// resubmitted the job to another entry.
func TestRulesHoldWhenConnectionsBreak(t *testing.T) {
	checkRules(t, []int{cutCallers, cutConnection, cutReplies, silenceTarget, loseOrders}, 0)
}

// TestRulesHoldWhenTargetsKeepTheirID has targets restart under their ID, as often as
// anything else. A call that was meant for the incarnation before takes effect at the new
// one, which has no memory of stops and whose clock starts anew.
func TestRulesHoldWhenTargetsKeepTheirID(t *testing.T) {
	checkRules(t, []int{restartTargetInPlace, restartTargetInPlace, delayOrders, loseOrders, silenceTarget, killGate}, 0)
}

// TestRulesHoldWhenCallersGoSilent lets connections to callers go silent, so that entries
// do not learn that their callers have left. Such an entry must have given the job up
// before another one runs it.
func TestRulesHoldWhenCallersGoSilent(t *testing.T) {
	checkRules(t, []int{silenceCallers, silenceCallers, silenceCallers, cutCallers, cutConnection, cutReplies, silenceTarget, loseOrders}, patience)
}

// TestSilentCallersJobIsGivenUp lets the connection of a caller go silent while a task runs
// that would still run when the job is submitted to the other entry.
func TestSilentCallersJobIsGivenUp(t *testing.T) {
	sched := schedule{
		Events:   []event{{StartMS: 300, Kind: silenceCallers}},
		Jobs:     []jobSpec{{Tasks: 2, Work: work{CPU: 100, MS: longRunMS}, Attempts: 1, Wait: patience}},
		SubmitMS: []int{100},
	}
	mustHold(t, sched)
}

// TestRulesHoldWhenStopsGetLost has orders to stop a run get lost while entries die or lose
// their gates and callers. The runs must end nevertheless before they are started elsewhere.
func TestRulesHoldWhenStopsGetLost(t *testing.T) {
	checkRules(t, []int{loseStops, loseStops, killEntry, cutConnection, cutReplies, cutCallers}, 0)
}

// TestRulesHoldWhenTargetsShrink has targets lose capacity while heartbeats are delayed and
// gates restart, which go by the record of their target.
func TestRulesHoldWhenTargetsShrink(t *testing.T) {
	checkRules(t, []int{shrinkTarget, shrinkTarget, holdHeartbeat, killGate, loseOrders}, 0)
}
