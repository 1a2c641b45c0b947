package rules

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"pgregory.net/rapid"
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

// mutePatience is how long schedules with mute work take. Their tasks crash the targets, which
// come back after downTime, in turn.
const mutePatience = 100 * time.Second

// drawShare returns for each of n jobs whether it is one of a share of .05 to 1.
func drawShare(t *rapid.T, name string, n int) []bool {
	const steps = 20
	share := rapid.IntRange(1, steps).Draw(t, name+" share")
	chosen := make([]bool, n)
	for i := range chosen {
		chosen[i] = rapid.IntRange(1, steps).Draw(t, fmt.Sprint(name, i)) <= share
	}
	return chosen
}

// drawDeadly returns a random schedule with events of the given kinds. A share of the jobs of .05
// to 1 crashes its targets.
func drawDeadly(t *rapid.T, kinds []int) schedule {
	sched := drawSchedule(t, kinds)
	sched.LossesKnown = true
	for i, deadly := range drawShare(t, "deadly", len(sched.Jobs)) {
		sched.Jobs[i].Work.Deadly = deadly
	}
	return sched
}

// Tasks that crash their targets before these answer are given up, beside tasks that do so later
// and entries that die.
func TestRulesHoldWhenTasksCrashTargetsUnanswered(t *testing.T) {
	checkDrawn(t, func(rt *rapid.T) schedule {
		sched := drawSchedule(rt, []int{killEntry, killEntry, cutConnection, cutCallers})
		sched.LossesKnown, sched.ActiveMS = true, int(mutePatience.Milliseconds())
		for i, mute := range drawShare(rt, "mute", len(sched.Jobs)) {
			sched.Jobs[i].Work.Mute = mute
			sched.Jobs[i].Work.Deadly = !mute && i%8 == 0
		}
		return sched
	})
}

// Targets crash and restart while polls are slow, so that nobody has read that short tasks ended
// there.
func TestRulesHoldWhenTargetsCrashBesideSlowPolls(t *testing.T) {
	const shortestMS, longestMS = 5, 80
	checkDrawn(t, func(rt *rapid.T) schedule {
		sched := drawDeadly(rt, []int{restartTarget, restartTargetInPlace})
		for g := range gateCount {
			sched.Events = append(sched.Events, event{Kind: slowPolls, Index: g, DurationMS: activeMS})
		}
		for i := range sched.Jobs {
			sched.Jobs[i].Work.CPU = cutJobCPU
			sched.Jobs[i].Work.MS = rapid.IntRange(shortestMS, longestMS).Draw(rt, fmt.Sprint("short", i))
		}
		return sched
	})
}

// Runs that last for less than others of their route end just before their targets crash, beside
// entries that die. Nobody has read these ends, and no target has crashed under their tasks.
func TestRulesHoldWhenRunsEndBeforeCrashes(t *testing.T) {
	const shortestMS, longestMS = 5, 30
	checkDrawn(t, func(rt *rapid.T) schedule {
		sched := drawDeadly(rt, []int{killEntry, cutCallers, cutConnection})
		for i := range sched.Jobs {
			if sched.Jobs[i].Work.Deadly {
				sched.Jobs[i].Work.MS = rapid.IntRange(shortestMS, longestMS).Draw(rt, fmt.Sprint("short", i))
			}
		}
		return sched
	})
}

// Tasks crash their targets while orders come late or get lost, and entries die or stand still.
func TestRulesHoldWhenTasksCrashTargetsBesideLateOrders(t *testing.T) {
	checkDrawn(t, func(rt *rapid.T) schedule {
		return drawDeadly(rt, []int{delayOrders, delayOrders, loseOrders, loseOrders, killEntry, stallEntry})
	})
}
