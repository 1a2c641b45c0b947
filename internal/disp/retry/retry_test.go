package retry

import (
	mathrand "math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestMain(m *testing.M) { seed.Main(m, seed.Size{}) }

func noSpread() float64 { return 0 }

func TestDelay(t *testing.T) {
	now := boot.Time(time.Hour)
	for _, tt := range []struct {
		name    string
		refused []Refusal // all at now
		want    []time.Duration
	}{
		{"capacity expected soon", []Refusal{{Wait: 20 * ms}}, []time.Duration{100 * ms}},
		{"capacity expected later", []Refusal{{Wait: 700 * ms}}, []time.Duration{700 * ms}},
		{"one after the other", []Refusal{{Wait: 200 * ms, Work: 50 * ms}, {Wait: 200 * ms, Work: 50 * ms}, {Wait: 200 * ms}}, []time.Duration{200 * ms, 250 * ms, 300 * ms}},
		{"a higher priority does not wait for a lower one", []Refusal{{Work: time.Second, Priority: 2}, {Priority: 1}}, []time.Duration{100 * ms, 100 * ms}},
		{"a lower priority waits for a higher one", []Refusal{{Work: time.Second}, {Priority: 2}}, []time.Duration{100 * ms, 1100 * ms}},
		{"repeated jobs go first", []Refusal{{Work: time.Second, Priority: 2}, {Priority: 2, Repeated: true}}, []time.Duration{100 * ms, 100 * ms}},
		{"outage", []Refusal{{Wait: 10 * ms, Outage: 3 * time.Second}}, []time.Duration{3 * time.Second}},
		{"long outage", []Refusal{{Outage: time.Hour}}, []time.Duration{maxDelay / 2}},
		{"priorities out of range", []Refusal{{Priority: -5}, {Priority: 1000}}, []time.Duration{100 * ms, 100 * ms}},
	} {
		p := Planner{Rand: noSpread}
		for i, r := range tt.refused {
			r.Now = now
			if got := p.Delay(r); got != tt.want[i] {
				t.Errorf("%s, refusal %d: got %v, want %v", tt.name, i, got, tt.want[i])
			}
		}
	}
}

// TestPromisesFitTheCapacity refuses random jobs of one priority and checks that those
// promised to come back before any moment need no more than the time until then.
func TestPromisesFitTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Planner{Rand: noSpread}
		now := boot.Time(time.Hour)
		type promise struct {
			at   boot.Time
			work time.Duration
		}
		var promises []promise
		for range rapid.IntRange(1, 40).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * ms)
			r := Refusal{
				Now:  now,
				Wait: time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * ms,
				Work: time.Duration(rapid.IntRange(0, 100).Draw(t, "work")) * ms,
			}
			delay := p.Delay(r)
			if delay < r.Wait {
				t.Errorf("told to come back after %v, before capacity is expected after %v", delay, r.Wait)
			}
			promises = append(promises, promise{now.Add(delay), r.Work})
		}
		for i, a := range promises {
			for _, b := range promises[i+1:] {
				if b.at < a.at.Add(a.work) {
					t.Errorf("promised %v and %v, the former with work for %v", a.at, b.at, a.work)
				}
			}
		}
	})
}

// TestCallersDoNotComeBackTogether refuses many jobs at once, as when an outage ends. No
// tenth of a second may get more than its share of them back.
func TestCallersDoNotComeBackTogether(t *testing.T) {
	p := Planner{Rand: mathrand.New(mathrand.NewPCG(1, 2)).Float64}
	returns := map[int64]int{}
	for range 1000 {
		delay := p.Delay(Refusal{Now: boot.Time(time.Hour), Wait: 500 * ms, Work: 10 * ms})
		returns[delay.Milliseconds()/100]++
	}
	for tenth, n := range returns {
		if n > 2*10 {
			t.Errorf("%d callers come back in tenth %d, where 10 can be served", n, tenth)
		}
	}
}

// TestPreviewBoundsDelay checks that a preview promises nothing, and that the delay that
// follows it lies within its bounds and reaches them.
func TestPreviewBoundsDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := 0.0
		p := Planner{Rand: func() float64 { return random }}
		now := boot.Time(time.Hour)
		for range rapid.IntRange(1, 20).Draw(t, "refusals") {
			r := Refusal{
				Now: now, Wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * ms, Work: time.Duration(rapid.IntRange(0, 5000).Draw(t, "work")) * ms,
				Priority: rapid.IntRange(-1, 9).Draw(t, "priority"), Repeated: rapid.Bool().Draw(t, "repeated"),
				Outage: time.Duration(rapid.IntRange(0, 20).Draw(t, "outage")) * time.Second,
			}
			before := p.promised
			shortest, longest := p.Preview(r)
			if p.promised != before {
				t.Fatalf("the preview changes the promises from %v to %v", before, p.promised)
			}
			random = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "random")
			want := map[float64]time.Duration{0: shortest, 0.5: shortest + (longest-shortest)/2, 1: longest}[random]
			if got := p.Delay(r); (got - want).Abs() > time.Microsecond {
				t.Fatalf("got %v with random number %v, want %v", got, random, want)
			}
		}
	})
}
