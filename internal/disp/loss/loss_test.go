package loss

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const now = boot.Time(time.Hour)

// loss returns the loss of a task with the given order of an entry.
func loss(order uint64, c msgs.Crash) msgs.Loss {
	return msgs.Loss{Number: 1, Task: "j.0.0.0", Crash: c, Entry: "e", Incarnation: 1, ID: order}
}

// Two proven crashes fail a job. Losses that prove less never do, but a task with three is not
// placed again.
func ExampleLog_Verdict() {
	var crashed, lost Log
	for n := range uint64(3) {
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
		t.Errorf("got %v after losses of orders of two incarnations of an entry", got)
	}
}

// An entry counts a suspicion by itself while a gate is silent. When the gate is back and tells of that
// loss, it must not count a second time, but for what it proves.
func TestLossToldByAGateThatWasSilentCountsOnce(t *testing.T) {
	var l Log
	for order, told := range []msgs.Crash{msgs.CrashSuspected, msgs.CrashProven} {
		assumed := loss(uint64(order), msgs.CrashSuspected)
		assumed.Number = 0
		l.Add(assumed, now)
		l.Add(loss(uint64(order), told), now)
	}
	if got := l.Verdict("j.0.0.0", now); got != Place {
		t.Errorf("got %v after two losses, one of them proven", got)
	}
	l.Add(loss(2, msgs.CrashProven), now)
	if got := l.Verdict("j.0.0.0", now); got != Fail {
		t.Errorf("got %v after two proven crashes", got)
	}
}

// A caller that comes again and again must get its task placed once in each RetryInterval at most, but
// not be turned away for ever for what was lost long ago.
func TestTaskOfACallerThatKeepsComingIsTriedOnceInRetryInterval(t *testing.T) {
	var l Log
	for n := range uint64(3) {
		l.Add(loss(n, msgs.CrashSuspected), now)
	}
	placed := 0
	order := uint64(3)
	for at := now; at < now.Add(10*RetryInterval); at = at.Add(time.Second) {
		if l.Verdict("j.0.0.0", at) == Place {
			placed++
			l.Add(loss(order, msgs.CrashSuspected), at)
			order++
		}
	}
	if placed != 9 {
		t.Errorf("placed %d times in 10 RetryIntervals, want 9", placed)
	}
}

// Two proven crashes beside suspicions: the task fails again with one more proof.
func TestProvenCrashIsForgottenOneAtATime(t *testing.T) {
	var l Log
	for n, c := range []msgs.Crash{msgs.CrashProven, msgs.CrashSuspected, msgs.CrashProven, msgs.CrashSuspected} {
		l.Add(loss(uint64(n), c), now)
	}
	if got := l.Verdict("j.0.0.0", now.Add(RetryInterval)); got != Fail {
		t.Fatalf("got %v", got)
	}
	later := now.Add(RetryInterval + time.Second)
	if got := l.Verdict("j.0.0.0", later); got != Place {
		t.Fatalf("got %v after RetryInterval", got)
	}
	l.Add(loss(9, msgs.CrashProven), later)
	if got := l.Verdict("j.0.0.0", later); got == Place {
		t.Errorf("got %v after one more proof", got)
	}
}

// When a task has been placed once more, one loss of any kind ends that, whatever was lost before.
func TestOneMoreLossOfATaskThatWasLostTooOftenIsEnough(t *testing.T) {
	const s, p = msgs.CrashSuspected, msgs.CrashProven
	for _, tc := range []struct {
		before []msgs.Crash
		after  msgs.Crash
		want   Verdict
	}{
		{[]msgs.Crash{p, p}, s, Fail},
		{[]msgs.Crash{p, s, s}, s, Abandon},
		{[]msgs.Crash{p, s, s}, p, Fail},
		{[]msgs.Crash{s, s, s}, p, Abandon},
	} {
		var l Log
		for order, c := range tc.before {
			l.Add(loss(uint64(order), c), now)
		}
		later := now.Add(RetryInterval)
		l.Verdict("j.0.0.0", later)
		later = later.Add(time.Second)
		if got := l.Verdict("j.0.0.0", later); got != Place {
			t.Errorf("%v: got %v after RetryInterval", tc.before, got)
		}
		l.Add(loss(9, tc.after), later)
		if got := l.Verdict("j.0.0.0", later); got != tc.want {
			t.Errorf("%v, then %v: got %v, want %v", tc.before, tc.after, got, tc.want)
		}
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

// Each submission of any job looks at all of its tasks while the log has a loss, so it must be empty
// again once losses are not remembered any more.
func TestLogIsEmptyAfterRetention(t *testing.T) {
	var l Log
	l.Add(loss(1, msgs.CrashProven), now)
	later := now.Add(2 * Retention)
	l.Verdict("j.0.0.0", later)
	if !l.Empty(later) {
		t.Error("the log keeps a loss of two Retentions ago")
	}
}

// A loss must not bring back those that are not remembered any more.
func TestLossDoesNotReviveForgottenOnes(t *testing.T) {
	var l Log
	l.Add(loss(1, msgs.CrashProven), now)
	other := loss(9, msgs.CrashSuspected)
	other.Task = "k.0.0.0"
	l.Add(other, now.Add(Retention)) // sweeps
	l.Add(loss(2, msgs.CrashProven), now.Add(Retention+time.Second/2))
	if got := l.Verdict("j.0.0.0", now.Add(Retention+time.Second/2)); got != Place {
		t.Errorf("got %v after one loss within Retention", got)
	}
}
