package rules

import (
	"fmt"
	"strings"
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
	playTime   = 4000 // ms in which jobs come and things fail
	longWork   = 4000 // ms that some tasks run for
	// calmTime is how long all is well before the last jobs come, which must all
	// be done: what a failure left behind has then passed.
	calmTime  = 10 * time.Second
	calmJobs  = 6
	calmPause = 100 * time.Millisecond
	// trialTime is how long targets that were set aside may stay so while calm
	// jobs come.
	trialTime = 10 * time.Second
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 40}) }

// Kinds of events.
const (
	killGate = iota
	killEntry
	cutSilent
	cutNoAnswer
	rebirth
	leaveTarget
	muteTarget
	loseOrders
	lateOrders
	failTarget
	stuckTarget
	unhealthyTarget
	callerLeaves
	callersCut
	kinds
)

var kindNames = [kinds]string{
	"kill gate", "kill entry", "cut", "cut answers", "target reborn", "target leaves", "target mute", "orders lost",
	"orders late", "target fails", "target stuck", "target unhealthy", "caller leaves", "callers cut",
}

// event is something that happens at a time, for a while.
type event struct {
	At   int // ms
	Kind int
	I    int // which gate, entry or job
	For  int // ms
}

// String returns the event for the report of a failure.
func (e event) String() string {
	return fmt.Sprintf("%d ms: %s %d for %d ms", e.At, kindNames[e.Kind], e.I, e.For)
}

// plan is a schedule.
type plan struct {
	Events []event
	Jobs   []jobSpec
	Times  []int // when the jobs come, ms
}

func drawPlan(t *rapid.T, kinds []int) plan {
	var p plan
	for i := range rapid.IntRange(1, 7).Draw(t, "events") {
		p.Events = append(p.Events, event{
			At:   rapid.IntRange(0, playTime).Draw(t, fmt.Sprint("at", i)),
			Kind: rapid.SampledFrom(kinds).Draw(t, fmt.Sprint("kind", i)),
			I:    rapid.IntRange(0, 5).Draw(t, fmt.Sprint("which", i)),
			For:  rapid.IntRange(50, 1500).Draw(t, fmt.Sprint("for", i)),
		})
	}
	for i := range rapid.IntRange(10, 40).Draw(t, "jobs") {
		s := jobSpec{
			Tasks: rapid.IntRange(1, 4).Draw(t, fmt.Sprint("tasks", i)),
			Work: work{
				CPU:  rapid.IntRange(100, 600).Draw(t, fmt.Sprint("cpu", i)),
				MS:   rapid.IntRange(20, 700).Draw(t, fmt.Sprint("ms", i)),
				Fail: rapid.IntRange(0, 9).Draw(t, fmt.Sprint("fails", i)) == 0,
			},
			Attempts: rapid.IntRange(1, 3).Draw(t, fmt.Sprint("attempts", i)),
			Entry:    rapid.IntRange(0, entryCount-1).Draw(t, fmt.Sprint("entry", i)),
		}
		if rapid.IntRange(0, 9).Draw(t, fmt.Sprint("long", i)) == 0 {
			s.Work = work{CPU: 100, MS: longWork}
		}
		p.Jobs = append(p.Jobs, s)
		p.Times = append(p.Times, rapid.IntRange(0, playTime).Draw(t, fmt.Sprint("time", i)))
	}
	return p
}

// begin has an event begin, and returns what ends it.
func (w *world) begin(e event) (end func()) {
	g, i := e.I%gateCount, e.I%entryCount
	while := func(how behaviour) func() {
		w.targets[g].behave(how)
		return func() { w.targets[g].behave(behaviour{}) }
	}
	switch e.Kind {
	case killGate:
		w.gateAt(g).kill()
		return func() { w.startGate(g) }
	case killEntry:
		w.entryAt(i).kill()
		return func() { w.startEntry(i) }
	case cutSilent:
		return w.cutOff(i, g, silent)
	case cutNoAnswer:
		return w.cutOff(i, g, noAnswer)
	case rebirth:
		w.gateAt(g).gate.Announced(w.targets[g].reborn())
	case leaveTarget:
		w.gateAt(g).gate.Announced(w.targets[g].leave())
		return func() {
			time.Sleep(drainTime)
			w.gateAt(g).gate.Announced(w.targets[g].reborn())
		}
	case muteTarget:
		return while(behaviour{mute: true})
	case loseOrders:
		return while(behaviour{lose: 3})
	case lateOrders:
		return while(behaviour{lose: 2, late: time.Duration(e.For) * time.Millisecond / 2})
	case failTarget:
		return while(behaviour{fail: true})
	case stuckTarget:
		return while(behaviour{stuck: true})
	case unhealthyTarget:
		return while(behaviour{refuses: true})
	case callerLeaves:
		w.callerLeaves(fmt.Sprint("j", e.I))
	case callersCut:
		w.breakCallers(i)
	}
	return func() {}
}

func (w *world) gateAt(i int) *gateProc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gates[i]
}

func (w *world) entryAt(i int) *entryProc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i]
}

func (w *world) cutOff(entry, g int, kind cutKind) func() {
	set := func(k cutKind) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cut[[2]int{entry, g}] = k
	}
	set(kind)
	return func() { set(whole) }
}

// breakCallers breaks the connections of all callers of an entry, who ask again.
func (w *world) breakCallers(entry int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, cancel := range w.asks {
		if strings.HasPrefix(key, fmt.Sprint(entry, "/")) {
			cancel()
		}
	}
}

func (w *world) callerLeaves(id string) {
	w.mu.Lock()
	leave := w.jobs[id]
	w.mu.Unlock()
	if leave != nil {
		w.judge.leave(id)
		leave()
	}
}

// play plays a schedule and returns what broke a rule.
func play(p plan) []string {
	faults, _ := playCount(p)
	return faults
}

// playCount plays a schedule and returns also how many of its jobs were done.
func playCount(p plan) ([]string, int) {
	w := newWorld(entryCount, gateCount)
	time.Sleep(50 * time.Millisecond) // the entries find the gates
	for _, e := range p.Events {
		go func() {
			time.Sleep(time.Duration(e.At) * time.Millisecond)
			end := w.begin(e)
			time.Sleep(time.Duration(e.For) * time.Millisecond)
			end()
		}()
	}
	for i, s := range p.Jobs {
		go func() {
			time.Sleep(time.Duration(p.Times[i]) * time.Millisecond)
			w.submit(fmt.Sprint("j", i), s)
		}()
	}
	time.Sleep(playTime*time.Millisecond + 1500*time.Millisecond + calmTime)
	before := w.judge.count(coord.Done)
	for i := range calmJobs {
		w.submit(fmt.Sprint("calm", i), jobSpec{Tasks: 2, Work: work{CPU: 100, MS: 50}, Attempts: 1, Entry: i % entryCount})
		time.Sleep(calmPause)
	}
	time.Sleep(time.Second)
	if served := w.judge.count(coord.Done) - before; served < calmJobs {
		w.judge.fault("RECOVER: %d of %d jobs are served on a calm day afterwards; %s", served, calmJobs, w.state())
	}
	for i := 0; w.aside() && i < int(trialTime/calmPause); i++ {
		w.submit(fmt.Sprint("calmer", i), jobSpec{Tasks: 2, Work: work{CPU: 100, MS: 50}, Attempts: 1, Entry: i % entryCount})
		time.Sleep(calmPause)
	}
	if w.aside() {
		w.judge.fault("RECOVER: a target is set aside on a calm day; %s", w.state())
	}
	w.end()
	time.Sleep(5 * time.Second) // goroutines end by their time-outs
	return w.judge.faults, before
}

// aside tells whether a target is set aside.
func (w *world) aside() bool {
	for i := range w.gates {
		if w.gateAt(i).gate.State().Load.Aside != "" {
			return true
		}
	}
	return false
}

func check(t *testing.T, kinds []int) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt, kinds)
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = play(p) })
		if len(faults) > 0 {
			rt.Fatalf("%v\n%v\n%+v", faults, p.Events, p.Jobs)
		}
	})
}

func all() []int {
	var list []int
	for k := range kinds {
		list = append(list, k)
	}
	return list
}

// Whatever fails, no rule is broken, and all is served again afterwards.
func TestRulesHoldWhateverFails(t *testing.T) { check(t, all()) }

// The same with processes that die and start again, and cuts, only.
func TestRulesHoldWhenProcessesDie(t *testing.T) {
	check(t, []int{killGate, killEntry, cutSilent, cutNoAnswer, rebirth, callerLeaves, callersCut})
}

// The same with targets that misbehave only.
func TestRulesHoldWhenTargetsMisbehave(t *testing.T) {
	check(t, []int{rebirth, leaveTarget, muteTarget, loseOrders, lateOrders, failTarget, stuckTarget, unhealthyTarget, killGate})
}

// While most jobs can never be done, the others are: their failures set no more
// targets aside than there must be left.
func TestHopelessJobsTakeNoTargetsAway(t *testing.T) {
	var p plan
	for i := range 60 {
		p.Jobs = append(p.Jobs, jobSpec{Tasks: 1, Work: work{CPU: 100, MS: 40, Fail: i%3 > 0}, Attempts: 3, Entry: i % entryCount})
		p.Times = append(p.Times, i*playTime/60)
	}
	var faults []string
	served := 0
	synctest.Test(t, func(*testing.T) { faults, served = playCount(p) })
	if len(faults) > 0 {
		t.Error(faults)
	}
	if served < 20 {
		t.Errorf("%d of 20 jobs were done", served)
	}
}

// Connections to callers break again and again while those to gates do: what an
// entry gave up must not start after its caller has asked another entry.
func TestRulesHoldWhenConnectionsBreak(t *testing.T) {
	check(t, []int{callersCut, cutSilent, cutNoAnswer, muteTarget, loseOrders})
}
