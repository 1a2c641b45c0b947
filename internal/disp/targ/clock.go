package targ

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// Rate is the slowest that a target's clock runs, against real time.
const Rate = 0.98

// Clock is a lower bound of a target's clock. The zero value knows nothing.
type Clock struct {
	Set   bool
	Read  int64     // ms
	After boot.Time // a moment at which the target's clock was at Read or later
}

// Note takes in a reading that arrived at now.
func (c *Clock) Note(read int64, now boot.Time) {
	if !c.Set || read > c.At(now) {
		*c = Clock{Set: true, Read: read, After: now}
	}
}

// At returns the least that the target's clock can show at now, in ms.
func (c *Clock) At(now boot.Time) int64 {
	return c.Read + int64(Rate*float64(now.Sub(c.After))/float64(time.Millisecond))
}
