package blame

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const now = boot.Time(time.Hour)

// loss returns the loss of a task with a number at a gate.
func loss(number int64, c msgs.Crash) Loss {
	return Loss{Gate: "g", Incarnation: 1, TaskCrash: msgs.TaskCrash{Number: number, Task: "j.0.0.0", Crash: c}}
}

// Two proven crashes fail a job. Losses that prove less never do, but a task with three is not
// placed again.
func ExampleLog_Verdict() {
	var crashed, lost Log
	for n := range int64(3) {
		crashed.Add(loss(n, msgs.CrashProven), now)
		lost.Add(loss(n, msgs.CrashSuspected), now)
		fmt.Println(crashed.Verdict("j.0.0.0", now), lost.Verdict("j.0.0.0", now))
	}
	// Output:
	// place place
	// fail place
	// fail abandon
}

func TestLossCountsOnce(t *testing.T) {
	var l Log
	for range 5 {
		l.Add(loss(1, msgs.CrashProven), now)
		l.Add(loss(2, msgs.NoCrash), now)
	}
	if got := l.Verdict("j.0.0.0", now); got != Place {
		t.Errorf("got %v after one loss", got)
	}
	other := loss(1, msgs.CrashProven)
	other.Incarnation = 2
	l.Add(other, now)
	if got := l.Verdict("j.0.0.0", now); got != Fail {
		t.Errorf("got %v after losses at two incarnations of a gate", got)
	}
}

// A caller that comes again and again must not get its task placed anew each Retention.
func TestLossesAreRememberedWhileTheJobIsSubmitted(t *testing.T) {
	var l Log
	for n := range int64(3) {
		l.Add(loss(n, msgs.CrashSuspected), now)
	}
	at := now
	for range 10 {
		at = at.Add(Retention - time.Second)
		if got := l.Verdict("j.0.0.0", at); got != Abandon {
			t.Fatalf("got %v after %v", got, at.Sub(now))
		}
	}
	if got := l.Verdict("j.0.0.0", at.Add(Retention+1)); got != Place {
		t.Errorf("got %v after Retention without a submission", got)
	}
}

func TestLogForgetsOldLosses(t *testing.T) {
	var l Log
	l.Add(loss(1, msgs.CrashProven), now)
	later := loss(2, msgs.CrashProven)
	later.Task = "k.0.0.0"
	l.Add(later, now.Add(Retention+time.Second))
	if len(l.tasks) != 1 {
		t.Errorf("%d tasks are remembered, want 1", len(l.tasks))
	}
}
