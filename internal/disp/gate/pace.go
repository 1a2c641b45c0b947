package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
)

const (
	// paceInterval is the least time between two observations of the progress of a run. The target
	// tells progress in whole percent, and the listing may be as old as the poll.
	paceInterval = 150 * time.Millisecond
	// restartCost is the time until a run that is stopped has been started elsewhere: the target
	// may take the stop time, and two more calls and a placement follow.
	restartCost = 100 * time.Millisecond
)

// progress is what the listings have shown of the progress of a run.
type progress struct {
	percent int       // at the last observation
	at      boot.Time // of the last observation; 0 before
	rate    float64   // percent a millisecond between the last two observations; 0 before
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
		p.percent, p.at, p.rate = r.percent, now, float64(done)/float64(elapsed.Milliseconds())
	}
}

// currentSpeed returns the estimated speed of the target at this moment.
func (g *Gate) currentSpeed() float64 { return g.speed.Value() * g.pace.Change() }

// moveIfOvertaken stops r if the target has become so slow that r would end sooner if it were started
// anew elsewhere, and by more than it has run. A task is moved once: if the next target is slow too,
// a third is not likely to do better.
func (g *Gate) moveIfOvertaken(r *run, now boot.Time) {
	change := g.pace.Change()
	if r.msg.Moved || change >= 1 || r.progress.rate <= 0 {
		return
	}
	left := float64(100-r.percent) / r.progress.rate // ms
	whole := 100 / r.progress.rate * change          // ms, at the speed of before
	gain := time.Duration((left-whole)*float64(time.Millisecond)) - restartCost
	if gain <= now.Sub(r.startedAt) {
		return
	}
	g.trace("task_overtaken", "job", r.msg.Job, "task", r.msg.Name, "percent", r.percent, "change", int(100*change), "gain", gain)
	g.abandon(r, cause.Overtaken)
}
