package targ

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// MinRate is the lowest rate at which a target's clock advances, relative to real
// time.
const MinRate = 0.98

// ClockBound is a lower bound of a target's clock. Its times must be of a clock that stands
// still while the machine is suspended, as the target's does. The zero value has no reading.
type ClockBound struct {
	HasReading bool
	Reading    int64     // ms
	ReadAt     boot.Time // a time at which the target's clock showed Reading or more
}

// Update processes a reading, in ms, that arrived at now. A reading that doesn't
// raise the bound is ignored.
func (c *ClockBound) Update(reading int64, now boot.Time) {
	if !c.HasReading || reading > c.At(now) {
		*c = ClockBound{HasReading: true, Reading: reading, ReadAt: now}
	}
}

// At returns the least that the target's clock can show at now, in ms. It is
// meaningless without a reading.
func (c *ClockBound) At(now boot.Time) int64 {
	return c.Reading + int64(MinRate*float64(now.Sub(c.ReadAt))/float64(time.Millisecond))
}
