package giveup

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// callInterval is the time between calls to other entries when many are made. It bounds what
	// questions cost this entry, whatever the number of entries and jobs: beyond it each call has
	// more jobs.
	callInterval = time.Second / 300
	// callBurst is the number of calls that may be made at once: some to each of many processes.
	callBurst = 200
)

// budget bounds the rate of calls. The zero value has not been used.
type budget struct {
	next boot.Time // when the next call may be made, had there been no burst
}

// reserve reserves one call at now, and returns when it may be made.
func (b *budget) reserve(now boot.Time) boot.Time {
	at := max(b.next, now.Add(-callBurst*callInterval))
	b.next = at.Add(callInterval)
	return max(now, at)
}
