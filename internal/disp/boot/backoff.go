package boot

import "time"

// Backoff determines the pauses between calls that fail: the first is Min, and each is
// twice as long as the one before, up to Max. Min must not exceed Max. The zero value has
// no pauses. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration

	last time.Duration // 0 before the first pause
}

// Next returns the pause after a call that failed.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, b.Min), b.Max)
	return b.last
}

// Reset makes the next pause the first one again, after a call that succeeded.
func (b *Backoff) Reset() { b.last = 0 }
