package clock

import (
	"sync"
	"time"
)

// Clock reads cluster time. The zero value starts at the wall clock's reading.
type Clock struct {
	// Source reads a clock with a monotonic part; nil means time.Now.
	Source func() time.Time

	mu    sync.Mutex
	start time.Time
	ref   time.Time
}

// Tolerance is how far the reading may lie behind a reference unadjusted.
const Tolerance = 250 * time.Millisecond

// Follow fixes the reading to ref if nothing has been read yet. Otherwise it
// moves the reading forward to ref if that is more than Tolerance ahead. It
// reports whether the reading changed.
func (c *Clock) Adjust(ref time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.start.IsZero() && ref.Sub(c.now()) <= Tolerance {
		return false
	}
	c.start = c.source()
	c.ref = ref.Round(0)
	return true
}

// Now returns the present cluster time. It never goes back.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start.IsZero() {
		c.start = c.source()
		c.ref = c.start.Round(0)
	}
	return c.now()
}

// Until returns the time left before t, which is negative once t has passed.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func (c *Clock) now() time.Time { return c.ref.Add(c.source().Sub(c.start)) }

func (c *Clock) source() time.Time {
	if c.Source != nil {
		return c.Source()
	}
	return time.Now()
}
