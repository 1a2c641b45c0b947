package admit

import (
	"sync"
	"time"
)

const (
	// targetShare is the share of tasks that may wait for longer than their slack.
	targetShare = 0.05
	// step is the change of the limit by one task, as a share of the slack.
	step = 0.04
	// minShare is the least share of the slack that the limit falls to.
	minShare = 0.25
	// startShare is the share before the first observation. An entry that has just
	// started does not know yet how fast the targets are, and often many callers wait
	// for it.
	startShare = 0.5
)

// Limiter adapts the longest wait with which jobs are accepted. The zero value accepts
// waits up to startShare of the slack. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	adapted float64 // what observations have added to startShare
}

// MaxWait returns the longest expected wait with which a job may be accepted that has
// the given slack, that is, time until its latest start. A job without slack may not
// wait at all.
func (l *Limiter) MaxWait(slack time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration((startShare + l.adapted) * float64(max(0, slack)))
}

// Observe records how long a task of an accepted job waited until it started, and the
// slack of the job when it was accepted. Tasks of jobs without slack are ignored.
func (l *Limiter) Observe(waited, slack time.Duration) {
	if slack <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	change := targetShare * step
	if waited > slack {
		change = -(1 - targetShare) * step
	}
	l.adapted = min(max(minShare-startShare, l.adapted+change), 1-startShare)
}
