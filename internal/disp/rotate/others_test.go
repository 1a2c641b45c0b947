package rotate

import (
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
