package rules

import (
	"fmt"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

const (
	cutEntries            = 3          // entries in the tests of partitions
	minCutMS, maxCutMS    = 1000, 5500 // durations of cuts, ms
	noticedCutMS          = 1300       // after this time an entry has noticed a cut, ms
	cutJobCPU             = 50         // of the tasks in the tests of partitions, so that all have room
	partitionStartMS      = 1500       // of the fixed partitions, ms
	partitionJobs         = 12         // most jobs of a random schedule
	shortestPartitionedMS = 300        // run time of the tasks that do not last, ms
)

// partition tells what an entry can't reach.
type partition struct{ Callers, Store, Peers, Gates bool }

// events returns the events that cut entry i off.
func (p partition) events(i, startMS, durationMS int) []event {
	var list []event
	add := func(is bool, kind, index int) {
		if is {
			list = append(list, event{StartMS: startMS, Kind: kind, Index: index, DurationMS: durationMS})
		}
	}
	add(p.Callers, cutCallersPath, i)
	add(p.Store, cutStore, i)
	add(p.Peers, cutPeers, i)
	add(p.Gates, cutGates, i)
	return list
}

// unguarded reports whether nothing ends the jobs of such an entry before their callers have
// them run elsewhere, which is so by design: it has lost its callers, and can't tell the other
// entries, but has the store. rotate.Guard takes that for a loss of the other entries, since
// an entry whose neighbours die must not end its jobs.
func (p partition) unguarded() bool { return p.Callers && p.Peers && !p.Store }

// drawPartition returns a random partition that is guarded.
func drawPartition(t *rapid.T, name string) partition {
	p := partition{Callers: rapid.IntRange(0, 3).Draw(t, name+" callers") > 0}
	p.Store = rapid.Bool().Draw(t, name+" store")
	p.Peers = rapid.Bool().Draw(t, name+" peers")
	p.Gates = rapid.IntRange(0, 3).Draw(t, name+" gates") == 0
	if p.unguarded() {
		p.Store = true
	}
	return p
}

// drawCutOff returns a random schedule without events, whose callers are patient. Most of the
// tasks last so long that they still run when their callers have lost the entry.
func drawCutOff(t *rapid.T) schedule {
	sched := schedule{Entries: cutEntries, Balanced: true}
	for i := range rapid.IntRange(2, partitionJobs).Draw(t, "jobs") {
		s := jobSpec{
			Tasks: rapid.IntRange(1, 3).Draw(t, fmt.Sprint("tasks", i)), Work: work{CPU: cutJobCPU, MS: longRunMS}, Attempts: 2,
			Entry: rapid.IntRange(0, cutEntries-1).Draw(t, fmt.Sprint("entry", i)), Wait: patience, Patient: true,
		}
		if rapid.IntRange(0, 2).Draw(t, fmt.Sprint("short", i)) == 0 {
			s.Work.MS = rapid.IntRange(shortestPartitionedMS, longRunMS).Draw(t, fmt.Sprint("ms", i))
		}
		sched.Jobs = append(sched.Jobs, s)
		sched.SubmitMS = append(sched.SubmitMS, rapid.IntRange(0, activeMS).Draw(t, fmt.Sprint("time", i)))
	}
	return sched
}

// drawSpan returns a random time at which a cut begins, and its duration, both in ms.
func drawSpan(t *rapid.T, name string) (startMS, durationMS int) {
	return rapid.IntRange(0, activeMS).Draw(t, name+" at"), rapid.IntRange(minCutMS, maxCutMS).Draw(t, name+" for")
}

// drawEntry returns the index of a random entry.
func drawEntry(t *rapid.T, name string) int { return rapid.IntRange(0, cutEntries-1).Draw(t, name) }

// oneCutOff cuts one entry off, from all at the same time.
func oneCutOff(t *rapid.T) (events []event) {
	startMS, durationMS := drawSpan(t, "cut")
	return drawPartition(t, "cut").events(drawEntry(t, "cut entry"), startMS, durationMS)
}

// severalCutOff cuts several entries off at the same time, each from others. All that have lost
// their callers have lost the store too if one can't reach the other entries, which is unguarded
// otherwise, and for so long that they notice.
func severalCutOff(t *rapid.T) (events []event) {
	var partitions [cutEntries]partition
	silent := false
	for i := range partitions {
		partitions[i] = drawPartition(t, fmt.Sprint("cut ", i))
		silent = silent || partitions[i].Peers
	}
	startMS, durationMS := drawSpan(t, "cut")
	if silent {
		durationMS = max(durationMS, noticedCutMS)
	}
	for i, p := range partitions {
		p.Store = p.Store || silent && p.Callers
		events = append(events, p.events(i, startMS, durationMS)...)
	}
	return events
}

// cutBitByBit cuts all entries off, from each of the others at another time, but not from the
// other entries: which loss is guarded depends on what else is lost then.
func cutBitByBit(t *rapid.T) (events []event) {
	for i := range cutEntries {
		p := drawPartition(t, fmt.Sprint("cut ", i))
		p.Peers = false
		for _, e := range p.events(i, 0, 0) {
			e.StartMS, e.DurationMS = drawSpan(t, fmt.Sprint(kindNames[e.Kind], i))
			events = append(events, e)
		}
	}
	return events
}

// cutOffAmongFailures cuts one entry off while others fail.
func cutOffAmongFailures(t *rapid.T) (events []event) {
	kinds := []int{killEntry, killGate, cutConnection, cutReplies, stallEntry, cutCallers, silenceTarget, loseOrders}
	return append(oneCutOff(t), drawSchedule(t, kinds).Events...)
}

// checkRulesWhenCutOff simulates random schedules with the events of draw. The callers are sent
// to other entries and don't say that they have submitted their jobs before.
func checkRulesWhenCutOff(t *testing.T, draw func(*rapid.T) []event) {
	rapid.Check(t, func(rt *rapid.T) {
		sched := drawCutOff(rt)
		sched.Events = draw(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = simulate(sched) })
		if len(violations) > 0 {
			rt.Fatalf("%v\n%v\n%+v", violations, sched.Events, sched.Jobs)
		}
	})
}

// TestRulesHoldWhenEntriesAreCutOff cuts an entry off from its callers, the store, the other
// entries and the gates, in all combinations that are guarded.
func TestRulesHoldWhenEntriesAreCutOff(t *testing.T) { checkRulesWhenCutOff(t, oneCutOff) }

// TestRulesHoldWhenSeveralEntriesAreCutOff does the same with all entries.
func TestRulesHoldWhenSeveralEntriesAreCutOff(t *testing.T) { checkRulesWhenCutOff(t, severalCutOff) }

// TestRulesHoldWhenEntriesAreCutOffBitByBit does the same with cuts that overlap in any way.
func TestRulesHoldWhenEntriesAreCutOffBitByBit(t *testing.T) { checkRulesWhenCutOff(t, cutBitByBit) }

// TestRulesHoldWhenEntriesAreCutOffAmongFailures cuts an entry off while others fail.
func TestRulesHoldWhenEntriesAreCutOffAmongFailures(t *testing.T) {
	checkRulesWhenCutOff(t, cutOffAmongFailures)
}

// partitionSchedule cuts entry 0 off while it runs a long job.
func partitionSchedule(p partition, startMS int) schedule {
	return schedule{
		Entries: cutEntries, Balanced: true, Events: p.events(0, startMS, maxCutMS), SubmitMS: []int{partitionStartMS - 200},
		Jobs: []jobSpec{{Tasks: 4, Work: work{CPU: cutJobCPU, MS: longRunMS}, Attempts: 1, Wait: patience, Patient: true}},
	}
}

// mustHoldWhenCutOff checks the rules in partitionSchedule, whenever the load balancer last
// checked the entry.
func mustHoldWhenCutOff(t *testing.T, p partition) {
	t.Helper()
	for sinceCheck := 0; sinceCheck < int(checkInterval.Milliseconds()); sinceCheck += 100 {
		mustHold(t, partitionSchedule(p, partitionStartMS+sinceCheck))
	}
}

// An entry that had lost its callers, and didn't learn of it, went on with their jobs when
// these ran at other entries already. The others reach it, and have to ask it.
func TestEntryCutOffFromCallersIsAsked(t *testing.T) { mustHoldWhenCutOff(t, partition{Callers: true}) }

// The same happened to an entry that had lost the store too, as one does that is partitioned
// from the platform.
func TestEntryCutOffFromCallersAndStoreIsAsked(t *testing.T) {
	mustHoldWhenCutOff(t, partition{Callers: true, Store: true})
}

// An entry that had lost its callers, the store and the other entries went on with its jobs.
// Nobody can ask it: it has to end them itself.
func TestEntryCutOffFromAllButGatesEndsItsJobs(t *testing.T) {
	mustHoldWhenCutOff(t, partition{Callers: true, Store: true, Peers: true})
}

// Nobody can ask an entry that has lost the gates too, nor can it end what runs there: the
// leases do.
func TestJobsOfEntryCutOffFromAllEndWithTheLeases(t *testing.T) {
	mustHoldWhenCutOff(t, partition{Callers: true, Store: true, Peers: true, Gates: true})
}
