package rotate

import (
	"strings"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// An entry that is out of rotation was forgotten before its next word could be expected.
func TestEntryIsOutUntilItFallsSilent(t *testing.T) {
	now := boot.Time(time.Hour)
	o := &Others{Now: func() boot.Time { return now }}
	for _, step := range []struct {
		after time.Duration
		word  bool
		want  int
	}{
		{0, false, 0}, {0, true, 1}, {RepeatInterval, true, 1}, {2 * RepeatInterval, false, 1}, {2 * RepeatInterval, false, 0},
		{time.Minute, true, 1},
	} {
		now = now.Add(step.after)
		if step.word {
			o.Record("a")
		}
		if out := o.Out(); len(out) != step.want {
			t.Errorf("%v after the start: %v are out, want %d", now.Sub(boot.Time(time.Hour)), out, step.want)
		}
	}
}

// An entry that was cut off itself asked all others about each job, since it might not have heard that
// one is out.
func TestAnswersTellWhoIsSurelyInRotation(t *testing.T) {
	now := boot.Time(time.Hour)
	o := &Others{Now: func() boot.Time { return now }}
	unsure := func() string { return strings.Join(o.Unsure([]string{"a", "b"}), " ") }
	expect := func(when, want string) {
		t.Helper()
		if got := unsure(); got != want {
			t.Errorf("%s: unsure of %q, want %q", when, got, want)
		}
	}
	expect("before any answer", "a b")
	o.RecordAnswer("a", now)
	expect("after an answer", "b")
	o.RecordAnswer("b", now.Add(-answerRetention))
	expect("after a late answer", "b")
	o.Record("a")
	expect("after the word that it is out", "a b")
	now = now.Add(retention)
	expect("after a while", "a b")
}
