package triage

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"pgregory.net/rapid"
)

func ExampleBacklog() {
	var b Backlog
	b = b.With(540*time.Millisecond, 5000) // a long task with much slack
	b = b.With(90*time.Millisecond, 300)
	b = b.With(-time.Millisecond, 1000) // overdue
	fmt.Println(b.Ahead(90*time.Millisecond), b.Ahead(600*time.Millisecond), b.Ahead(0-1))
	// Output: 300 5300 6300
}

// The work ahead of a task must be what Before lets start first, but for its own class, all of
// which counts: an estimate that is too low makes jobs late that are admitted.
func TestBacklogCoversWhatGoesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = boot.Time(time.Hour)
		slacks := rapid.SliceOf(rapid.IntRange(-500, 2000)).Draw(t, "slacks")
		own := now.Add(time.Duration(rapid.IntRange(-500, 2000).Draw(t, "own")) * time.Millisecond)
		var b Backlog
		first, all := int64(0), int64(0)
		for _, ms := range slacks {
			startBy := now.Add(time.Duration(ms) * time.Millisecond)
			b = b.With(startBy.Sub(now), 1)
			all++
			if Before(startBy, own, now) {
				first++
			}
		}
		if got := b.Ahead(own.Sub(now)); got < first || got > all {
			t.Errorf("%d tasks ahead, want at least %d of %d", got, first, all)
		}
	})
}

// Short jobs were admitted as long as they passed all others, so that long tasks that had been
// admitted before starved behind them. A short job must count what it pushes back.
func TestBacklogKeepsRoomForTasksWithSlack(t *testing.T) {
	const ms = time.Millisecond
	var b Backlog
	b = b.With(500*ms, 1000)
	if got := b.Load(100 * ms); got != 250 {
		t.Errorf("work of 1,000 with at least four times the slack counts as %d, want 250", got)
	}
	if got, want := b.With(50*ms, 3000).Load(100*ms), int64(3000); got != want {
		t.Errorf("urgent work counts as %d, want %d", got, want)
	}
}
