package ledger

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// shard is what a home knows of one part of the job-key space.
type shard struct {
	mine      bool
	moved     uint64        // epoch of the move that made it mine
	sealed    uint64        // epoch of the newest move away that was asked for
	minBirth  uint64        // keys born earlier may have run at a lost home
	plainFrom time.Time     // plain keys may have run at a lost home until then
	floor     time.Time     // keys held no longer than this were forgotten
	ready     chan struct{} // closed when the pending handover has ended
	records   map[string]*Record
}

// Takeover is a shard to be fetched from its former owner.
type Takeover struct {
	Shard int
	Moved uint64
	From  roster.Node
}

// Handover is what a former owner passes on of a shard.
type Handover struct {
	MinBirth          uint64
	PlainRefusedUntil time.Time
	LowWatermark      time.Time
	Items             []Item
}

// Item is one record of a Handover. Its State is Running while the former
// owner still runs the job; it sends the outcome when that ends.
type Item struct {
	Key     jobkey.Key
	Hold    time.Time
	Outcome Outcome
}

// Update takes a newer roster and returns the shards to fetch. It ignores a
// roster that is not newer.
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
	l.confirmed = now
	var takeovers []Takeover
	for i := range l.shards {
		if t, ok := l.assign(i, now); ok {
			takeovers = append(takeovers, t)
		}
	}
	return takeovers
}

// Confirm notes that the roster was still the newest at time now.
func (l *Ledger) Confirm(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.confirmed) {
		l.confirmed = now
	}
}

// assign brings shard i in line with the roster. It returns the takeover to
// start, if any.
func (l *Ledger) assign(i int, now time.Time) (Takeover, bool) {
	s := &l.shards[i]
	row := l.roster.Shard(i)
	if row.Owner != l.self || s.sealed > row.Moved {
		l.release(s, now)
		return Takeover{}, false
	}
	if s.mine && s.moved == row.Moved {
		return Takeover{}, false
	}
	l.release(s, now)
	s.mine = true
	s.moved = row.Moved
	if row.PrevOwner == (roster.Ref{}) {
		s.minBirth = 0
		return Takeover{}, false
	}
	from, listed := l.roster.Find(row.PrevOwner)
	if !listed {
		l.lose(s, now)
		return Takeover{}, false
	}
	s.ready = make(chan struct{})
	return Takeover{Shard: i, Moved: row.Moved, From: from}, true
}

// lose marks what a lost former owner may have run.
func (l *Ledger) lose(s *shard, now time.Time) {
	s.minBirth = s.moved
	s.plainFrom = now.Add(l.opts.Horizon)
}

// release stops serving a shard. A handover still pending is given up, since its
// records can no longer be passed on.
func (l *Ledger) release(s *shard, now time.Time) {
	s.mine = false
	if s.ready != nil {
		l.endWait(s, now)
	}
}

// endWait ends the wait for a handover that will not be taken.
func (l *Ledger) endWait(s *shard, now time.Time) {
	l.lose(s, now)
	close(s.ready)
	s.ready = nil
}

// Seal stops serving shard i, which moved to another home at epoch moved, and
// returns what that home needs. It may be called again for the same move. It
// returns false if the home knows of a newer move of the shard.
func (l *Ledger) Seal(i int, moved uint64, now time.Time) (Handover, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i < 0 || i >= len(l.shards) {
		return Handover{}, false
	}
	s := &l.shards[i]
	if s.sealed > moved || s.moved >= moved {
		return Handover{}, false
	}
	if s.moved == 0 {
		s.minBirth = moved
		s.plainFrom = now.Add(l.opts.Horizon)
	}
	l.release(s, now)
	s.sealed = moved
	h := Handover{MinBirth: s.minBirth, PlainRefusedUntil: s.plainFrom, LowWatermark: now}
	if s.floor.After(now) {
		h.LowWatermark = s.floor
	}
	for _, rec := range s.records {
		item := Item{Key: rec.Key, Hold: rec.Hold}
		if rec.settled() {
			item.Outcome = rec.outcome
		}
		h.Items = append(h.Items, item)
	}
	return h, true
}

// Unhanded returns the number of shards that moved from this home to a listed
// one and were not asked for yet.
func (l *Ledger) UnclaimedShards() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for i, row := range l.roster.Shards() {
		_, listed := l.roster.Find(row.Owner)
		if row.PrevOwner == l.self && listed && l.shards[i].sealed < row.Moved {
			count++
		}
	}
	return count
}

// Accept takes the handover of shard i for the move at epoch moved. It does
// nothing if the home no longer waits for it.
func (l *Ledger) AcceptHandover(i int, moved uint64, h Handover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.pending(i, moved)
	if !ok {
		return
	}
	s.minBirth = h.MinBirth
	s.plainFrom = h.PlainRefusedUntil
	if h.LowWatermark.After(s.floor) {
		s.floor = h.LowWatermark
	}
	for _, item := range h.Items {
		l.take(s, item)
	}
	close(s.ready)
	s.ready = nil
}

func (l *Ledger) take(s *shard, item Item) {
	if _, known := s.records[item.Key.String()]; known {
		return
	}
	rec := &Record{Key: item.Key, Hold: item.Hold, done: make(chan struct{})}
	l.insert(s, rec)
	if item.Outcome.State != Running {
		l.settle(rec, item.Outcome)
	}
}

// GiveUp ends the wait for the handover of shard i: the former owner is gone,
// and what it may have run is answered as unknown.
func (l *Ledger) AbandonHandover(i int, moved uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.pending(i, moved)
	if !ok {
		return
	}
	l.endWait(s, now)
}

// Pending tells whether the home still waits for the handover of shard i for
// the move at epoch moved.
func (l *Ledger) HandoverPending(i int, moved uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.pending(i, moved)
	return ok
}

func (l *Ledger) pending(i int, moved uint64) (*shard, bool) {
	if i < 0 || i >= len(l.shards) {
		return nil, false
	}
	s := &l.shards[i]
	return s, s.mine && s.moved == moved && s.ready != nil
}
