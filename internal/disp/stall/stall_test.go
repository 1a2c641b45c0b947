package stall

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// inVirtualTime runs a test of a Detector whose process stands still for as long as the test
// adds to the boot clock.
func inVirtualTime(t *testing.T, test func(t *testing.T, d *Detector, standStill func(time.Duration))) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		began, stood := time.Now(), time.Duration(0)
		d := &Detector{Now: func() boot.Time { return boot.Time(time.Hour).Add(time.Since(began) + stood) }}
		go d.Run(ctx)
		synctest.Wait()
		test(t, d, func(length time.Duration) {
			d.mu.Lock()
			defer d.mu.Unlock()
			stood += length
		})
		cancel()
	})
}

// The first call after a stall must tell of it, before any timer has fired.
func TestStallIsNoticedAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *Detector, standStill func(time.Duration)) {
		time.Sleep(10 * time.Second)
		if end := d.LastEnd(); end != 0 {
			t.Errorf("a stall at %v, without any", end)
		}
		standStill(MinLength)
		if end := d.LastEnd(); end != d.now() {
			t.Errorf("got %v at %v", end, d.now())
		}
	})
}

// A stall that nobody asks about is noticed too, and is not forgotten.
func TestStallIsRemembered(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *Detector, standStill func(time.Duration)) {
		standStill(3 * time.Second)
		noticedBy := d.now().Add(checkInterval)
		time.Sleep(10 * time.Second)
		if end := d.LastEnd(); end == 0 || end > noticedBy {
			t.Errorf("got %v, want %v at the latest", end, noticedBy)
		}
	})
}

// A process that waits for its turn has not stood still.
func TestShortPauseIsNoStall(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, d *Detector, standStill func(time.Duration)) {
		for range 20 {
			standStill(checkInterval / 2)
			time.Sleep(checkInterval)
		}
		if end := d.LastEnd(); end != 0 {
			t.Errorf("a stall at %v", end)
		}
	})
}

// Without Run nothing tells a stall from a time in which nobody asked.
func TestDetectorThatDoesNotRunKnowsNoStall(t *testing.T) {
	now := boot.Time(time.Hour)
	d := &Detector{Now: func() boot.Time { return now }}
	for range 3 {
		now = now.Add(time.Minute)
		if end := d.LastEnd(); end != 0 {
			t.Errorf("a stall at %v", end)
		}
	}
}
