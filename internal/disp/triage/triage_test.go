package triage

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestFirstSubmitted(t *testing.T) {
	arrived := boot.Time(time.Hour)
	for _, tt := range []struct {
		name          string
		waits         time.Duration // 0 for unknown
		resubmitDelay time.Duration
		want          boot.Time
	}{
		{"unknown wait", 0, 1300 * ms, arrived},
		{"callers don't repeat jobs", 10 * ms, 0, arrived},
		{"first submission", 2000 * ms, 1300 * ms, arrived},
		{"just long enough", 1500 * ms, 1300 * ms, arrived},
		{"repeated", 700 * ms, 1300 * ms, arrived.Add(-1300 * ms)},
	} {
		j := Job{Arrived: arrived, LatencyBudget: 200 * ms, RunTime: 80 * ms, ResubmitDelay: tt.resubmitDelay}
		if tt.waits > 0 {
			j.WaitsUntil = arrived.Add(tt.waits)
		}
		if got := j.FirstSubmitted(); got != tt.want {
			t.Errorf("%s: first submitted %v after its arrival, want %v", tt.name, got.Sub(arrived), tt.want.Sub(arrived))
		}
		if got := j.Repeated(); got != (tt.want < arrived) {
			t.Errorf("%s: counts as repeated: %v", tt.name, got)
		}
		if got := j.StartBy().Sub(j.FirstSubmitted()); got != 120*ms {
			t.Errorf("%s: has to start %v after the first submission, want 120ms", tt.name, got)
		}
	}
}

func TestOverdueTasksGoLast(t *testing.T) {
	now := boot.Time(time.Hour)
	order := []boot.Time{now.Add(-300 * ms), now.Add(80 * ms), now.Add(-20 * ms), now, now.Add(10 * ms)}
	slices.SortFunc(order, func(a, b boot.Time) int {
		if Before(a, b, now) {
			return -1
		}
		return 1
	})
	want := []boot.Time{now, now.Add(10 * ms), now.Add(80 * ms), now.Add(-300 * ms), now.Add(-20 * ms)}
	if !slices.Equal(order, want) {
		t.Errorf("got %v, want %v", order, want)
	}
}

// TestBeforeIsAnOrder checks that Before is a strict weak order at any moment, as
// sorting requires.
func TestBeforeIsAnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Int64Range(1, 20)
		a, b, c := boot.Time(draw.Draw(t, "a")), boot.Time(draw.Draw(t, "b")), boot.Time(draw.Draw(t, "c"))
		now := boot.Time(draw.Draw(t, "now"))
		if Before(a, b, now) && Before(b, a, now) {
			t.Error("both go first")
		}
		if Before(a, b, now) && Before(b, c, now) && !Before(a, c, now) {
			t.Error("not transitive")
		}
		if a != b && !Before(a, b, now) && !Before(b, a, now) {
			t.Error("neither goes first")
		}
	})
}
