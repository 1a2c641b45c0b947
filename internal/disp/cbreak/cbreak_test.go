package cbreak

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"pgregory.net/rapid"
)

const start = boot.Time(time.Hour)

func TestOneJobIsNoEvidence(t *testing.T) {
	var r Breaker
	for range 10 {
		if r.Bad("poison", "failing", start) {
			t.Fatal("set aside for one job's failures")
		}
	}
	if !r.Bad("other", "failing", start) || r.Aside(start) != "failing" {
		t.Error("not set aside after a second job")
	}
}

func TestSuccessBetweenIsTrusted(t *testing.T) {
	var r Breaker
	for i := range 10 {
		if r.Bad(fmt.Sprint(i), "failing", start) {
			t.Fatal("set aside though every other task was done")
		}
		r.Good()
	}
}

func TestTrialComesBackLater(t *testing.T) {
	var r Breaker
	r.Bad("a", "failing", start)
	r.Bad("b", "failing", start)
	pause := firstPause
	now := start
	for range 6 {
		if r.Aside(now.Add(pause-1)) == "" {
			t.Fatalf("tried again before %v", pause)
		}
		now = now.Add(pause)
		if r.Aside(now) != "" {
			t.Fatalf("not tried again after %v", pause)
		}
		r.Trial(now)
		if r.Aside(now) == "" {
			t.Fatal("a second trial at once")
		}
		r.Bad("c", "failing", now)
		pause = min(2*pause, longestPause)
	}
	r.Good()
	if r.Aside(now) != "" {
		t.Error("aside after a success")
	}
}

// A target is never kept aside for longer than the longest pause and a trial.
func TestAsideAlwaysEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Breaker
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				r.Bad(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "job")), "failing", now)
			case 1:
				r.Good()
			case 2:
				r.Trial(now)
			}
		}
		if r.Aside(now.Add(longestPause+trialWait)) != "" {
			t.Fatal("kept aside")
		}
	})
}
