package estim

import (
	"testing"
	"time"
)

func TestExpectedRunTime(t *testing.T) {
	var runTimes RunTimes
	const ms = time.Millisecond
	if got := runTimes.Estimate("r", 0); got != defaultRunTime {
		t.Errorf("nothing declared or observed: got %v", got)
	}
	if got := runTimes.Estimate("r", 90*ms); got != 90*ms {
		t.Errorf("declared only: got %v", got)
	}
	for range 50 {
		runTimes.Observe("r", 50*ms, 2) // 100 ms at speed 1
	}
	near := func(got, want time.Duration) bool { return got > want*99/100 && got < want*101/100 }
	if got := runTimes.Estimate("r", 0); !near(got, 100*ms) {
		t.Errorf("observed only: got %v", got)
	}
	if got := runTimes.Estimate("r", 400*ms); !near(got, 200*ms) {
		t.Errorf("declared and observed: got %v", got)
	}
	if got := runTimes.Estimate("other", 400*ms); got != 400*ms {
		t.Errorf("other route without observations: got %v", got)
	}
}

func TestObserveIgnoresZeroRunTime(t *testing.T) {
	var runTimes RunTimes
	runTimes.Observe("r", 0, 1)
	if got := runTimes.Estimate("r", 0); got != defaultRunTime {
		t.Errorf("got %v", got)
	}
}

// Guards against a speed that was learnt while a target was cold, and counts for many runs after
// it has turned warm.
func TestDistrustedSpeedFollowsWithinFewRuns(t *testing.T) {
	var s Speed
	for range 50 {
		s.Observe(100, 400*time.Millisecond)
	}
	if s.Distrust(); s.Value() > 0.3 {
		t.Errorf("got %v before another run", s.Value())
	}
	for range 5 {
		s.Observe(100, 100*time.Millisecond)
	}
	if s.Value() < 0.7 {
		t.Errorf("got %v after five runs at full speed", s.Value())
	}
}
