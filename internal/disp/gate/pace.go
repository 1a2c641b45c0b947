package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// paceInterval is the least time between two observations of the progress of a run. The target tells
// progress in whole percent, and the listing may be as old as the poll.
const paceInterval = 150 * time.Millisecond

// progress is what the listings have shown of the progress of a run.
type progress struct {
	percent int       // at the last observation
	at      boot.Time // of the last observation; 0 before
}

// observePace records the progress of r, which a listing has shown at now, in the pace of the target.
func (g *Gate) observePace(r *run, now boot.Time) {
	p := &r.progress
	elapsed := now.Sub(p.at)
	switch {
	case p.at == 0 || r.percent < p.percent:
		p.percent, p.at = r.percent, now
	case elapsed >= paceInterval:
		done := r.percent - p.percent
		g.pace.Observe(time.Duration(done)*time.Duration(r.msg.ExpectedRunTime)*time.Millisecond/100, elapsed)
		p.percent, p.at = r.percent, now
	}
}

// currentSpeed returns the estimated speed of the target at this moment.
func (g *Gate) currentSpeed() float64 { return g.speed.Value() * g.pace.Change() }
