// Package cancel remembers which jobs were cancelled. A job that was cancelled stays so, also if its
// request is read only afterwards, or comes again.
//
// The package reads no clock and does no I/O.
package cancel

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// Retention is how long cancellations are remembered. It is longer than an entry stands still, and
// than callers wait before they submit a job again.
const Retention = time.Minute

// maxJobs is the number of cancellations that are remembered; older ones are dropped.
const maxJobs = 10_000

// Log is a log of cancellations. The zero value is empty. It is not safe for concurrent use.
type Log struct {
	expiries map[string]boot.Time // by job
	order    []string             // jobs in the order in which they were added, some more than once
}

// Add adds the cancellation of a job at now, or extends it.
func (l *Log) Add(job string, now boot.Time) {
	if l.expiries == nil {
		l.expiries = map[string]boot.Time{}
	}
	l.expiries[job] = now.Add(Retention)
	l.order = append(l.order, job)
	for len(l.order) > maxJobs || l.expired(l.order[0], now) {
		delete(l.expiries, l.order[0])
		l.order = l.order[1:]
	}
}

// Has reports whether the job has been cancelled in the time before now that is remembered.
func (l *Log) Has(job string, now boot.Time) bool { return now < l.expiries[job] }

// expired reports whether the cancellation of a job is not remembered any more.
func (l *Log) expired(job string, now boot.Time) bool { return now >= l.expiries[job] }
