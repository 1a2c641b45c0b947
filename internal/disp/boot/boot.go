package boot

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time, in nanoseconds since the machine booted. The zero value
// is before every time that Now returns.
type Time int64

// Now returns the present time. It panics if CLOCK_BOOTTIME cannot be read.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // Linux has this clock since 2.6.39
	}
	return Time(ts.Nano())
}

// Steady returns the time since boot without the time during which the machine was
// suspended.
func Steady() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic(err) // all Linux machines have this clock
	}
	return Time(ts.Nano())
}

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from o to t, which is negative if o is later.
func (t Time) Sub(o Time) time.Duration { return time.Duration(t - o) }

// Sleep waits for d, or until ctx is cancelled.
func Sleep(ctx context.Context, d time.Duration) { Await(ctx, nil, d) }

// Await waits for d, or until ctx is cancelled or wake delivers a value or is
// closed, and reports whether wake ended the wait. A nil wake never does.
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
