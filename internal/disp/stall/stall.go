package stall

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	// MinLength is the length from which a stall counts. It is longer than a process may
	// wait for its turn on a busy machine, and short beside the time after which callers
	// submit a job again.
	MinLength = 300 * time.Millisecond
	// backlogTime is how long after a stall messages are still read that may have arrived
	// during it.
	backlogTime   = time.Second
	checkInterval = 100 * time.Millisecond
)

// EarliestSend returns the earliest time at which a message that is read at readAt can have
// been sent if the process has stood still not long before.
func EarliestSend(readAt boot.Time) boot.Time { return readAt.Add(-backlogTime) }

// Detector detects the stalls of its process by gaps of the boot clock. Set Now before
// use. It is safe for concurrent use, and its zero value is ready to use.
type Detector struct {
	// Now returns the present time; nil means boot.Now.
	Now func() boot.Time
	// Event logs a stall; nil discards it.
	Event func(event string, pairs ...any)

	mu        sync.Mutex
	lastCheck boot.Time // 0 before Run
	lastEnd   boot.Time // end of the latest stall; 0 if there was none
}

// Run checks the clock until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	d.mu.Lock()
	d.lastCheck = d.now()
	d.mu.Unlock()
	for ctx.Err() == nil {
		boot.Sleep(ctx, checkInterval)
		d.LastEnd()
	}
}

// LastEnd returns the time at which the latest stall was noticed, or 0 if there was none
// since the call of Run. A stall is noticed by the first call after it, whoever makes it.
func (d *Detector) LastEnd() boot.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastCheck == 0 {
		return 0
	}
	now := d.now()
	if length := now.Sub(d.lastCheck); length >= MinLength {
		d.lastEnd = now
		d.event("stalled", "for", length)
	}
	d.lastCheck = now
	return d.lastEnd
}

func (d *Detector) event(event string, pairs ...any) {
	if d.Event != nil {
		d.Event(event, pairs...)
	}
}

func (d *Detector) now() boot.Time {
	if d.Now != nil {
		return d.Now()
	}
	return boot.Now()
}
