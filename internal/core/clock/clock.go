package clock

import (
	"sync"
	"time"
)

// Clock returns the cluster time. The zero value starts at the time of the wall
// clock. It is safe for concurrent use.
type Clock struct {
	// Source returns the time of a clock with a monotonic reading. If it is nil,
	// time.Now is used.
	Source func() time.Time

	mu          sync.Mutex
	baseReading time.Time // reading of Source when reference was set, zero before that
	reference   time.Time // cluster time at baseReading
}

// Tolerance is how far the cluster time of a Clock may be behind a new reference
// without being adjusted to it.
const Tolerance = 250 * time.Millisecond

// Adjust sets the cluster time to reference if it has neither been set nor read
// before. After that it moves the cluster time forward to reference, and only if
// reference is more than Tolerance ahead. It reports whether it set the time.
func (c *Clock) Adjust(reference time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.baseReading.IsZero() && reference.Sub(c.clusterTime()) <= Tolerance {
		return false
	}
	c.baseReading = c.readSource()
	c.reference = reference.Round(0)
	return true
}

// Now returns the current cluster time, which never goes back.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.baseReading.IsZero() {
		c.baseReading = c.readSource()
		c.reference = c.baseReading.Round(0)
	}
	return c.clusterTime()
}

// Until returns the time left until t, which is negative once t has passed.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// clusterTime returns the current cluster time. The clock must have been set.
func (c *Clock) clusterTime() time.Time { return c.reference.Add(c.readSource().Sub(c.baseReading)) }

func (c *Clock) readSource() time.Time {
	if c.Source != nil {
		return c.Source()
	}
	return time.Now()
}
