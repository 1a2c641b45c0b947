package drain

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// connectPeriod is how long a process accepts new connections after the signal. The load
	// balancer misses two checks, one a second, before it uses other processes only.
	connectPeriod = 2500 * time.Millisecond
	// acceptPeriod is how long a process accepts jobs on open connections after the signal.
	acceptPeriod = 2900 * time.Millisecond
	// answerMargin is the time between the last answers and the kill, and exitMargin that between
	// the end of the process and the kill.
	answerMargin = 300 * time.Millisecond
	exitMargin   = 100 * time.Millisecond
	// answerCost is the time in which an entry with a seventh of a core ends a job and writes its
	// answer while it does other work.
	answerCost = 2 * time.Millisecond
)

// Largest parts of the time until the kill that the periods and margins take, in percent.
const (
	maxAcceptPercent       = 50
	maxAnswerMarginPercent = 20
	maxExitMarginPercent   = 5
)

// Plan is the schedule of the end of a process. Its times are in order, and none is after the kill.
// The zero value is that of a process which is not stopping.
type Plan struct {
	// AcceptUntil is when the process refuses jobs from.
	AcceptUntil boot.Time
	// ConnectUntil is the earliest time at which it closes its doors to new connections. It may be
	// after AcceptUntil: a caller that is refused at once goes elsewhere, one that is not connected
	// does not know why.
	ConnectUntil boot.Time
	// AnswerBy is when each caller has its answer.
	AnswerBy boot.Time
	// ExitBy is when the process closes its connections, whatever is left.
	ExitBy boot.Time
}

// New returns the plan of a process that is told to stop at now and is killed the given time after
// that. A time of 0 or less means that the kill may come at once.
func New(now boot.Time, grace time.Duration) Plan {
	grace = max(grace, 0)
	answerBy := grace - min(answerMargin, part(grace, maxAnswerMarginPercent))
	return Plan{
		AcceptUntil:  now.Add(min(acceptPeriod, part(grace, maxAcceptPercent))),
		ConnectUntil: now.Add(min(connectPeriod, answerBy)),
		AnswerBy:     now.Add(answerBy),
		ExitBy:       now.Add(grace - min(exitMargin, part(grace, maxExitMarginPercent))),
	}
}

// part returns the given percentage of d.
func part(d time.Duration, percent int64) time.Duration { return d * time.Duration(percent) / 100 }

// Stopping reports whether the process was told to stop.
func (p Plan) Stopping() bool { return p.ExitBy != 0 }

// Accepts reports whether the process takes jobs at now.
func (p Plan) Accepts(now boot.Time) bool { return !p.Stopping() || now < p.AcceptUntil }

// Allows reports whether a job that takes at least d from now on can be answered in time.
func (p Plan) Allows(now boot.Time, d time.Duration) bool {
	return !p.Stopping() || d < p.AnswerBy.Sub(now)
}

// MaxWaiting returns how many callers may wait for their answers at now, so that all can be told by
// AnswerBy; none from then on.
func (p Plan) MaxWaiting(now boot.Time) int {
	return max(0, int(p.AnswerBy.Sub(now)/answerCost))
}
