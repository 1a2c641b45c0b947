package rules

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/drain"
	"pgregory.net/rapid"
)

const (
	// stopGrace is the time between the signal to stop an entry and its kill.
	stopGrace = 1500 * time.Millisecond
	// lossSlack is how long after a request its connection may end without an answer though the entry
	// has not read it.
	lossSlack = 200 * time.Millisecond
)

// stopEntry tells entry i to stop, and returns the function that kills it after stopGrace and starts it
// again. It does nothing if the entry is being stopped already.
func (c *cluster) stopEntry(i int) (finish func()) {
	p := c.entryAt(i)
	if !p.stopping.CompareAndSwap(false, true) {
		return func() {}
	}
	killAt := time.Now().Add(stopGrace)
	go p.coord.Stop(p.ctx, drain.New(c.entryNow(i), stopGrace))
	return func() {
		time.Sleep(time.Until(killAt))
		c.startEntry(i)
	}
}

// checkStopped reports a violation if a request that was sent at sentAt has lost its connection with an
// entry that was stopped.
func (c *cluster) checkStopped(p *entryProcess, id string, sentAt time.Time) {
	if p.stopping.Load() && time.Since(sentAt) > lossSlack {
		c.checker.reportViolation("LOST: the entry of %s ended without an answer %v after the request", id, time.Since(sentAt))
	}
}

// TestRulesHoldWhenEntriesAreStopped stops entries while jobs wait, run and are lost. Each caller has
// its answer before the kill, and a job that was refused has not started.
func TestRulesHoldWhenEntriesAreStopped(t *testing.T) {
	const widestCPU = 900
	checkDrawn(t, func(rt *rapid.T) schedule {
		sched := drawSchedule(rt, []int{stopEntry, stopEntry, stopEntry, cutConnection, cutReplies, cutCallers, loseOrders, stallTargetRuns, silenceTarget, killGate})
		for i := range sched.Jobs {
			sched.Jobs[i].Wait = patience
			// So that jobs wait for room, but not for longer than the quiet time.
			if wide := rapid.Bool().Draw(rt, fmt.Sprint("wide", i)); wide && sched.Jobs[i].Work.MS < longRunMS {
				sched.Jobs[i].Work.CPU = widestCPU
			}
		}
		return sched
	})
}
