package rules

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
)

// A task that crashes whatever runs it is given up, also if entries and gates die meanwhile.
func TestRulesHoldWhenTasksCrashTargets(t *testing.T) {
	checkRulesOf(t, []int{killEntry, killGate, cutConnection, cutCallers}, 0, func(sched *schedule) {
		for i := range sched.Jobs {
			sched.Jobs[i].Work.Deadly = i%8 == 0
		}
	})
}

// Tasks of one route that crash their targets one after the other must not take those of
// the other route down with them.
func TestDeadlyRouteLeavesTargetsToOthers(t *testing.T) {
	const gates, seconds, perSecond = 8, 10, 20
	var violations []string
	served := 0
	synctest.Test(t, func(*testing.T) {
		c := newCluster(entryCount, gates, false)
		time.Sleep(50 * time.Millisecond)
		for i := range seconds * perSecond {
			c.submit(fmt.Sprint("good", i), jobSpec{Tasks: 1, Work: work{CPU: 100, MS: 100}, Attempts: 1, Entry: i % entryCount, Route: "good"})
			if i%(perSecond/4) == 0 {
				c.submit(fmt.Sprint("deadly", i), jobSpec{Tasks: 1, Work: work{CPU: 100, MS: 100, Deadly: true}, Attempts: 1, Entry: i % entryCount, Route: "deadly"})
			}
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(time.Second)
		served = c.checker.count(coord.Done)
		c.finish()
		time.Sleep(5 * time.Second)
		violations = c.checker.violations
	})
	if len(violations) > 0 {
		t.Error(violations)
	}
	if want := seconds * perSecond * 3 / 4; served < want {
		t.Errorf("%d of %d jobs of the other route were done, want %d", served, seconds*perSecond, want)
	}
}

// The entry of a task that crashes its targets dies after two crashes. The next one that gets the
// job must not let it crash a third.
func TestCrashesAreKnownToTheEntryThatTakesOver(t *testing.T) {
	var violations []string
	starts := 0
	synctest.Test(t, func(*testing.T) {
		c := newCluster(entryCount, 6, false)
		time.Sleep(50 * time.Millisecond)
		c.submit("deadly", jobSpec{Tasks: 1, Work: work{CPU: 100, MS: 400, Deadly: true}, Attempts: 1})
		for c.checker.starts("deadly") < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * crashDelay)
		c.entryAt(0).kill()
		time.Sleep(5 * time.Second)
		starts = c.checker.starts("deadly")
		c.finish()
		time.Sleep(5 * time.Second)
		violations = c.checker.violations
	})
	if len(violations) > 0 {
		t.Error(violations)
	}
	if starts != 2 {
		t.Errorf("%d starts, want 2", starts)
	}
}
