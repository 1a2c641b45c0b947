package cbreak

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"pgregory.net/rapid"
)

const start = boot.Time(time.Hour)

func TestFailuresOfOneJobDoNotOpen(t *testing.T) {
	var b Breaker
	for range 10 {
		if b.RecordFailure("poison", "failing", start) {
			t.Fatal("opened by the failures of one job")
		}
	}
	if !b.RecordFailure("other", "failing", start) || b.OpenReason(start) != "failing" {
		t.Error("not opened by the failure of a second job")
	}
}

func TestSuccessResetsFailures(t *testing.T) {
	var b Breaker
	for i := range 10 {
		if b.RecordFailure(fmt.Sprint(i), "failing", start) {
			t.Fatal("opened although a success followed each failure")
		}
		b.RecordSuccess()
	}
}

func TestOpenTimeDoublesAfterFailedProbe(t *testing.T) {
	var b Breaker
	b.RecordFailure("a", "failing", start)
	b.RecordFailure("b", "failing", start)
	openTime := minOpenTime
	now := start
	for range 6 {
		if b.OpenReason(now.Add(openTime-1)) == "" {
			t.Fatalf("probe allowed before %v", openTime)
		}
		now = now.Add(openTime)
		if b.OpenReason(now) != "" {
			t.Fatalf("no probe allowed after %v", openTime)
		}
		b.RecordStart(now)
		if b.OpenReason(now) == "" {
			t.Fatal("second probe allowed at once")
		}
		b.RecordFailure("c", "failing", now)
		openTime = min(2*openTime, maxOpenTime)
	}
	b.RecordSuccess()
	if b.OpenReason(now) != "" {
		t.Error("open after a success")
	}
}

// The breaker allows a probe at the latest after maxOpenTime and probeTimeout.
func TestBreakerNeverStaysOpen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Breaker
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				b.RecordFailure(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "job")), "failing", now)
			case 1:
				b.RecordSuccess()
			case 2:
				b.RecordStart(now)
			}
		}
		if b.OpenReason(now.Add(maxOpenTime+probeTimeout)) != "" {
			t.Fatal("still open after maxOpenTime and probeTimeout")
		}
	})
}
