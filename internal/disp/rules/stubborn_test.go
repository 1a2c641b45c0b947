package rules

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/loss"
)

const (
	stubbornTime  = 100 * time.Second // for which callers submit a job again whose tasks crash their targets
	stubbornGates = 6
	deathInterval = 7 * time.Second // between the deaths of processes beside it
)

// startsOfStubbornJob lets a caller submit a job of one task for stubbornTime, whenever it has no
// final answer, and returns the number of starts that were ordered and the violations.
func startsOfStubbornJob(t *testing.T, s stubbornWork, kill func(c *cluster, i int)) (starts int, violations []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		c := newCluster(entryCount, stubbornGates, false)
		c.checker.lossesKnown = true
		for _, target := range c.targets {
			target.setBehavior(scripted{
				delays: func(s step, _ string) time.Duration {
					if s == answering {
						return 60 * time.Millisecond
					}
					return 0
				},
				options: func(o option, _ string) bool { return o == startsMute && s.startsRun(c.checker.orderedStarts("j")) },
			})
			target.setFaults(targetFaults{slowPolls: s.slowPolls})
		}
		time.Sleep(50 * time.Millisecond) // until the entries have learned of the gates
		c.submit("j", jobSpec{Tasks: 1, Work: s.work, Attempts: 1, Persistent: true})
		for i := range int(stubbornTime / deathInterval) {
			time.Sleep(deathInterval)
			kill(c, i)
		}
		starts = c.checker.orderedStarts("j")
		c.finish()
		time.Sleep(5 * time.Second) // until the remaining goroutines have ended by their timeouts
		violations = c.checker.violations
	})
	return starts, violations
}

// stubbornWork is a way in which a task crashes its targets.
type stubbornWork struct {
	name      string
	work      work
	startsRun func(n int) bool // whether the mute run starts after that many starts
	slowPolls bool
}

var stubbornWorks = []stubbornWork{
	{name: "unanswered, nothing starts", work: work{CPU: 100, MS: 400, Mute: true}, startsRun: func(int) bool { return false }},
	{name: "unanswered", work: work{CPU: 100, MS: 400, Mute: true}, startsRun: func(int) bool { return true }},
	{name: "unanswered, each second starts", work: work{CPU: 100, MS: 400, Mute: true}, startsRun: func(n int) bool { return n%2 == 0 }},
	{name: "after the answer", work: work{CPU: 100, MS: 400, Deadly: true}},
	{name: "after the run ended", work: work{CPU: 100, MS: 15, Deadly: true}, slowPolls: true},
}

// checkStubborn lets callers submit jobs again and again whose tasks take their targets down, while
// kill kills processes. No task must go on to a fourth target, but for one in each loss.RetryInterval.
func checkStubborn(t *testing.T, kill func(c *cluster, i int)) {
	t.Helper()
	for _, s := range stubbornWorks {
		t.Run(s.name, func(t *testing.T) {
			starts, violations := startsOfStubbornJob(t, s, kill)
			if len(violations) > 0 {
				t.Error(violations)
			}
			if most := crashLimit + int(stubbornTime/loss.RetryInterval); starts < crashesToFail || starts > most {
				t.Errorf("%d starts, want %d to %d", starts, crashesToFail, most)
			}
		})
	}
}

func TestTaskThatCrashesTargetsDoesNotGoOnForEver(t *testing.T) {
	checkStubborn(t, func(*cluster, int) {})
}

// The entries know of the losses and live on.
func TestTaskThatCrashesTargetsDoesNotGoOnWhenGatesDie(t *testing.T) {
	checkStubborn(t, func(c *cluster, i int) { c.startGate(i % stubbornGates) })
}

// The gates know of the losses and live on, and so does one of the entries at any time.
func TestTaskThatCrashesTargetsDoesNotGoOnWhenEntriesDie(t *testing.T) {
	checkStubborn(t, func(c *cluster, i int) { c.startEntry(i % entryCount) })
}
