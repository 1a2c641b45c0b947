package estim

import (
	"math"
	"time"
)

const (
	// fastPaceWeight and slowPaceWeight are the weights of a new observation in the two moving
	// means of a Pace. A target with some ten runs, each observed several times a second, shows
	// a change in the fast one within a third of a second; the slow one follows in a second or two,
	// as the estimate of the speed does.
	fastPaceWeight = 0.08
	slowPaceWeight = 0.016
	// minPaceChange is the least change that counts. Run times are estimated too badly to
	// tell less from the runs of a moment.
	minPaceChange = 1.6
	// minPaceCount is the number of observations before a change counts.
	minPaceCount = 25
)

// Pace notices a sudden change of the speed of a target from the progress of its runs, long before
// they end. The zero value has no observations.
type Pace struct {
	fast, slow float64 // moving means of the natural logarithms of the ratios of expected to observed time
	n          int     // number of observations
}

// Observe adds that a part of a run, expected to take the given time on a target of speed 1, took
// that long. It ignores the observation if took is not positive.
func (p *Pace) Observe(expected, took time.Duration) {
	if took <= 0 {
		return
	}
	log := math.Log(min(max(float64(expected)/float64(took), 1/maxSpeedRatio), maxSpeedRatio))
	p.n++
	p.fast += max(fastPaceWeight, 1/float64(p.n)) * (log - p.fast)
	p.slow += max(slowPaceWeight, 1/float64(p.n)) * (log - p.slow)
}

// Change returns the factor by which the target has become faster, or slower if it is below 1, than
// it was a few seconds ago. It is 1 without a clear change.
func (p *Pace) Change() float64 {
	change := math.Exp(p.fast - p.slow)
	if p.n < minPaceCount || change < minPaceChange && change > 1/minPaceChange {
		return 1
	}
	return change
}
