package estim

import (
	"math"
	"time"
)

const (
	speedWeight = 0.08 // of a new ratio against what was learned before
	speedBound  = 16.0 // ratios beyond it, or below its inverse, are cut to it
)

// Speed learns how fast a target runs tasks against what was expected. The zero
// value takes it for 1.
type Speed struct {
	log float64 // natural logarithm
	n   int
}

// Note takes in a task that was expected to take want ms at speed 1.
func (s *Speed) Observe(want int64, took time.Duration) {
	if want <= 0 || took <= 0 {
		return
	}
	ratio := float64(want) / (float64(took) / float64(time.Millisecond))
	ratio = min(max(ratio, 1/speedBound), speedBound)
	s.n++
	weight := max(speedWeight, 1/float64(s.n+1))
	s.log += weight * (math.Log(ratio) - s.log)
}

// Value returns the speed.
func (s *Speed) Value() float64 { return math.Exp(s.log) }
