package giveup

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// questionRate bounds the calls to other entries, a second. It bounds what questions cost this
	// entry, whatever the number of entries and jobs: beyond it each call has more jobs.
	questionRate = 300
	// callBurst is the number of calls that may be made at once: one to each of many processes.
	callBurst = 100
)

// budget bounds the rate of calls. The zero value has not been used. It is not safe for concurrent
// use.
type budget struct {
	next boot.Time // when the next call may be made, had there been no burst
}

// reserve reserves one call at now, of rate calls a second, and returns when it may be made.
func (b *budget) reserve(now boot.Time, rate int) boot.Time {
	interval := time.Second / time.Duration(rate)
	at := max(b.next, now.Add(-callBurst*interval))
	b.next = at.Add(interval)
	return max(now, at)
}
