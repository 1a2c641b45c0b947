package interf

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// simKind is a kind of tasks in a simulation.
type simKind struct {
	name   string
	rate   float64 // starts per second
	runMS  float64 // median run time on a target of speed 1
	spread float64 // standard deviation of the logarithm of the true sizes of its tasks
}

// factors are the factors by which the kind of the first index is slowed by that of the
// second, at a time; 0 means 1.
type factors func(ms int) [4][4]float64

// sim plays the runs of one target, of up to four kinds, in steps of a millisecond.
type sim struct {
	kinds     []simKind
	speed     float64
	factors   factors
	period    func(ms int) float64 // factor by which all runs are longer; nil means 1
	heavyTail float64              // share of the runs that take three to ten times as long
	changed   func(ms, runs int, c Change)
	rng       *rand.Rand
	tracker   Tracker
	active    []*simRun
	present   [4]int
	runs      int // runs that have ended
}

// simRun is a run in a simulation.
type simRun struct {
	kind     int
	left     float64 // ms of work at speed 1
	began    int
	expected float64
	mark     *Mark
}

// simSlots is the number of runs that a target runs at once.
const simSlots = 12

// simTime returns the time that a number of ms of the simulation stands for.
func simTime(ms int) boot.Time {
	return boot.Time(time.Hour).Add(time.Duration(ms) * time.Millisecond)
}

// play simulates the time from fromMS to untilMS.
func (s *sim) play(fromMS, untilMS int) {
	for ms := fromMS; ms < untilMS; ms++ {
		for i, k := range s.kinds {
			if s.rng.Float64() < k.rate/1000 && len(s.active) < simSlots {
				s.begin(i, ms)
			}
		}
		s.advance(ms)
		if ms%100 == 0 {
			s.report(ms, s.tracker.Expire(simTime(ms)))
		}
	}
}

// begin starts a run whose size is declared 40 % off, and which varies by 15 %.
func (s *sim) begin(i, ms int) {
	k := s.kinds[i]
	size := k.runMS * math.Exp(k.spread*s.rng.NormFloat64())
	declared := size * math.Exp(math.Log(1.4)*s.rng.NormFloat64())
	left := size * math.Exp(.15*s.rng.NormFloat64())
	if s.rng.Float64() < s.heavyTail {
		left *= 3 + 7*s.rng.Float64()
	}
	s.present[i]++
	// Entries expect the geometric mean of what is declared and learnt.
	s.active = append(s.active, &simRun{kind: i, left: left, began: ms, expected: math.Sqrt(declared * k.runMS), mark: s.tracker.Begin(k.name, simTime(ms))})
}

// advance plays one millisecond of all runs.
func (s *sim) advance(ms int) {
	slowdown := [4]float64{1, 1, 1, 1}
	if s.period != nil {
		for i := range slowdown {
			slowdown[i] = s.period(ms)
		}
	}
	if s.factors != nil {
		f := s.factors(ms)
		for i := range slowdown {
			for j, n := range s.present {
				if f[i][j] > 0 && n > 0 && (i != j || n > 1) {
					slowdown[i] *= f[i][j]
				}
			}
		}
	}
	kept := s.active[:0]
	for _, r := range s.active {
		r.left -= s.speed / slowdown[r.kind]
		if r.left > 0 {
			kept = append(kept, r)
			continue
		}
		s.runs++
		s.present[r.kind]--
		ran := time.Duration(max(1, ms-r.began)) * time.Millisecond
		s.report(ms, s.tracker.End(r.mark, simTime(ms), time.Duration(r.expected)*time.Millisecond, ran))
	}
	s.active = kept
}

func (s *sim) report(ms int, changes []Change) {
	for _, c := range changes {
		if s.changed != nil {
			s.changed(ms, s.runs, c)
		}
	}
}
