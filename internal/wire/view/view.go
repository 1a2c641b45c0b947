package view

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// freshFor is how long a confirmation of the roster counts as recent.
	freshFor = 3 * time.Second
	// maxWait bounds one long poll.
	maxWait = 20 * time.Second
)

// View is the state shared by the parts of one process. Clock must be set; the
// rest of the zero value is ready for use. It is safe for concurrent use.
type View struct {
	Clock *clock.Clock

	mu        sync.Mutex
	roster    roster.Roster
	catalogue catlg.Catalogue
	confirmed time.Time
	changed   chan struct{}
}

// Roster returns the newest roster known.
func (v *View) Roster() roster.Roster {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster
}

// Catalogue returns the newest catalogue known.
func (v *View) Catalogue() catlg.Catalogue {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.catalogue
}

// OfferRoster takes r if it is newer and reports whether it was.
func (v *View) UpdateRoster(r roster.Roster) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.Epoch() <= v.roster.Epoch() {
		return false
	}
	v.roster = r
	v.announce()
	return true
}

// OfferEntries merges entries of the given version if it is newer, and reports
// whether it was.
func (v *View) UpdateCatalogue(version uint64, entries []catlg.Entry) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.catalogue.Version() {
		return false
	}
	v.catalogue = v.catalogue.With(version, entries...)
	v.announce()
	return true
}

// Confirm notes that at time now the roster was the platform's newest.
func (v *View) ConfirmRoster(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.After(v.confirmed) {
		v.confirmed = now
	}
}

// Fresh tells whether the roster was confirmed a moment before now.
func (v *View) RosterConfirmed(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.confirmed) < freshFor
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.changed
}

// WaitEpoch waits until the roster has at least the given epoch, and reports
// whether it came before ctx ended.
func (v *View) WaitEpoch(ctx context.Context, epoch uint64) bool {
	for {
		changed := v.Changed()
		if v.Roster().Epoch() >= epoch {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Take merges news from a peer.
func (v *View) Apply(news *msgs.WatchReply) {
	v.UpdateRoster(news.Roster)
	v.UpdateCatalogue(news.CatalogueVersion, news.Entries)
}

// Watch is the net/rpc method that answers with what is newer than args, once
// there is something or the wait is over.
func (v *View) Watch(args *msgs.Watch, reply *msgs.WatchReply) error {
	wait := time.Duration(args.MaxWait) * time.Millisecond
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		changed := v.Changed()
		if v.fill(args, reply) {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

// fill writes what is newer than args and reports whether anything is.
func (v *View) fill(args *msgs.Watch, reply *msgs.WatchReply) bool {
	now := v.Clock.Now()
	reply.Time = msgs.Millis(now)
	reply.RosterConfirmed = v.RosterConfirmed(now)
	r := v.Roster()
	c := v.Catalogue()
	reply.Epoch = r.Epoch()
	reply.CatalogueVersion = c.Version()
	if r.Epoch() > args.Epoch {
		reply.Roster = r
	}
	if c.Version() > args.CatalogueVersion {
		reply.Entries = c.ChangedSince(args.CatalogueVersion)
	}
	return r.Epoch() > args.Epoch || c.Version() > args.CatalogueVersion
}

func (v *View) announce() {
	if v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
}
