package estim

import (
	"math"
	"time"
)

const (
	minSpeedWeight = 0.08 // least weight of a new observation in the moving mean
	maxSpeedRatio  = 16.0 // observed ratios are clamped to the range from 1/maxSpeedRatio to maxSpeedRatio
)

// Speed estimates the speed of a target, the ratio of the expected to the observed run
// times of its tasks. The zero value has the speed 1.
type Speed struct {
	log float64 // moving mean of the natural logarithms of the ratios
	n   int     // number of observations
}

// Observe adds the run time of a task that was expected to run for expectedMS
// milliseconds on a target of speed 1. It ignores the observation if either value is
// not positive.
func (s *Speed) Observe(expectedMS int64, runTime time.Duration) {
	if expectedMS <= 0 || runTime <= 0 {
		return
	}
	ratio := float64(expectedMS) / (float64(runTime) / float64(time.Millisecond))
	ratio = min(max(ratio, 1/maxSpeedRatio), maxSpeedRatio)
	s.n++
	// The initial speed of 1 counts as one observation.
	weight := max(minSpeedWeight, 1/float64(s.n+1))
	s.log += weight * (math.Log(ratio) - s.log)
}

// Distrust makes the estimate count as only one observation, like the initial speed, since the
// target's speed has changed: it follows within a few runs.
func (s *Speed) Distrust() { s.n = 0 }

// Value returns the estimated speed.
func (s *Speed) Value() float64 { return math.Exp(s.log) }
