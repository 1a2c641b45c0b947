package ledger

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// shard is what a home knows of one part of the job-key space.
type shard struct {
	owned             bool
	movedEpoch        uint64             // epoch at which the home last became the owner; 0 means never
	sealedEpoch       uint64             // epoch of the newest move away for which Seal was called; 0 means none
	minEpoch          uint64             // keys made before this epoch may have run at a home whose records are lost
	plainRefusedUntil time.Time          // until then a plain key may have run at a home whose records are lost
	lowWatermark      time.Time          // records with a retention deadline up to this time may have been deleted
	handoverDone      chan struct{}      // closed when the pending handover ends; nil if none is pending
	records           map[string]*Record // by text of the key
}

// Takeover is a shard whose records the home must fetch from the previous owner.
// MoveEpoch is the epoch of the move, From the previous owner.
type Takeover struct {
	Shard     int
	MoveEpoch uint64
	From      roster.Node
}

// Handover is the state of a shard that a previous owner hands over to the new one.
// Keys made before the epoch MinEpoch, and plain keys until PlainRefusedUntil, may
// have run at a home whose records are lost. Records with a retention deadline up to
// LowWatermark may have been deleted.
type Handover struct {
	MinEpoch          uint64
	PlainRefusedUntil time.Time
	LowWatermark      time.Time
	Items             []Item
}

// Item is one record of a Handover. The state of its outcome is Running if the
// previous owner is still running the job; that owner sends the outcome when the
// job ends. RetainUntil is the retention deadline.
type Item struct {
	Key         jobkey.Key
	RetainUntil time.Time
	Outcome     Outcome
}

// Update adopts r, received at now, if it is newer than the present roster. It
// returns the shards whose records must be fetched from their previous owners, and
// nil if r is not newer.
func (l *Ledger) Update(r roster.Roster, now time.Time) []Takeover {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Epoch() <= l.roster.Epoch() {
		return nil
	}
	if len(l.shards) == 0 {
		l.shards = make([]shard, len(r.Shards()))
	}
	l.roster = r
	l.confirmedAt = now
	var takeovers []Takeover
	for i := range l.shards {
		if t, ok := l.updateShard(i, now); ok {
			takeovers = append(takeovers, t)
		}
	}
	return takeovers
}

// ConfirmRoster records that the roster was known to be the newest one at time now.
func (l *Ledger) ConfirmRoster(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.confirmedAt) {
		l.confirmedAt = now
	}
}

// updateShard adapts shard i to the present roster. It returns the takeover to start, and
// false if there is none.
func (l *Ledger) updateShard(i int, now time.Time) (Takeover, bool) {
	s := &l.shards[i]
	assigned := l.roster.Shard(i)
	if assigned.Owner != l.self || s.sealedEpoch > assigned.MoveEpoch {
		l.release(s, now)
		return Takeover{}, false
	}
	if s.owned && s.movedEpoch == assigned.MoveEpoch {
		return Takeover{}, false
	}
	l.release(s, now)
	s.owned = true
	s.movedEpoch = assigned.MoveEpoch
	if assigned.PrevOwner == (roster.Ref{}) {
		s.minEpoch = 0
		return Takeover{}, false
	}
	from, inRoster := l.roster.Find(assigned.PrevOwner)
	if !inRoster {
		l.markLost(s, now)
		return Takeover{}, false
	}
	s.handoverDone = make(chan struct{})
	return Takeover{Shard: i, MoveEpoch: assigned.MoveEpoch, From: from}, true
}

// markLost makes the shard refuse keys that a previous owner, whose records are
// lost, may have run.
func (l *Ledger) markLost(s *shard, now time.Time) {
	s.minEpoch = s.movedEpoch
	s.plainRefusedUntil = now.Add(l.opts.PlainRetention)
}

// release stops serving a shard. A pending handover is abandoned, since its records
// could no longer be handed over to the next owner.
func (l *Ledger) release(s *shard, now time.Time) {
	s.owned = false
	if s.handoverDone != nil {
		l.abandonHandover(s, now)
	}
}

// abandonHandover ends the wait for a handover that will not be accepted.
func (l *Ledger) abandonHandover(s *shard, now time.Time) {
	l.markLost(s, now)
	close(s.handoverDone)
	s.handoverDone = nil
}

// Seal stops serving shard i, which moved to another home at epoch movedEpoch, and
// returns the handover for that home. It may be called again for the same move. It
// returns false if i is out of range or if the home knows of a newer move of the
// shard.
func (l *Ledger) Seal(i int, movedEpoch uint64, now time.Time) (Handover, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i < 0 || i >= len(l.shards) {
		return Handover{}, false
	}
	s := &l.shards[i]
	if s.sealedEpoch > movedEpoch || s.movedEpoch >= movedEpoch {
		return Handover{}, false
	}
	if s.movedEpoch == 0 {
		// The home never owned the shard: it has no records of keys that ran before.
		s.minEpoch = movedEpoch
		s.plainRefusedUntil = now.Add(l.opts.PlainRetention)
	}
	l.release(s, now)
	s.sealedEpoch = movedEpoch
	h := Handover{MinEpoch: s.minEpoch, PlainRefusedUntil: s.plainRefusedUntil, LowWatermark: now}
	if s.lowWatermark.After(now) {
		h.LowWatermark = s.lowWatermark
	}
	for _, rec := range s.records {
		item := Item{Key: rec.Key, RetainUntil: rec.RetainUntil}
		if rec.finished() {
			item.Outcome = rec.outcome
		}
		h.Items = append(h.Items, item)
	}
	return h, true
}

// UnclaimedShards returns the number of shards that moved from this home to one in
// the roster, and for which the new owner has not yet requested the handover.
func (l *Ledger) UnclaimedShards() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for i, assigned := range l.roster.Shards() {
		_, inRoster := l.roster.Find(assigned.Owner)
		if assigned.PrevOwner == l.self && inRoster && l.shards[i].sealedEpoch < assigned.MoveEpoch {
			count++
		}
	}
	return count
}

// AcceptHandover stores the handover of shard i for the move at epoch movedEpoch and
// starts to serve the keys that had to wait for it. It does nothing if the home does
// not wait for this handover.
func (l *Ledger) AcceptHandover(i int, movedEpoch uint64, h Handover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.pendingShard(i, movedEpoch)
	if !ok {
		return
	}
	s.minEpoch = h.MinEpoch
	s.plainRefusedUntil = h.PlainRefusedUntil
	if h.LowWatermark.After(s.lowWatermark) {
		s.lowWatermark = h.LowWatermark
	}
	for _, item := range h.Items {
		l.addItem(s, item)
	}
	close(s.handoverDone)
	s.handoverDone = nil
}

// addItem adds the record of a handover to the shard, unless the shard already has a
// record of the key.
func (l *Ledger) addItem(s *shard, item Item) {
	if _, known := s.records[item.Key.String()]; known {
		return
	}
	rec := &Record{Key: item.Key, RetainUntil: item.RetainUntil, done: make(chan struct{})}
	l.insert(s, rec)
	if item.Outcome.State != Running {
		l.setOutcome(rec, item.Outcome)
	}
}

// AbandonHandover ends the wait for the handover of shard i for the move at epoch
// movedEpoch, because the previous owner is gone. Keys that it may have run are
// answered as unknown from then on. AbandonHandover does nothing if the home does
// not wait for this handover.
func (l *Ledger) AbandonHandover(i int, movedEpoch uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.pendingShard(i, movedEpoch)
	if !ok {
		return
	}
	l.abandonHandover(s, now)
}

// HandoverPending reports whether the home still waits for the handover of shard i
// for the move at epoch movedEpoch.
func (l *Ledger) HandoverPending(i int, movedEpoch uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.pendingShard(i, movedEpoch)
	return ok
}

// pendingShard returns shard i, and whether the home waits for its handover for the
// move at epoch movedEpoch.
func (l *Ledger) pendingShard(i int, movedEpoch uint64) (*shard, bool) {
	if i < 0 || i >= len(l.shards) {
		return nil, false
	}
	s := &l.shards[i]
	return s, s.owned && s.movedEpoch == movedEpoch && s.handoverDone != nil
}
