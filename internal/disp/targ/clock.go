package targ

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// Rate is the slowest that a target's clock runs, against real time.
const MinRate = 0.98

// Clock is a lower bound of a target's clock. The zero value knows nothing.
type ClockBound struct {
	HasReading bool
	Reading    int64     // ms
	ReadAt     boot.Time // a moment at which the target's clock was at Read or later
}

// Note takes in a reading that arrived at now.
func (c *ClockBound) Update(read int64, now boot.Time) {
	if !c.HasReading || read > c.At(now) {
		*c = ClockBound{HasReading: true, Reading: read, ReadAt: now}
	}
}

// At returns the least that the target's clock can show at now, in ms.
func (c *ClockBound) At(now boot.Time) int64 {
	return c.Reading + int64(MinRate*float64(now.Sub(c.ReadAt))/float64(time.Millisecond))
}
