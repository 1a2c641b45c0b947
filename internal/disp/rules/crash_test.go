package rules

import "testing"

// A task that crashes whatever runs it is given up, also if entries and gates die meanwhile.
func TestRulesHoldWhenTasksCrashTargets(t *testing.T) {
	checkRulesOf(t, []int{killEntry, killGate, cutConnection, cutCallers}, 0, func(sched *schedule) {
		for i := range sched.Jobs {
			sched.Jobs[i].Work.Deadly = i%8 == 0
		}
	})
}
