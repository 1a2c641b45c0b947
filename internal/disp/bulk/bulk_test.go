package bulk

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// at returns a time d after an arbitrary one.
func at(d time.Duration) boot.Time { return boot.Time(time.Hour).Add(d) }

// Targets that crash together, such as a rack, must not raise the bulkheads. An entry learns
// of them within the interval at which it asks their gates.
func TestOneEventDoesNotRaise(t *testing.T) {
	var g Guard
	for i := range 6 {
		g.Observe(fmt.Sprint(i), true, at(time.Duration(i)*50*time.Millisecond))
		g.Observe(fmt.Sprint(i), true, at(time.Second))
	}
	if g.Raised(at(time.Second)) {
		t.Error("raised by one event")
	}
}

// Targets that crash one after the other raise them, until it has been quiet for a while.
func TestCrashesInSequenceRaise(t *testing.T) {
	var g Guard
	raised := 0
	for i := range 5 {
		if g.Observe(fmt.Sprint(i), true, at(time.Duration(i)*500*time.Millisecond)) {
			raised++
		}
	}
	if last := 2 * time.Second; raised != 1 || !g.Raised(at(last+quietPeriod-1)) || g.Raised(at(last+quietPeriod)) {
		t.Errorf("raised %d times, now %v", raised, g.Raised(at(last+quietPeriod)))
	}
}

// Targets that crash now and then must not raise them.
func TestRareCrashesDoNotRaise(t *testing.T) {
	var g Guard
	for i := range 10 {
		g.Observe("a", true, at(time.Duration(i)*crashWindow*2/3))
		g.Observe("a", false, at(time.Duration(i)*crashWindow*2/3+1))
		if g.Raised(at(time.Duration(i)*crashWindow*2/3 + 1)) {
			t.Fatalf("raised by crash %d", i)
		}
	}
}

// Each gate belongs to one active route, and no route goes without.
func TestSharesAreDisjointAndComplete(t *testing.T) {
	var g Guard
	g.Use("old", at(0))
	now := at(routePeriod + 1)
	var gates []string
	for i := range 11 {
		gates = append(gates, fmt.Sprint("10.0.0.", i, ":7"))
	}
	routes := []string{"a", "b", "c"}
	for _, r := range routes {
		g.Use(r, now)
	}
	owners := map[string]int{}
	for _, r := range routes {
		share := g.Share(r, gates, now)
		if len(share) < len(gates)/len(routes) {
			t.Errorf("%s has %d gates", r, len(share))
		}
		for gate := range share {
			owners[gate]++
		}
	}
	for _, gate := range gates {
		if owners[gate] != 1 {
			t.Errorf("%s belongs to %d routes", gate, owners[gate])
		}
	}
	if share := g.Share("a", gates[:2], now); len(share) != 2 {
		t.Errorf("with more routes than gates: %d of 2", len(share))
	}
}

// What is recorded in a clone must not reach the original, whose shares would change.
func TestCloneIsSeparate(t *testing.T) {
	var g Guard
	g.Use("a", at(0))
	g.Observe("x", true, at(0))
	before := fmt.Sprintf("%+v", g)
	clone := g.Clone()
	if text := fmt.Sprintf("%+v", *clone); text != before {
		t.Errorf("the clone of %s is %s", before, text)
	}
	for i := range minCrashes {
		clone.Use("b", at(time.Second))
		clone.Observe(fmt.Sprint(i), true, at(time.Duration(i+1)*sameEvent))
	}
	clone.Share("b", []string{"x", "y"}, at(time.Hour))
	if text := fmt.Sprintf("%+v", g); text != before {
		t.Errorf("got %s, want %s", text, before)
	}
	if (*Guard)(nil).Clone().Raised(at(0)) {
		t.Error("a clone of no guard is raised")
	}
}
