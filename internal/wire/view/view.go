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
	// maxConfirmationAge is how long a confirmation of the roster counts as recent.
	maxConfirmationAge = 3 * time.Second
	// maxPollTime limits the time of one long poll.
	maxPollTime = 20 * time.Second
)

// View is the roster and the catalogue of one process. Clock must be set; all other
// fields may be zero. It is safe for concurrent use.
type View struct {
	Clock *clock.Clock // cluster time

	mu          sync.Mutex
	roster      roster.Roster
	catalogue   catlg.Catalogue
	confirmedAt time.Time     // cluster time at which the roster was last confirmed
	changed     chan struct{} // closed at the next change; nil if nobody waits
}

// Roster returns the newest roster received, or the zero value before the first.
func (v *View) Roster() roster.Roster {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.roster
}

// Catalogue returns the newest catalogue received, or the zero value before the first.
func (v *View) Catalogue() catlg.Catalogue {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.catalogue
}

// UpdateRoster stores r if it is newer than the present roster, and reports whether it
// did.
func (v *View) UpdateRoster(r roster.Roster) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.Epoch() <= v.roster.Epoch() {
		return false
	}
	v.roster = r
	v.notifyChanged()
	return true
}

// UpdateCatalogue merges entries into the catalogue if version is newer than that of
// the catalogue, which then has this version. It reports whether it did.
func (v *View) UpdateCatalogue(version uint64, entries []catlg.Entry) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.catalogue.Version() {
		return false
	}
	v.catalogue = v.catalogue.With(version, entries...)
	v.notifyChanged()
	return true
}

// ConfirmRoster records that the roster was the newest one of the platform's table at
// the cluster time now.
func (v *View) ConfirmRoster(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.After(v.confirmedAt) {
		v.confirmedAt = now
	}
}

// RosterConfirmed reports whether the roster was confirmed recently, as of the cluster
// time now.
func (v *View) RosterConfirmed(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.confirmedAt) < maxConfirmationAge
}

// Changed returns a channel that is closed at the next change of the roster or the
// catalogue.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.changed == nil {
		v.changed = make(chan struct{})
	}
	return v.changed
}

// WaitEpoch waits until the roster has at least the given epoch or ctx ends. It reports
// whether the roster has that epoch.
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

// Apply stores the roster and the entries of a reply to Watch if they are newer.
func (v *View) Apply(reply *msgs.WatchReply) {
	v.UpdateRoster(reply.Roster)
	v.UpdateCatalogue(reply.CatalogueVersion, reply.Entries)
}

// Watch replies with the roster and the entries that are newer than args as soon as
// there are any, or without them after args.MaxWait or maxPollTime, whichever is shorter.
// It is a net/rpc method.
func (v *View) Watch(args *msgs.Watch, reply *msgs.WatchReply) error {
	wait := time.Duration(args.MaxWait) * time.Millisecond
	timer := time.NewTimer(min(wait, maxPollTime))
	defer timer.Stop()
	for {
		changed := v.Changed()
		if v.fillReply(args, reply) {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

// fillReply sets reply to what is newer than args, and reports whether anything is.
func (v *View) fillReply(args *msgs.Watch, reply *msgs.WatchReply) bool {
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

// notifyChanged closes the channel that Changed returned. v.mu must be held.
func (v *View) notifyChanged() {
	if v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
}
