package loss

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

func ExampleList() {
	var l List
	l.Add(msgs.Loss{Task: "a", Crash: msgs.CrashProven}, now)
	l.Add(msgs.Loss{Task: "b", Crash: msgs.CrashSuspected}, now)
	seen := l.Last(now)
	l.Add(msgs.Loss{Task: "c", Crash: msgs.CrashProven}, now)
	for _, c := range l.After(seen, now) {
		fmt.Println(c.Number, c.Task, c.Crash)
	}
	// Output: 3 c proven
}

// A target may go down with hundreds of runs. Entries must learn of all of them.
func TestLossesOfOneCrashAreAllTold(t *testing.T) {
	var l List
	for i := range 300 {
		l.Add(msgs.Loss{Task: fmt.Sprint(i), Crash: msgs.CrashProven}, now)
	}
	if got := len(l.After(0, now)); got != 300 {
		t.Errorf("%d of 300 losses are told", got)
	}
}

// An entry that has just been started counts a loss from when it was, as others do.
func TestLossIsToldWithItsAge(t *testing.T) {
	var list List
	for range 3 {
		list.Add(loss(uint64(list.last), msgs.CrashSuspected), now)
	}
	later := now.Add(RetryInterval + time.Second)
	var l Log
	for _, c := range list.After(0, later) {
		l.Add(c, later)
	}
	if got := l.Verdict("j.0.0.0", later); got != Place {
		t.Errorf("got %v at an entry that has been started since", got)
	}
	l.Add(loss(9, msgs.CrashSuspected), later)
	if got := l.Verdict("j.0.0.0", later); got != Abandon {
		t.Errorf("got %v after one more loss", got)
	}
}

func TestListIsBounded(t *testing.T) {
	var l List
	for i := range 2 * maxItems {
		l.Add(msgs.Loss{Task: fmt.Sprint(i), Crash: msgs.CrashProven}, now)
	}
	if got := l.After(0, now); len(got) != maxItems || got[0].Number != maxItems+1 {
		t.Errorf("%d losses from number %d on", len(got), got[0].Number)
	}
	l.Add(msgs.Loss{Task: "later", Crash: msgs.CrashProven}, now.Add(Retention+time.Second))
	if n := len(l.items); n != 1 {
		t.Errorf("%d losses are kept after Retention", n)
	}
}
