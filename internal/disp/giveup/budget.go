package giveup

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// callInterval is the time between calls to other entries when many are made. It bounds what
	// questions cost this entry, whatever the number of entries and jobs: beyond it each call has
	// more jobs.
	callInterval = time.Second / 1200
	// startInterval replaces callInterval for startPeriod after the start of this entry, which has
	// all its connections to open.
	startInterval = time.Second / 600
	startPeriod   = 5 * time.Second
	// callBurst is the number of calls that may be made at once: some to each of many processes.
	callBurst = 100
)

// budget bounds the rate of calls. The zero value has not been used.
type budget struct {
	next boot.Time // when the next call may be made, had there been no burst
}

// reserve reserves one call at now, of which one may be made each interval, and returns when it may be
// made.
func (b *budget) reserve(now boot.Time, interval time.Duration) boot.Time {
	at := max(b.next, now.Add(-callBurst*interval))
	b.next = at.Add(interval)
	return max(now, at)
}

// intervalAt returns the time between calls at now for an entry that was started at started; 0 means
// that it has no former incarnation.
func intervalAt(started, now boot.Time) time.Duration {
	if started != 0 && now < started.Add(startPeriod) {
		return startInterval
	}
	return callInterval
}
