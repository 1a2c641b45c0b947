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

// TestNothingGoesBack has processes learn of edits from the table and from each
// other, in any order, late and again; what each shows only rises.
func TestNothingGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := []*View{{Clock: &clock.Clock{}}, {Clock: &clock.Clock{}}, {Clock: &clock.Clock{}}}
		table := []catlg.Catalogue{{}}
		late := []*msgs.WatchReply{}
		shown := make([]catlg.Catalogue, len(views))
		who := rapid.IntRange(0, len(views)-1)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				last := table[len(table)-1]
				e := catlg.Entry{Name: fmt.Sprintf("e%d", rapid.IntRange(0, 2).Draw(t, "entry")), Version: last.Version() + 1}
				table = append(table, last.With(e.Version, e))
			},
			"read": func(t *rapid.T) {
				c := table[rapid.IntRange(0, len(table)-1).Draw(t, "read at")]
				views[who.Draw(t, "who")].UpdateCatalogue(c.Version(), c.Entries())
			},
			"ask": func(t *rapid.T) {
				from := views[who.Draw(t, "from")]
				var news msgs.WatchReply
				if err := from.Watch(&msgs.Watch{CatalogueVersion: uint64(rapid.IntRange(0, 2).Draw(t, "have"))}, &news); err != nil {
					t.Fatal(err)
				}
				late = append(late, &news)
			},
			"answer": func(t *rapid.T) {
				if len(late) > 0 {
					views[who.Draw(t, "to")].Apply(rapid.SampledFrom(late).Draw(t, "news"))
				}
			},
			"": func(t *rapid.T) {
				for i, v := range views {
					checkRise(t, shown[i], v.Catalogue())
					shown[i] = v.Catalogue()
				}
			},
		})
	})
}

func checkRise(t *rapid.T, before, after catlg.Catalogue) {
	if after.Version() < before.Version() {
		t.Fatalf("the catalogue went from version %d to %d", before.Version(), after.Version())
	}
	for _, e := range before.Entries() {
		if now, ok := after.Get(e.Name); !ok || now.Version < e.Version {
			t.Fatalf("entry %s went from version %d to %d", e.Name, e.Version, now.Version)
		}
	}
}

func TestWatchAnswersWithWhatIsNewer(t *testing.T) {
	v := &View{Clock: &clock.Clock{}}
	var news msgs.WatchReply
	if err := v.Watch(&msgs.Watch{}, &news); err != nil || news.Epoch != 0 {
		t.Fatalf("got %+v, %v from an empty view", news, err)
	}
	done := make(chan msgs.WatchReply)
	go func() {
		var news msgs.WatchReply
		_ = v.Watch(&msgs.Watch{MaxWait: time.Minute.Milliseconds()}, &news)
		done <- news
	}()
	v.UpdateRoster(roster.New(4))
	if news := <-done; news.Roster.Epoch() != 1 {
		t.Errorf("got epoch %d, want 1", news.Roster.Epoch())
	}
	if v.UpdateRoster(roster.New(8)) {
		t.Error("took a roster of the same epoch")
	}
}
