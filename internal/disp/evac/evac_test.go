package evac

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// history is what the store has done to rows of evacuated domains, by version.
type history []Order

// drawHistory returns a random history of three domains, whose versions have gaps.
func drawHistory(t *rapid.T) history {
	var h history
	version := int64(0)
	for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
		version += rapid.Int64Range(1, 3).Draw(t, fmt.Sprint("gap", i))
		h = append(h, Order{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, fmt.Sprint("domain", i)), version, rapid.Bool().Draw(t, fmt.Sprint("on", i))})
	}
	return h
}

// at returns the newest order of a domain as of a version, or the zero Order.
func (h history) at(domain string, version int64) Order {
	var newest Order
	for _, o := range h {
		if o.Domain == domain && o.Version <= version {
			newest = o
		}
	}
	return newest
}

// listing returns the domains whose rows exist as of a version.
func (h history) listing(version int64) []string {
	var domains []string
	for _, d := range []string{"a", "b", "c"} {
		if h.at(d, version).Evacuated {
			domains = append(domains, d)
		}
	}
	return domains
}

// Guards against an evacuation that comes back, or ends, by a late, repeated or foreign word:
// whatever the order and repetition of rows, listings and gossip, no Set returns to an older
// order, each order says what the store said at its version, and Sets that have exchanged
// all orders agree.
func TestSetNeverReturnsToOlderOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		newest := h[len(h)-1].Version
		var sets [2]Set
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			n := rapid.IntRange(0, 1).Draw(t, fmt.Sprint("set", i))
			s, before := &sets[n], slices.Clone(sets[n].Orders())
			switch rapid.IntRange(0, 2).Draw(t, fmt.Sprint("step", i)) {
			case 0:
				s.Apply(rapid.SampledFrom(h).Draw(t, fmt.Sprint("row", i)))
			case 1:
				version := rapid.Int64Range(0, newest).Draw(t, fmt.Sprint("listing", i))
				listed := h.listing(version)
				for _, o := range s.Absent(version, listed) {
					s.Apply(o)
				}
				for _, d := range listed {
					s.Apply(h.at(d, version))
				}
			default:
				for _, o := range sets[1-n].Orders() {
					s.Apply(o)
				}
			}
			for _, old := range before {
				if s.Of(old.Domain).Version < old.Version {
					t.Fatalf("step %d: %+v replaces %+v", i, s.Of(old.Domain), old)
				}
			}
			for _, o := range s.Orders() {
				if o.Evacuated != h.at(o.Domain, o.Version).Evacuated {
					t.Fatalf("step %d: %+v, but the store said %+v", i, o, h.at(o.Domain, o.Version))
				}
			}
		}
		for _, o := range sets[0].Orders() {
			sets[1].Apply(o)
		}
		for _, o := range sets[1].Orders() {
			sets[0].Apply(o)
		}
		if !slices.Equal(sets[0].Orders(), sets[1].Orders()) {
			t.Fatalf("%+v and %+v after an exchange", sets[0].Orders(), sets[1].Orders())
		}
	})
}

// Guards against a change that is reported twice, or not at all.
func TestApplyReportsChanges(t *testing.T) {
	var s Set
	steps := []struct {
		o    Order
		want bool
	}{
		{Order{"z", 3, false}, false}, {Order{"z", 5, true}, true}, {Order{"z", 5, true}, false}, {Order{"z", 7, true}, false},
		{Order{"z", 6, false}, false}, {Order{"z", 8, false}, true}, {Order{"", 9, true}, false}, {Order{"y", 0, true}, false},
	}
	for _, step := range steps {
		if got := s.Apply(step.o); got != step.want {
			t.Errorf("%+v: change %v", step.o, got)
		}
	}
	if len(s.Evacuated()) > 0 || s.Of("z").Version != 8 || s.Of("y") != (Order{}) {
		t.Errorf("got %+v", s.Orders())
	}
}

// Guards against allocations in each placement, which asks for the order of each gate.
func TestOfDoesNotAllocate(t *testing.T) {
	var s Set
	s.Apply(Order{"z", 1, true})
	if n := testing.AllocsPerRun(100, func() { s.Of("z"); s.Of("y") }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
