package estim

import (
	"testing"
	"time"
)

func TestExpected(t *testing.T) {
	var times RunTimes
	const ms = time.Millisecond
	if got := times.Expected("r", 0); got != fallback {
		t.Errorf("with nothing known: got %v", got)
	}
	if got := times.Expected("r", 90*ms); got != 90*ms {
		t.Errorf("with a declared time only: got %v", got)
	}
	for range 50 {
		times.Observe("r", 50*ms, 2) // 100 ms at speed 1
	}
	near := func(got, want time.Duration) bool { return got > want*99/100 && got < want*101/100 }
	if got := times.Expected("r", 0); !near(got, 100*ms) {
		t.Errorf("with a learned time only: got %v", got)
	}
	if got := times.Expected("r", 400*ms); !near(got, 200*ms) {
		t.Errorf("with both: got %v", got)
	}
	if got := times.Expected("other", 400*ms); got != 400*ms {
		t.Errorf("of another route: got %v", got)
	}
}

func TestNoteIgnoresNothing(t *testing.T) {
	var times RunTimes
	times.Observe("r", 0, 1)
	if got := times.Expected("r", 0); got != fallback {
		t.Errorf("got %v", got)
	}
}
