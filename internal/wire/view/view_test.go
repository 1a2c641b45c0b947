package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 2000}) }

// Processes receive edits of the catalogue from the table and from each other, in any
// order, with delay and repeatedly. The versions that a process has must never fall.
func TestNothingGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := []*View{{Clock: &clock.Clock{}}, {Clock: &clock.Clock{}}, {Clock: &clock.Clock{}}}
		versions := []catlg.Catalogue{{}}
		delayed := []*msgs.WatchReply{}
		seen := make([]catlg.Catalogue, len(views))
		anyView := rapid.IntRange(0, len(views)-1)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				last := versions[len(versions)-1]
				e := catlg.Entry{Name: fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(t, "entry")), Version: last.Version() + 1}
				versions = append(versions, last.With(e.Version, e))
			},
			"read": func(t *rapid.T) {
				c := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "read at")]
				views[anyView.Draw(t, "who")].UpdateCatalogue(c.Version(), c.Entries())
			},
			"ask": func(t *rapid.T) {
				from := views[anyView.Draw(t, "from")]
				var reply msgs.WatchReply
				if err := from.Watch(&msgs.Watch{CatalogueVersion: uint64(rapid.IntRange(0, 2).Draw(t, "have"))}, &reply); err != nil {
					t.Fatal(err)
				}
				delayed = append(delayed, &reply)
			},
			"answer": func(t *rapid.T) {
				if len(delayed) > 0 {
					views[anyView.Draw(t, "to")].Apply(rapid.SampledFrom(delayed).Draw(t, "news"))
				}
			},
			"": func(t *rapid.T) {
				for i, v := range views {
					checkNotOlder(t, seen[i], v.Catalogue())
					seen[i] = v.Catalogue()
				}
			},
		})
	})
}

// checkNotOlder fails the test if after, or one of its entries, is older than in before.
func checkNotOlder(t *rapid.T, before, after catlg.Catalogue) {
	if after.Version() < before.Version() {
		t.Fatalf("version of the catalogue fell from %d to %d", before.Version(), after.Version())
	}
	for _, e := range before.Entries() {
		if now, ok := after.Get(e.Name); !ok || now.Version < e.Version {
			t.Fatalf("version of entry %s fell from %d to %d", e.Name, e.Version, now.Version)
		}
	}
}

func TestWatchReturnsNewerState(t *testing.T) {
	v := &View{Clock: &clock.Clock{}}
	var reply msgs.WatchReply
	if err := v.Watch(&msgs.Watch{}, &reply); err != nil || reply.Epoch != 0 {
		t.Fatalf("got %+v, error %v from an empty view", reply, err)
	}
	done := make(chan msgs.WatchReply)
	go func() {
		var reply msgs.WatchReply
		_ = v.Watch(&msgs.Watch{MaxWait: time.Minute.Milliseconds()}, &reply)
		done <- reply
	}()
	v.UpdateRoster(roster.New(4))
	if reply := <-done; reply.Roster.Epoch() != 1 {
		t.Errorf("got epoch %d, want 1", reply.Roster.Epoch())
	}
	if v.UpdateRoster(roster.New(8)) {
		t.Error("a roster of the same epoch was stored")
	}
}
