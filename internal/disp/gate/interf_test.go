package gate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// observedGate is a gate whose runs begin and end when a test says so.
type observedGate struct {
	Gate
	time   boot.Time
	seq    int64
	events []string
}

func newObservedGate() *observedGate {
	o := &observedGate{time: boot.Time(time.Hour)}
	o.Now = func() boot.Time { return o.time }
	o.Event = func(event string, pairs ...any) { o.events = append(o.events, event+" "+fmt.Sprint(pairs...)) }
	o.Count = func(name string) { o.events = append(o.events, name) }
	o.targetKnown, o.runs = true, map[string]*run{}
	return o
}

// clock returns the target's clock, ms.
func (o *observedGate) clock() int64 { return time.Duration(o.time).Milliseconds() }

func (o *observedGate) pass(d time.Duration) { o.time = o.time.Add(d) }

// begin starts a run of the given kind, which is expected to take 50 ms.
func (o *observedGate) begin(kind string) *run {
	o.seq++
	r := &run{msg: msgs.Task{Name: fmt.Sprint("t", o.seq), Kind: kind, ExpectedRunTime: 50}, number: 1, finished: make(chan struct{})}
	o.runs[r.msg.Name] = r
	o.recordStart(r, o.clock(), o.time)
	return r
}

// end ends a run.
func (o *observedGate) end(r *run, outcome targ.Outcome) {
	o.seq++
	o.applyEnd(targ.Ended{Seq: o.seq, Task: r.msg.Name, Run: 1, Outcome: outcome}, o.clock(), o.time)
}

// play runs tasks of kind a, which take twice as long beside one of kind b.
func (o *observedGate) play(n int, outcome targ.Outcome) {
	for i := range n {
		var b *run
		runTime := 50 * time.Millisecond
		if i%2 == 0 {
			b = o.begin("b")
			runTime *= 2
		}
		a := o.begin("a")
		o.pass(runTime)
		o.end(a, outcome)
		if b != nil {
			o.end(b, targ.EndedOther)
		}
	}
}

// TestLoadHasInterferenceThatWasFound checks that a gate tells entries of kinds that slow each
// other down, with what runs there, and of neither before and after.
func TestLoadHasInterferenceThatWasFound(t *testing.T) {
	o := newObservedGate()
	c := o.begin("c")
	if l := o.load(); l.Interference != nil || l.Kinds != nil {
		t.Errorf("before: got %+v", l)
	}
	o.play(200, targ.EndedDone)
	l := o.load()
	if len(l.Interference) != 1 || l.Interference[0].Slowed != "a" || l.Interference[0].By != "b" || l.Interference[0].Factor < 180 || l.Interference[0].Factor > 220 {
		t.Errorf("got %+v, want a slowed by b by 200 %%", l.Interference)
	}
	if len(l.Kinds) != 1 || l.Kinds[0] != (msgs.KindRuns{Kind: "c", Runs: 1}) {
		t.Errorf("got kinds %+v, want a run of c", l.Kinds)
	}
	o.end(c, targ.EndedDone)
	o.pass(20 * time.Second)
	o.checkRuns(o.time)
	if l := o.load(); l.Interference != nil || l.Kinds != nil {
		t.Errorf("after 20 s without runs: got %+v", l)
	}
	text := strings.Join(o.events, "\n")
	for _, want := range []string{"interference.found\ninterference_found", "interference.dropped\ninterference_dropped"} {
		if strings.Count(text, want) != 1 {
			t.Errorf("%q logged %d times", want, strings.Count(text, want))
		}
	}
}

// TestOnlyDoneRunsAreObserved checks that runs that fail or are stopped, which may end
// early, are not taken for quick ones.
func TestOnlyDoneRunsAreObserved(t *testing.T) {
	for _, outcome := range []targ.Outcome{targ.EndedFailed, targ.EndedOther} {
		o := newObservedGate()
		o.play(200, outcome)
		if l := o.load(); l.Interference != nil {
			t.Errorf("outcome %v: got %+v", outcome, l.Interference)
		}
	}
}

// TestLoadHasKindsWhenWanted checks that a gate that has found nothing itself tells what runs
// there as long as an entry that knows of interference asks for it. Otherwise it would
// seem to be free of the kinds that slow each other down.
func TestLoadHasKindsWhenWanted(t *testing.T) {
	o := newObservedGate()
	r := o.begin("a")
	if l := o.Sync(msgs.Sync{}); l.Kinds != nil {
		t.Errorf("not wanted: got %+v", l.Kinds)
	}
	if l := o.Sync(msgs.Sync{WantKinds: true}); len(l.Kinds) != 1 || l.Kinds[0] != (msgs.KindRuns{Kind: "a", Runs: 1}) || l.Interference != nil {
		t.Errorf("wanted by Sync: got %+v", l)
	}
	o.pass(kindsPeriod)
	if l := o.load(); l.Kinds != nil {
		t.Errorf("no longer wanted: got %+v", l.Kinds)
	}
	o.admit(msgs.Task{WantKinds: true})
	if l := o.load(); len(l.Kinds) != 1 {
		t.Errorf("wanted by Task: got %+v", l.Kinds)
	}
	o.end(r, targ.EndedDone)
	if l := o.load(); l.Kinds != nil {
		t.Errorf("without runs: got %+v", l.Kinds)
	}
}

// TestRunsEndForInterferenceHoweverTheyEnd checks that runs which a restart of the target puts in
// doubt, or ends, do not stay among those at the target for ever.
func TestRunsEndForInterferenceHoweverTheyEnd(t *testing.T) {
	o := newObservedGate()
	o.wantKinds(true)
	r := o.begin("a")
	r.move(msgs.NoCrash)
	o.recordStart(r, o.clock(), o.time)
	if l := o.load(); len(l.Kinds) != 1 || l.Kinds[0].Runs != 1 {
		t.Errorf("found to be in progress again: got %+v, want one run", l.Kinds)
	}
	r.move(msgs.NoCrash)
	o.endIncarnation("gone")
	o.targetKnown = true
	if l := o.load(); l.Kinds != nil {
		t.Errorf("after the end of the incarnation: got %+v", l.Kinds)
	}
}
