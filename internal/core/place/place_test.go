package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/core/slots"
)

var now = time.UnixMilli(1_700_000_000_000)

func node(id, domain string) roster.Node {
	return roster.Node{Ref: roster.Ref{ID: id, Inc: 1}, Domain: domain, Service: "s", Slots: 2}
}

func newPicker(nodes ...roster.Node) *Picker {
	p := &Picker{}
	p.SetLocal(roster.Ref{ID: "a", Inc: 1}, "near", nil)
	p.Update(roster.FromParts(1, nodes, nil))
	return p
}

func pick(t *testing.T, p *Picker, want string, tried ...roster.Ref) roster.Node {
	t.Helper()
	c, ok := p.Pick("s", tried, now)
	if !ok || c.Node.ID != want {
		t.Fatalf("got %q, %t, want %q", c.Node.ID, ok, want)
	}
	return c.Node
}

func TestLocalGateIsPreferredThenSameDomain(t *testing.T) {
	p := newPicker(node("c", "far"), node("b", "near"), node("a", "near"))
	a := pick(t, p, "a")
	b := pick(t, p, "b", a.Ref)
	pick(t, p, "c", a.Ref, b.Ref)
	if _, ok := p.Pick("other", nil, now); ok || p.HasService("other") {
		t.Error("picked a gate for a service that no node has")
	}
}

func TestBusySlowRefusingAndSilentGatesAreAvoided(t *testing.T) {
	load := func(running int, mean time.Duration) slots.Load {
		return slots.Load{Slots: 2, Running: running, Mean: mean}
	}
	for _, c := range []struct {
		name    string
		prepare func(p *Picker, a roster.Node)
	}{
		{"busy", func(p *Picker, a roster.Node) { p.Finished(a.Ref, load(9, 50*time.Millisecond), now) }},
		{"slow", func(p *Picker, a roster.Node) {
			p.Finished(a.Ref, load(0, time.Second), now)
			p.Finished(roster.Ref{ID: "b", Inc: 1}, load(0, time.Millisecond), now)
		}},
		{"full", func(p *Picker, a roster.Node) { p.Bounced(a.Ref, load(9, 50*time.Millisecond), now) }},
		{"refusing", func(p *Picker, a roster.Node) { p.Unavailable(a.Ref, now) }},
		{"silent", func(p *Picker, a roster.Node) { p.gatesByRef[a.Ref].silentSince = now.Add(-time.Second) }},
	} {
		p := newPicker(node("a", "near"), node("b", "near"))
		c.prepare(p, pick(t, p, "a"))
		t.Run(c.name, func(t *testing.T) { pick(t, p, "b") })
	}
}

func TestNewGateDoesNotAttractAllTasks(t *testing.T) {
	p := newPicker(node("a", "near"), node("b", "far"))
	a := pick(t, p, "a")
	p.Finished(a.Ref, slots.Load{Slots: 2, Mean: 400 * time.Millisecond}, now)
	pick(t, p, "a")
}

func TestServiceIsKnownWhileRestartedNodeHasNoSlots(t *testing.T) {
	n := node("a", "near")
	n.Slots = 0
	p := newPicker(n)
	if _, ok := p.Pick("s", nil, now); ok || !p.HasService("s") {
		t.Error("a node without slots was picked, or its service is not known")
	}
}

func BenchmarkPickOf1160(b *testing.B) {
	var nodes []roster.Node
	for i := range 1160 {
		nodes = append(nodes, node(fmt.Sprintf("n%04d", i), "near"))
	}
	p := newPicker(nodes...)
	b.ReportAllocs()
	for b.Loop() {
		c, _ := p.Pick("s", nil, now)
		p.Finished(c.Node.Ref, slots.Load{Slots: 2, Mean: time.Millisecond}, now)
	}
}

func TestEveryGateIsTriedBeforeGivingUp(t *testing.T) {
	var nodes []roster.Node
	for i := range 3 * SampleSize {
		nodes = append(nodes, node(fmt.Sprintf("n%02d", i), "near"))
	}
	p := newPicker(nodes...)
	var tried []roster.Ref
	for range nodes {
		c, ok := p.Pick("s", tried, now)
		if !ok {
			t.Fatalf("gave up after %d of %d gates", len(tried), len(nodes))
		}
		tried = append(tried, c.Node.Ref)
	}
	if c, ok := p.Pick("s", tried, now); ok {
		t.Errorf("picked %s again although all gates had been tried", c.Node.ID)
	}
}
