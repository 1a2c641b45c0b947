package limit

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

// Reasons for which a job is over its entry's limits.
const (
	OverRunning ledger.Reason = "overrunning" // too many tasks run already
	OverRate    ledger.Reason = "overrate"    // too many tasks were started in the last second
)

// Share is a home's part of every limit: one part in Homes, and one more of
// what the division leaves for the homes of lowest Rank. The zero value is the
// whole.
type Share struct {
	Homes int
	Rank  int
}

// ShareOf returns the share of the home at ref by the roster.
func ShareOf(r roster.Roster, ref roster.Ref) Share {
	share := Share{}
	for _, n := range r.Nodes() {
		if n.Leaving {
			continue
		}
		if n.ID < ref.ID {
			share.Rank++
		}
		share.Homes++
	}
	return share
}

// Of returns the share's part of a limit. All shares of a roster add up to it.
func (s Share) Of(limit int) int {
	if s.Homes <= 1 {
		return limit
	}
	part := limit / s.Homes
	if s.Rank < limit%s.Homes {
		part++
	}
	return part
}

// Limiter counts the work of each entry at one home. The zero value is ready
// for use. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	share Share
	uses  map[string]*use
}

type use struct {
	running int
	tokens  float64
	filled  time.Time
}

// SetShare sets the home's part of all limits from now on.
func (l *Limiter) SetShare(s Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = s
}

// Acquire takes room for n tasks of the entry, all or none. It returns why
// there is none, or "". Release gives the room back.
func (l *Limiter) Acquire(e catlg.Entry, n int, now time.Time) ledger.Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.use(e.Name)
	if e.Limits.Running > 0 && u.running+n > l.share.Of(e.Limits.Running) {
		return OverRunning
	}
	if e.Limits.Rate > 0 && !u.spend(n, l.share.Of(e.Limits.Rate), now) {
		return OverRate
	}
	u.running += n
	return ""
}

// Release gives back the room of n tasks.
func (l *Limiter) Release(entry string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.use(entry).running -= n
}

// Running returns the number of tasks of the entry that hold room.
func (l *Limiter) Running(entry string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.use(entry).running
}

func (l *Limiter) use(entry string) *use {
	u, ok := l.uses[entry]
	if !ok {
		if l.uses == nil {
			l.uses = map[string]*use{}
		}
		u = &use{}
		l.uses[entry] = u
	}
	return u
}

// spend takes n tokens from a bucket that holds one second's worth of rate.
func (u *use) spend(n, rate int, now time.Time) bool {
	full := float64(rate)
	if u.filled.IsZero() {
		u.tokens = full
	} else {
		u.tokens = min(full, u.tokens+full*now.Sub(u.filled).Seconds())
	}
	u.filled = now
	if u.tokens < float64(n) {
		return false
	}
	u.tokens -= float64(n)
	return true
}
