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
			t.Fatal("set aside for one job's failures")
		}
	}
	if !b.RecordFailure("other", "failing", start) || b.OpenReason(start) != "failing" {
		t.Error("not set aside after a second job")
	}
}

func TestSuccessResetsFailures(t *testing.T) {
	var b Breaker
	for i := range 10 {
		if b.RecordFailure(fmt.Sprint(i), "failing", start) {
			t.Fatal("set aside though every other task was done")
		}
		b.RecordSuccess()
	}
}

func TestOpenTimeDoublesAfterFailedProbe(t *testing.T) {
	var b Breaker
	b.RecordFailure("a", "failing", start)
	b.RecordFailure("b", "failing", start)
	pause := minOpenTime
	now := start
	for range 6 {
		if b.OpenReason(now.Add(pause-1)) == "" {
			t.Fatalf("tried again before %v", pause)
		}
		now = now.Add(pause)
		if b.OpenReason(now) != "" {
			t.Fatalf("not tried again after %v", pause)
		}
		b.RecordStart(now)
		if b.OpenReason(now) == "" {
			t.Fatal("a second trial at once")
		}
		b.RecordFailure("c", "failing", now)
		pause = min(2*pause, maxOpenTime)
	}
	b.RecordSuccess()
	if b.OpenReason(now) != "" {
		t.Error("aside after a success")
	}
}

// A target is never kept aside for longer than the longest pause and a trial.
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
			t.Fatal("kept aside")
		}
	})
}
