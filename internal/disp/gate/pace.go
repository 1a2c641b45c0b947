package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// paceInterval is the least time between two observations of the progress of a run, since the
	// listing may be as old as the poll. Of a long run, paceShare of its expected time replaces it:
	// the target tells progress in whole percent.
	paceInterval = 150 * time.Millisecond
	paceShare    = 0.05
	// maxPaceAge is how long after the last observation a change of the pace counts. Without runs
	// nothing shows that the target is as it was again.
	maxPaceAge = 2 * time.Second
)

// progress is what the listings have shown of the progress of a run.
type progress struct {
	percent int       // at the last observation
	at      boot.Time // of the last observation; 0 before
}

// observePace records the progress of r, which a listing has shown at now, in the pace of the target.
func (g *Gate) observePace(r *run, now boot.Time) {
	p, expected := &r.progress, time.Duration(r.msg.ExpectedRunTime)*time.Millisecond
	elapsed := now.Sub(p.at)
	switch {
	case p.at == 0 || r.percent < p.percent:
		p.percent, p.at = r.percent, now
	case elapsed >= max(paceInterval, time.Duration(paceShare*float64(expected))):
		g.pace.Observe(time.Duration(r.percent-p.percent)*expected/100, elapsed)
		g.pacedAt = now
		p.percent, p.at = r.percent, now
	}
}

// currentSpeed returns the estimated speed of the target at this moment.
func (g *Gate) currentSpeed() float64 {
	if g.now().Sub(g.pacedAt) > maxPaceAge {
		return g.speed.Value()
	}
	return g.speed.Value() * g.pace.Change()
}
