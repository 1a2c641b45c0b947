package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{}) }

func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []roster.Node
		for i := range rapid.IntRange(1, 30).Draw(t, "nodes") {
			nodes = append(nodes, roster.Node{
				Ref: roster.Ref{ID: fmt.Sprintf("n%02d", i), Inc: 1}, Leaving: i > 0 && rapid.Bool().Draw(t, "leaving"),
			})
		}
		r := roster.FromParts(1, nodes, nil)
		limit := rapid.IntRange(0, 1000).Draw(t, "limit")
		sum := 0
		for _, n := range nodes {
			if !n.Leaving {
				sum += ShareOf(r, n.Ref).Of(limit)
			}
		}
		if sum != limit {
			t.Fatalf("the shares of a limit of %d add up to %d", limit, sum)
		}
	})
}

func TestLimiterEnforcesRunningAndRate(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	e := catlg.Entry{Name: "plan", Limits: catlg.Limits{Running: 4, Rate: 6}}
	var l Limiter
	if got := l.Acquire(e, 5, now); got != RunningLimitReached {
		t.Errorf("got %q, want %q", got, RunningLimitReached)
	}
	if got := l.Acquire(e, 4, now); got != "" {
		t.Errorf("job within the limits: got %q", got)
	}
	if got := l.Acquire(e, 1, now); got != RunningLimitReached {
		t.Errorf("got %q, want %q", got, RunningLimitReached)
	}
	l.Release("plan", 4)
	if got := l.Acquire(e, 4, now); got != RateLimitReached {
		t.Errorf("got %q, want %q", got, RateLimitReached)
	}
	if got := l.Acquire(e, 4, now.Add(time.Second)); got != "" || l.Running("plan") != 4 {
		t.Errorf("a second later: got %q with %d tasks running", got, l.Running("plan"))
	}
	l.SetShare(Share{Homes: 4, Rank: 3})
	if got := l.Acquire(e, 1, now.Add(time.Minute)); got != RunningLimitReached {
		t.Errorf("smaller share: got %q, want %q", got, RunningLimitReached)
	}
}
