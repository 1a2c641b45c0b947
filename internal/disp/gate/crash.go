package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// CrashPrefix begins the names of the counters of losses of runs with the target. What the loss
// proves follows.
const CrashPrefix = "lost.crash."

// CrashCounters returns the names of these counters.
func CrashCounters() []string {
	return []string{CrashPrefix + msgs.CrashSuspected.String(), CrashPrefix + msgs.CrashProven.String()}
}

// isOver reports whether the task of r has a result.
func (r *run) isOver() bool { return r.state.Phase() == start.Over }

// remaining returns for how long r is expected to go on at least, of which the target has listed percent.
func (g *Gate) remaining(r *run, percent int) time.Duration {
	least := r.msg.ExpectedRunTime
	if r.msg.LeastRunTime > 0 {
		least = min(least, r.msg.LeastRunTime)
	}
	left := time.Duration(least) * time.Millisecond * time.Duration(max(0, 100-percent)) / 100
	return time.Duration(float64(left) / max(1, g.currentSpeed()))
}

// loseWithTarget finishes r, which is lost for the given reason with its target. That was known to
// be down at downAt; 0 means that it is only silent.
func (g *Gate) loseWithTarget(r *run, reason string, downAt boot.Time) {
	if reason == cause.Departed {
		g.finish(r, msgs.Lost, reason)
		return
	}
	g.lose(r, r.state.Crash(downAt), reason)
}

// lose finishes r, which is lost with its target, and records what that proves. Its entry is not
// told that a target crashed or restarted that has left, or that need not have begun r.
func (g *Gate) lose(r *run, c msgs.Crash, reason string) {
	if reason == cause.TargetCrashed || reason == cause.TargetRestarted {
		switch {
		case c == msgs.NoCrash:
			reason = cause.Departed
		case !r.state.HasBegun():
			reason = cause.Unanswered
		}
	}
	r.crash = c
	if c != msgs.NoCrash {
		g.losses.Add(msgs.Loss{Task: r.msg.Name, Crash: c, Entry: r.id.entry, Incarnation: r.id.incarnation, ID: r.id.id}, g.now())
		g.count(CrashPrefix + c.String())
	}
	g.finish(r, msgs.Lost, reason)
}
