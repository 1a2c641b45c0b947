package interf

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

const (
	loopTargets = 20
	loopMS      = 30_000
	loopCPU     = 1000
	loopSize    = 125
	loopFactor  = 1.5
)

// loopRun is a run in a loop.
type loopRun struct {
	target, kind int
	left         float64 // ms of work at speed 1
	began, due   int     // ms
	expected     time.Duration
	mark         *Mark
}

// loop plays tasks of two kinds that slow each other at targets of speed 0.7 to 1.2, placed by
// what trackers at the targets find.
type loop struct {
	rng      *rand.Rand
	gates    [loopTargets]pick.Gate
	counts   [loopTargets][2]int
	trackers [loopTargets]Tracker
	merger   Merger
	runs     []*loopRun
	total    int
	inTime   int
	inForce  int // ms
}

var (
	loopKinds    = [2]string{"a", "b"}
	loopRunTimes = [2]float64{100, 200}
)

// play returns the share of the tasks that end within 1.6 times their run time plus 60 ms, and the
// share of the time for which both pairs were in force, at the given share of the capacity.
func (l *loop) play(share float64, aware bool) (inTime, inForce float64) {
	capacity := 0.0
	for i := range l.gates {
		l.gates[i] = pick.Gate{Capacity: rsrc.Vector{CPU: loopCPU}, Speed: 0.7 + 0.5*float64(i)/(loopTargets-1)}
		capacity += l.gates[i].Speed * loopCPU / loopSize
	}
	rate := share * capacity / (loopRunTimes[0] + loopRunTimes[1])
	for ms := range loopMS {
		if aware && ms%mergeMS == 0 {
			for i := range l.trackers {
				l.trackers[i].Expire(simTime(ms))
				l.trackers[i].Pairs(l.merger.Add)
			}
			l.merger.Merge(loopTargets)
		}
		if len(l.merger.Table()) == 2 {
			l.inForce++
		}
		for kind := range loopKinds {
			if l.rng.Float64() < rate {
				l.place(ms, kind)
			}
		}
		l.advance(ms)
	}
	return float64(l.inTime) / float64(l.total), float64(l.inForce) / loopMS
}

// place starts a task at the gate that pick chooses, unless it would wait there.
func (l *loop) place(ms, kind int) {
	l.total++
	for i := range l.gates {
		g := &l.gates[i]
		g.Slowdown, g.Harm = 1, 0
		for _, e := range l.merger.Table()[loopKinds[kind]] {
			if n := l.counts[i][1-kind]; n > 0 && e.Other == loopKinds[1-kind] {
				g.Slowdown, g.Harm = e.Slowed, float64(n)*(e.Slows-1)
			}
		}
	}
	runTime := loopRunTimes[kind]
	declared := runTime * math.Exp(math.Log(1.4)*l.rng.NormFloat64())
	expected := time.Duration(math.Sqrt(declared*runTime) * float64(time.Millisecond))
	c := pick.Best(l.gates[:], pick.Task{Size: rsrc.Vector{CPU: loopSize}, RunTime: expected})
	if c.Wait > 0 {
		return // refused, and so late
	}
	l.gates[c.Gate].Used.CPU += loopSize
	l.counts[c.Gate][kind]++
	l.runs = append(l.runs, &loopRun{
		target: c.Gate, kind: kind, left: runTime * math.Exp(.15*l.rng.NormFloat64()), began: ms, due: ms + int(1.6*runTime) + 60,
		expected: expected, mark: l.trackers[c.Gate].Begin(loopKinds[kind], simTime(ms)),
	})
}

// advance plays one millisecond of all runs.
func (l *loop) advance(ms int) {
	kept := l.runs[:0]
	for _, r := range l.runs {
		speed := l.gates[r.target].Speed
		if l.counts[r.target][1-r.kind] > 0 {
			speed /= loopFactor
		}
		if r.left -= speed; r.left > 0 {
			kept = append(kept, r)
			continue
		}
		l.gates[r.target].Used.CPU -= loopSize
		l.counts[r.target][r.kind]--
		l.trackers[r.target].End(r.mark, simTime(ms), r.expected, time.Duration(max(1, ms-r.began))*time.Millisecond)
		if ms <= r.due {
			l.inTime++
		}
	}
	l.runs = kept
}

// TestPlacementByFindingsServesMoreInTime checks that what trackers find, while tasks are placed
// by it, so that there is less to find, lets more callers get their answers in time.
func TestPlacementByFindingsServesMoreInTime(t *testing.T) {
	for _, share := range []float64{0.4, 0.6, 0.7, 0.8} {
		play := func(aware bool) (float64, float64) {
			return (&loop{rng: rand.New(rand.NewPCG(1, 2))}).play(share, aware)
		}
		without, _ := play(false)
		with, inForce := play(true)
		t.Logf("load of %.0f %%: in time %.2f %% without, %.2f %% with; in force for %.2f of the time", 100*share, 100*without, 100*with, inForce)
		if with < without {
			t.Errorf("load of %v: %v in time with, %v without", share, with, without)
		}
	}
}
