package limit

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

// Reasons for refusing a job because of its entry's limits.
const (
	RunningLimitReached ledger.Reason = "overrunning" // too many tasks would run at a time
	RateLimitReached    ledger.Reason = "overrate"    // tasks would be started too fast
)

// Share is the part of every limit that one home may use: 1/Homes of it, rounded
// down, plus one if Rank is less than the remainder of the division. The zero value
// is the whole limit.
type Share struct {
	Homes int // homes that share the limits
	Rank  int // number of these whose ID sorts before this home's
}

// ShareOf returns the share of the home at ref among the nodes of the roster that
// are not leaving.
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

// Of returns this share of a limit. All shares of a roster add up to the limit.
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

// Limiter counts the tasks of each entry at one home. The zero value is ready for
// use and allows the whole of each limit. It is safe for concurrent use.
type Limiter struct {
	mu           sync.Mutex
	share        Share
	usageByEntry map[string]*usage
}

// usage is what one entry uses of its limits at this home.
type usage struct {
	running    int       // tasks that have reserved capacity
	tokens     float64   // starts allowed at refilledAt
	refilledAt time.Time // time of the last refill, zero before the first
}

// SetShare sets the share of all limits that the home may use from now on.
func (l *Limiter) SetShare(s Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = s
}

// Acquire reserves capacity for n tasks of the entry, for all of them or none. It
// returns the reason if the limits don't allow it, and otherwise the empty string.
// Release returns the capacity.
func (l *Limiter) Acquire(e catlg.Entry, n int, now time.Time) ledger.Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(e.Name)
	if e.Limits.Running > 0 && u.running+n > l.share.Of(e.Limits.Running) {
		return RunningLimitReached
	}
	if e.Limits.Rate > 0 && !u.takeTokens(n, l.share.Of(e.Limits.Rate), now) {
		return RateLimitReached
	}
	u.running += n
	return ""
}

// Release returns the capacity that n tasks of the entry had reserved.
func (l *Limiter) Release(entry string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage(entry).running -= n
}

// Running returns the number of tasks of the entry that have reserved capacity.
func (l *Limiter) Running(entry string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage(entry).running
}

// usage returns the usage of an entry, and creates it if there is none yet.
func (l *Limiter) usage(entry string) *usage {
	u, ok := l.usageByEntry[entry]
	if !ok {
		if l.usageByEntry == nil {
			l.usageByEntry = map[string]*usage{}
		}
		u = &usage{}
		l.usageByEntry[entry] = u
	}
	return u
}

// takeTokens takes n tokens from a bucket that is refilled with rate tokens per
// second and holds at most one second's worth. It returns false, and takes none, if
// the bucket has fewer than n.
func (u *usage) takeTokens(n, rate int, now time.Time) bool {
	burst := float64(rate)
	if u.refilledAt.IsZero() {
		u.tokens = burst
	} else {
		u.tokens = min(burst, u.tokens+burst*now.Sub(u.refilledAt).Seconds())
	}
	u.refilledAt = now
	if u.tokens < float64(n) {
		return false
	}
	u.tokens -= float64(n)
	return true
}
