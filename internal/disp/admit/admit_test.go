package admit

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestMain(m *testing.M) { seed.Main(m, seed.Size{}) }

func TestMaxWait(t *testing.T) {
	for _, tt := range []struct {
		name   string
		waited []time.Duration // of tasks with a slack of 100 ms
		slack  time.Duration
		want   time.Duration
	}{
		{"nothing observed", nil, 100 * ms, 50 * ms},
		{"no slack", nil, 0, 0},
		{"overdue", nil, -50 * ms, 0},
		{"all in time", repeat(300, 100*ms), 100 * ms, 100 * ms},
		{"many too late", repeat(100, 101*ms), 100 * ms, 25 * ms},
		{"in time again", append(repeat(100, 101*ms), repeat(1000, ms)...), 100 * ms, 100 * ms},
	} {
		var l Limiter
		for _, w := range tt.waited {
			l.Observe(w, 100*ms)
		}
		if got := l.MaxWait(tt.slack).Round(ms); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestTasksWithoutSlackAreIgnored(t *testing.T) {
	var l Limiter
	for range 100 {
		l.Observe(time.Second, 0)
		l.Observe(time.Second, -time.Second)
	}
	if got := l.MaxWait(100 * ms); got != 50*ms {
		t.Errorf("got %v", got)
	}
}

func repeat(n int, d time.Duration) []time.Duration {
	var list []time.Duration
	for range n {
		list = append(list, d)
	}
	return list
}

// TestMaxWaitStaysInBounds checks the bounds for any observations.
func TestMaxWaitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		for range rapid.IntRange(0, 200).Draw(t, "observations") {
			waited := time.Duration(rapid.IntRange(0, 300).Draw(t, "waited")) * ms
			l.Observe(waited, time.Duration(rapid.IntRange(-100, 200).Draw(t, "slack"))*ms)
		}
		slack := time.Duration(rapid.IntRange(0, 1000).Draw(t, "limited")) * ms
		if got := l.MaxWait(slack); got > slack || float64(got) < minShare*float64(slack)-1 {
			t.Errorf("got %v for a slack of %v", got, slack)
		}
	})
}

// queue simulates a server that jobs of 10 ms arrive at every period, with a slack of
// 100 ms. The wait that a job is accepted by is underestimated by half, as an entry does
// that does not know of the tasks which others send. It returns how many jobs were
// accepted and how many of these started in time.
func queue(jobs int, period time.Duration, accepts func(wait time.Duration) bool, observe func(waited time.Duration)) (accepted, inTime int) {
	const runTime, slack = 10 * ms, 100 * ms
	var freeAt time.Duration
	type started struct{ at, waited time.Duration }
	var pending []started
	for i := range jobs {
		now := time.Duration(i) * period
		for len(pending) > 0 && pending[0].at <= now {
			observe(pending[0].waited)
			pending = pending[1:]
		}
		wait := max(0, freeAt-now)
		if !accepts(wait / 2) {
			continue
		}
		accepted++
		if wait <= slack {
			inTime++
		}
		pending = append(pending, started{now + wait, wait})
		freeAt = now + wait + runTime
	}
	return accepted, inTime
}

// TestOverloadIsServedInTime offers a tenth more than the capacity for 20 s. Without
// the limiter nearly all accepted jobs start too late. With it, as many are accepted, and
// most of them start in time.
func TestOverloadIsServedInTime(t *testing.T) {
	const jobs, period, slack = 2200, 9 * ms, 100 * ms
	fixed, fixedInTime := queue(jobs, period, func(wait time.Duration) bool { return wait <= slack }, func(time.Duration) {})
	var l Limiter
	adapted, adaptedInTime := queue(jobs, period,
		func(wait time.Duration) bool { return wait <= l.MaxWait(slack) }, func(waited time.Duration) { l.Observe(waited, slack) })
	if fixedInTime*3 > fixed {
		t.Errorf("without the limiter %d of %d accepted jobs start in time, so that this load shows nothing", fixedInTime, fixed)
	}
	if adaptedInTime*100 < adapted*75 || adapted*100 < fixed*98 {
		t.Errorf("with the limiter %d of %d accepted jobs start in time, want three quarters; without it %d were accepted", adaptedInTime, adapted, fixed)
	}
}
