package guard

import (
	"sync"
	"time"
)

// CounterPrefix precedes a cause in the name of its counter.
const CounterPrefix = "ingress."

// logInterval is the time between two log lines of one cause.
const logInterval = time.Second

// Reporter counts causes and logs each at most once in logInterval. The fields must be set before
// use. It is safe for concurrent use.
type Reporter struct {
	Count func(counter string)
	Event func(event string, pairs ...any)
	Now   func() time.Time // nil means time.Now

	mu     sync.Mutex
	causes map[string]*unlogged
}

// unlogged is what has not been logged of a cause.
type unlogged struct {
	count  int
	logged time.Time // when the latest line was written
}

// Report counts a cause. A line is written at the first occurrence after logInterval, with the
// number of occurrences since the line before.
func (r *Reporter) Report(cause string) {
	r.Count(CounterPrefix + cause)
	now := time.Now
	if r.Now != nil {
		now = r.Now
	}
	if n := r.due(cause, now()); n > 0 {
		r.Event("ingress_limited", "cause", cause, "count", n)
	}
}

// due adds an occurrence and returns the number to log now, or 0.
func (r *Reporter) due(cause string, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.causes == nil {
		r.causes = map[string]*unlogged{}
	}
	c := r.causes[cause]
	if c == nil {
		c = &unlogged{}
		r.causes[cause] = c
	}
	c.count++
	if now.Sub(c.logged) < logInterval {
		return 0
	}
	n := c.count
	c.count, c.logged = 0, now
	return n
}
