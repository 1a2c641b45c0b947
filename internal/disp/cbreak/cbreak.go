package cbreak

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// FailureThreshold is the number of failures without a success between them,
	// each of another job than the one before, that opens the breaker.
	FailureThreshold = 2
	// minOpenTime is how long the breaker stays open at first, before a half-open
	// probe; each failure while it is open doubles this, up to maxOpenTime.
	minOpenTime = 500 * time.Millisecond
	maxOpenTime = 4 * time.Second
	// probeTimeout is how long a probe may remain without a result before the next
	// one is allowed.
	probeTimeout = time.Second
)

// Breaker is the circuit breaker of one target. The zero value is closed. It is not
// safe for concurrent use.
type Breaker struct {
	lastJob    string        // job of the last failure that was counted
	failedJobs int           // failures counted since the last success
	reason     string        // why the breaker is open or half-open; empty if it is closed
	openTime   time.Duration // from the last failure to the next probe
	probeAt    boot.Time     // when the breaker becomes half-open, which allows a probe
}

// RecordSuccess closes the breaker and reports whether it was open or half-open.
func (b *Breaker) RecordSuccess() bool {
	wasOpen := b.reason != ""
	*b = Breaker{}
	return wasOpen
}

// RecordFailure records that a task of job failed at the target at now, and reports
// whether this opened the closed breaker, for the given reason.
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

// OpenReason returns the reason why the breaker is open at now, or the empty string
// if the target may get a task: the breaker is closed, or half-open and ready for a
// probe.
func (b *Breaker) OpenReason(now boot.Time) string {
	if b.reason == "" || now >= b.probeAt {
		return ""
	}
	return b.reason
}

// RecordStart records that a task is started at the target at now. If the breaker
// is half-open, that task is the probe, and the breaker counts as open until the
// probe has a result or probeTimeout has passed.
func (b *Breaker) RecordStart(now boot.Time) {
	if b.reason != "" && now >= b.probeAt {
		b.probeAt = now.Add(probeTimeout)
	}
}

// backOff keeps the breaker open from now on for twice the previous openTime, within
// minOpenTime and maxOpenTime.
func (b *Breaker) backOff(now boot.Time) {
	b.openTime = min(max(2*b.openTime, minOpenTime), maxOpenTime)
	b.probeAt = now.Add(b.openTime)
}
