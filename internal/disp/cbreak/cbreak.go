package cbreak

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// Streak is the number of jobs that fail one after the other, with no
	// success between, before the target is set aside.
	FailureThreshold = 2
	// firstPause is how long a target stays aside before it is tried again;
	// each trial that fails doubles it up to longestPause.
	minOpenTime = 500 * time.Millisecond
	maxOpenTime = 4 * time.Second
	// trialWait is how long a trial may stay without a result before the next.
	probeTimeout = time.Second
)

// Record is what is known of one target. The zero value trusts it. It is not
// safe for concurrent use.
type Breaker struct {
	lastJob    string
	failedJobs int
	reason     string // why the target is aside; empty if it is not
	openTime   time.Duration
	probeAt    boot.Time
}

// Good notes a success, and reports whether the target had been set aside.
func (b *Breaker) RecordSuccess() bool {
	aside := b.reason != ""
	*b = Breaker{}
	return aside
}

// Bad notes that a task of job went wrong at the target at now, and reports
// whether the target has just been set aside.
func (b *Breaker) RecordFailure(job, reason string, now boot.Time) bool {
	if b.reason != "" {
		b.backOff(now)
		return false
	}
	if job != b.lastJob {
		b.lastJob = job
		b.failedJobs++
	}
	if b.failedJobs < FailureThreshold {
		return false
	}
	b.reason = reason
	b.backOff(now)
	return true
}

// Aside returns the reason why the target gets no tasks at now, or nothing if
// it gets them. One task is let through as a trial when its time has come.
func (b *Breaker) OpenReason(now boot.Time) string {
	if b.reason == "" || now >= b.probeAt {
		return ""
	}
	return b.reason
}

// Trial notes that a task was given to the target at now. While the target is
// on trial no further task is wanted until a result or trialWait has passed.
func (b *Breaker) RecordStart(now boot.Time) {
	if b.reason != "" && now >= b.probeAt {
		b.probeAt = now.Add(probeTimeout)
	}
}

func (b *Breaker) backOff(now boot.Time) {
	b.openTime = min(max(2*b.openTime, minOpenTime), maxOpenTime)
	b.probeAt = now.Add(b.openTime)
}
