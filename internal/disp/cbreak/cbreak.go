package cbreak

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// Streak is the number of jobs that fail one after the other, with no
	// success between, before the target is set aside.
	Streak = 2
	// firstPause is how long a target stays aside before it is tried again;
	// each trial that fails doubles it up to longestPause.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// trialWait is how long a trial may stay without a result before the next.
	trialWait = time.Second
)

// Record is what is known of one target. The zero value trusts it. It is not
// safe for concurrent use.
type Breaker struct {
	lastJob string
	streak  int
	reason  string // why the target is aside; empty if it is not
	pause   time.Duration
	retryAt boot.Time
}

// Good notes a success, and reports whether the target had been set aside.
func (r *Breaker) Good() bool {
	aside := r.reason != ""
	*r = Breaker{}
	return aside
}

// Bad notes that a task of job went wrong at the target at now, and reports
// whether the target has just been set aside.
func (r *Breaker) Bad(job, reason string, now boot.Time) bool {
	if r.reason != "" {
		r.postpone(now)
		return false
	}
	if job != r.lastJob {
		r.lastJob = job
		r.streak++
	}
	if r.streak < Streak {
		return false
	}
	r.reason = reason
	r.postpone(now)
	return true
}

// Aside returns the reason why the target gets no tasks at now, or nothing if
// it gets them. One task is let through as a trial when its time has come.
func (r *Breaker) Aside(now boot.Time) string {
	if r.reason == "" || now >= r.retryAt {
		return ""
	}
	return r.reason
}

// Trial notes that a task was given to the target at now. While the target is
// on trial no further task is wanted until a result or trialWait has passed.
func (r *Breaker) Trial(now boot.Time) {
	if r.reason != "" && now >= r.retryAt {
		r.retryAt = now.Add(trialWait)
	}
}

func (r *Breaker) postpone(now boot.Time) {
	r.pause = min(max(2*r.pause, firstPause), longestPause)
	r.retryAt = now.Add(r.pause)
}
