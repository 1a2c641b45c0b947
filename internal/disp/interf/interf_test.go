package interf

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const ms = time.Millisecond

// runPair plays runs of "a" that take twice as long beside runs of "b", until the given time,
// and returns the time of the last one.
func runPair(t *Tracker, from boot.Time, d time.Duration) boot.Time {
	now := from
	for i := 0; now.Sub(from) < d; i++ {
		beside := i%2 == 0
		var b *Mark
		runTime := 50 * ms
		if beside {
			b = t.Begin("b", now)
			runTime *= 2
		}
		a := t.Begin("a", now)
		now = now.Add(runTime)
		t.End(a, now, 50*ms, runTime)
		t.End(b, now, runTime, runTime)
	}
	return now
}

func pairs(t *Tracker) []Pair {
	var all []Pair
	t.Pairs(func(p Pair) { all = append(all, p) })
	return all
}

// TestPairIsForgottenWithoutRuns checks that a pair does not outlive its evidence, since
// interference changes, but stays for some time: if tasks are placed apart because of it,
// there are no runs to confirm it.
func TestPairIsForgottenWithoutRuns(t *testing.T) {
	var tr Tracker
	now := runPair(&tr, simTime(0), 10*time.Second)
	if got := pairs(&tr); len(got) != 1 || got[0].Slowed != "a" || got[0].By != "b" || math.Abs(got[0].Factor-2) > .2 {
		t.Fatalf("got %+v, want a slowed by b by 2", got)
	}
	if got := tr.Expire(now.Add(pairLifetime - time.Second)); got != nil || !tr.HasPairs() {
		t.Errorf("pair expired early: %+v", got)
	}
	got := tr.Expire(now.Add(pairLifetime))
	if len(got) != 1 || got[0].What != Dropped || got[0].Pair.Slowed != "a" || tr.HasPairs() {
		t.Errorf("got %+v, want the pair dropped", got)
	}
}

// TestFloodOfKindsIsBounded checks that callers who name a new kind with each task neither
// make a gate use more memory nor hide the kinds in use, and that long names are ignored.
func TestFloodOfKindsIsBounded(t *testing.T) {
	var tr Tracker
	now := runPair(&tr, simTime(0), 10*time.Second)
	for i := range 20_000 {
		now = now.Add(ms)
		m := tr.Begin(fmt.Sprint("flood", i), now)
		if i%100 == 0 {
			now = runPair(&tr, now, 150*ms)
		}
		now = now.Add(ms)
		tr.End(m, now, ms, ms)
		tr.Expire(now)
	}
	if !tr.HasPairs() {
		t.Error("the flood has hidden the pair")
	}
	if m := tr.Begin(strings.Repeat("x", maxNameLength+1), now); m != nil {
		t.Error("a name that is too long is observed")
	}
	if m := tr.Begin("", now); m != nil {
		t.Error("a run without a kind, from an older process, is observed")
	}
	if len(tr.pairs) > maxPairs {
		t.Errorf("%d pairs", len(tr.pairs))
	}
	if size := unsafe.Sizeof(tr) + maxKinds*unsafe.Sizeof(kind{}); size > 64<<10 {
		t.Errorf("a tracker takes %d bytes", size)
	}
}

// TestKindsInUseAreNotReplaced checks that a kind with a run, and one that was used lately,
// keep their places, and that an idle one makes room: otherwise kinds of the past would
// hide those of the present.
func TestKindsInUseAreNotReplaced(t *testing.T) {
	var tr Tracker
	now := simTime(0)
	running := tr.Begin("running", now)
	for i := range maxKinds - 1 {
		tr.End(tr.Begin(fmt.Sprint("kind", i), now), now.Add(ms), ms, ms)
	}
	if tr.Begin("new", now.Add(idleTime/2)) != nil {
		t.Error("a kind used lately was replaced")
	}
	now = now.Add(idleTime + time.Second)
	for i := range maxKinds - 1 {
		if tr.Begin(fmt.Sprint("new", i), now) == nil {
			t.Errorf("new kind %d has no place", i)
		}
	}
	if tr.Begin("one more", now) != nil {
		t.Error("a kind with a run was replaced")
	}
	tr.End(running, now, 0, 0)
}

// TestRunWhoseTimeIsUnknownCountsForNone checks that a run is not judged by the runs beside it
// if the times of its start or end were learnt late, or if it did not end done.
func TestRunWhoseTimeIsUnknownCountsForNone(t *testing.T) {
	for _, run := range []time.Duration{0, 400 * ms, 2 * time.Second} {
		var tr Tracker
		now := simTime(0)
		m := tr.Begin("a", now)
		tr.End(m, now.Add(time.Second), time.Second, run)
		if n := tr.kinds[0].fit.runs; n != 0 || tr.kinds[0].runs != 0 {
			t.Errorf("run time %v: %d runs observed, %d left", run, n, tr.kinds[0].runs)
		}
	}
}

func TestRunsCountsByKind(t *testing.T) {
	var tr Tracker
	a := tr.Begin("a", 1)
	tr.Begin("a", 1)
	tr.End(tr.Begin("b", 1), 2, 0, 0)
	got := map[string]int{}
	collect := func(kind string, runs int) { got[kind] = runs }
	tr.Runs(collect)
	if len(got) != 1 || got["a"] != 2 {
		t.Errorf("got %v", got)
	}
	tr.End(a, 3, 0, 0)
	if tr.Runs(collect); got["a"] != 1 {
		t.Errorf("got %v", got)
	}
}

// TestMergeWeighsEvidence checks that merged factors are weighted by evidence, that one
// suspicion is not enough while several are, and that a pair in force stays with less
// evidence, but not if most gates have dropped it.
func TestMergeWeighsEvidence(t *testing.T) {
	var m Merger
	weak := Pair{"a", "b", 1.5, 60}    // 3.1 standard errors
	strong := Pair{"a", "b", 1.2, 600} // 4.5 standard errors
	merge := func(all ...Pair) []Change {
		for _, p := range all {
			m.Add(p)
		}
		return m.Merge(len(all))
	}
	if got := merge(weak); got != nil || len(m.Table()) > 0 {
		t.Errorf("one suspicion: got %+v, %v", got, m.Table())
	}
	for range 3 {
		m.Add(weak)
	}
	if got := m.Merge(30); got != nil {
		t.Errorf("three suspicions among 30 gates: got %+v", got)
	}
	got := merge(weak, weak, weak)
	if len(got) != 1 || got[0].What != Found || math.Abs(got[0].Pair.Factor-1.5) > 1e-9 || got[0].Pair.Evidence != 180 {
		t.Errorf("three suspicions: got %+v", got)
	}
	if e := m.Table()["a"]; len(e) != 1 || e[0].Other != "b" || e[0].Slowed < 1.49 || e[0].Slows != 1 {
		t.Errorf("effects of a: %+v", e)
	}
	if e := m.Table()["b"]; len(e) != 1 || e[0].Other != "a" || e[0].Slows < 1.49 || e[0].Slowed != 1 {
		t.Errorf("effects of b: %+v", e)
	}
	if got := merge(weak, weak); got != nil || len(m.Table()) == 0 {
		t.Errorf("two suspicions of a pair in force: got %+v, %v", got, m.Table())
	}
	got = merge(weak, weak, strong)
	want := math.Exp((120*math.Log(1.5) + 600*math.Log(1.2)) / 720)
	if len(got) != 1 || got[0].What != Changed || math.Abs(got[0].Pair.Factor-want) > 1e-9 {
		t.Errorf("with strong evidence for less: got %+v, want %v", got, want)
	}
	if got := merge(weak, weak); len(got) != 1 || got[0].What != Dropped || len(m.Table()) > 0 {
		t.Errorf("without the gate with most of the evidence: got %+v", got)
	}
}

// TestMergeIgnoresMalformedPairs checks that a message with absurd values does not make
// the factors of all gates unusable.
func TestMergeIgnoresMalformedPairs(t *testing.T) {
	var m Merger
	for _, v := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		m.Add(Pair{"a", "b", v, 100})
		m.Add(Pair{"a", "b", 1.5, v})
	}
	m.Add(Pair{"a", "b", 1e9, 1000})
	if got := m.Merge(8); len(got) != 1 || got[0].Pair.Factor != maxFactor {
		t.Errorf("got %+v", got)
	}
}

// TestKindIsBounded checks that kinds of steps differ if their names do, however long those
// are, and that names are short enough to be observed.
func TestKindIsBounded(t *testing.T) {
	if got := Kind("route", ""); got != "route" {
		t.Errorf("got %q", got)
	}
	if got := Kind("route", "image"); got != "route/image" {
		t.Errorf("got %q", got)
	}
	long := strings.Repeat("x", 10_000)
	one, two := Kind("route", long+"1"), Kind("route", long+"2")
	if one == two || len(one) > maxNameLength || !strings.HasPrefix(one, "route/xxx") {
		t.Errorf("got %q and %q", one, two)
	}
}
