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

// sim plays the runs of one target, of up to four kinds, from event to event.
type sim struct {
	kinds     []simKind
	speed     float64
	factors   factors              // nil means none
	period    func(ms int) float64 // factor by which all runs are longer; nil means 1
	heavyTail float64              // share of the runs that take three to ten times as long
	changed   func(ms, runs int, c Change)
	rng       *rand.Rand
	tracker   Tracker
	now       float64 // ms
	active    []*simRun
	present   [4]int
	next      [4]float64 // for each kind, the ms of its next start; 0 before the first
	runs      int        // runs that have ended
}

// simRun is a run in a simulation.
type simRun struct {
	kind     int
	left     float64 // ms of work at speed 1
	began    float64
	expected float64
	mark     *Mark
}

const (
	// simSlots is the number of runs that a target runs at once.
	simSlots = 12
	// simTick is the ms between two looks at factors, period and Tracker.Expire.
	simTick = 50
)

// simTime returns the time that a number of ms of the simulation stands for.
func simTime(ms int) boot.Time { return simExactTime(float64(ms)) }

func simExactTime(ms float64) boot.Time {
	return boot.Time(time.Hour).Add(time.Duration(ms * float64(time.Millisecond)))
}

// play simulates until the given ms, a multiple of simTick.
func (s *sim) play(untilMS int) {
	if s.now == 0 {
		for i := range s.kinds {
			s.next[i] = s.pause(i)
		}
	}
	for tick := int(s.now); tick < untilMS; tick += simTick {
		for s.now < float64(tick+simTick) {
			s.advance(tick)
		}
		s.report(s.tracker.Expire(simExactTime(s.now)))
	}
}

// pause returns the ms between two starts of the kind with index i.
func (s *sim) pause(i int) float64 { return 1000 * s.rng.ExpFloat64() / s.kinds[i].rate }

// advance plays until the next start or end of a run, or the end of the tick.
func (s *sim) advance(tick int) {
	slowdown := s.slowdowns(tick)
	until := float64(tick + simTick)
	for i := range s.kinds {
		until = min(until, s.next[i])
	}
	for _, r := range s.active {
		until = min(until, s.now+r.left*slowdown[r.kind]/s.speed)
	}
	elapsed := until - s.now
	s.now = until
	kept := s.active[:0]
	for _, r := range s.active {
		r.left -= elapsed * s.speed / slowdown[r.kind]
		if r.left > 1e-6 {
			kept = append(kept, r)
			continue
		}
		s.end(r)
	}
	s.active = kept
	for i := range s.kinds {
		if s.next[i] <= s.now {
			s.begin(i)
			s.next[i] += s.pause(i)
		}
	}
}

// slowdowns returns by how much longer runs of each kind take now.
func (s *sim) slowdowns(ms int) [4]float64 {
	slowdown := [4]float64{1, 1, 1, 1}
	if s.period != nil {
		p := s.period(ms)
		slowdown = [4]float64{p, p, p, p}
	}
	if s.factors == nil {
		return slowdown
	}
	f := s.factors(ms)
	for i := range slowdown {
		for j, n := range s.present {
			if f[i][j] > 0 && n > 0 && (i != j || n > 1) {
				slowdown[i] *= f[i][j]
			}
		}
	}
	return slowdown
}

// begin starts a run, whose size is declared 40 % off and varies by 15 %, if there is room.
func (s *sim) begin(i int) {
	if len(s.active) == simSlots {
		return
	}
	k := s.kinds[i]
	size := k.runMS * math.Exp(k.spread*s.rng.NormFloat64())
	declared := size * math.Exp(math.Log(1.4)*s.rng.NormFloat64())
	left := size * math.Exp(.15*s.rng.NormFloat64())
	if s.rng.Float64() < s.heavyTail {
		left *= 3 + 7*s.rng.Float64()
	}
	s.present[i]++
	// Entries expect the geometric mean of what is declared and learnt.
	s.active = append(s.active, &simRun{kind: i, left: left, began: s.now, expected: math.Sqrt(declared * k.runMS), mark: s.tracker.Begin(k.name, simExactTime(s.now))})
}

func (s *sim) end(r *simRun) {
	s.runs++
	s.present[r.kind]--
	ran := time.Duration(max(1, math.Round(s.now-r.began))) * time.Millisecond
	s.report(s.tracker.End(r.mark, simExactTime(s.now), time.Duration(r.expected)*time.Millisecond, ran))
}

func (s *sim) report(changes []Change) {
	for _, c := range changes {
		if s.changed != nil {
			s.changed(int(s.now), s.runs, c)
		}
	}
}
