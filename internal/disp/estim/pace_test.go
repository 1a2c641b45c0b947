package estim

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// observeRuns adds n observations of parts of runs that take the given times as long as expected, but
// for an error of 40 % in the expectation.
func observeRuns(p *Pace, rng *rand.Rand, n int, slowdown float64) {
	for range n {
		const expected = 50 * time.Millisecond
		p.Observe(expected, time.Duration(float64(expected)*slowdown*math.Exp(0.4*rng.NormFloat64())))
	}
}

// A target that became five times slower kept its former estimate until runs had ended there, five
// times as late as usual, and got tasks meanwhile.
func TestPaceShowsSlowdownBeforeRunsEnd(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var p Pace
	observeRuns(&p, rng, 300, 1)
	if got := p.Change(); got != 1 {
		t.Errorf("at a steady speed: got %v", got)
	}
	observeRuns(&p, rng, 20, 5) // a third of a second with ten runs
	if got := p.Change(); got > 0.5 {
		t.Errorf("five times slower: got %v", got)
	}
	observeRuns(&p, rng, 400, 5)
	if got := p.Change(); got != 1 {
		t.Errorf("at the new speed: got %v", got)
	}
	observeRuns(&p, rng, 40, 1)
	if got := p.Change(); got < 1.5 {
		t.Errorf("fast again: got %v", got)
	}
}

// Errors of the expected run times must not look like changes of a target.
func TestPaceIsSteadyUnderBadEstimates(t *testing.T) {
	changes := 0
	const targets, samples = 50, 400
	for seed := range uint64(targets) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var p Pace
		for range samples {
			observeRuns(&p, rng, 1, 1)
			if p.Change() != 1 {
				changes++
			}
		}
	}
	if changes > targets*samples/100 {
		t.Errorf("%d of %d observations showed a change", changes, targets*samples)
	}
}
