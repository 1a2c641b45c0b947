package boot

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a moment, in nanoseconds since the machine started. The zero value is
// before every moment that Now returns.
type Time int64

// Now returns the present moment.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the kernel has had this clock since 2.6.39
	}
	return Time(ts.Nano())
}

// Add returns the moment d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time from o to t.
func (t Time) Sub(o Time) time.Duration { return time.Duration(t - o) }

// Milli returns t in whole milliseconds.
func (t Time) Milli() int64 { return int64(t) / int64(time.Millisecond) }

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) { Await(ctx, nil, d) }

// Await waits for d, until ctx ends or until something comes through wake, and
// reports whether it did.
func Await(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-wake:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}
