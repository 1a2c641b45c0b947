package route

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Route maps requests to a catalogue entry and sets the terms of service for its jobs.
type Route struct {
	Name          string
	Host          string        // host that a request must name
	PathPrefix    string        // prefix that the path of a request must have
	Service       string        // service of the targets that run the tasks
	Priority      int           // 0 is the highest priority
	MaxAttempts   int           // number of failed runs of one task that fail the job; values below 1 count as 1
	MaxStretch    float64       // permitted ratio of latency to run time; values below 1 count as 1
	LatencyMargin time.Duration // permitted latency in addition to MaxStretch times the run time
	NeedsAdvice   bool          // an advice service must be asked about each step
}

// LatencyBudget returns the time within which a job with the given expected run time
// should be answered.
func (r Route) LatencyBudget(expected time.Duration) time.Duration {
	return time.Duration(max(r.MaxStretch, 1)*float64(expected)) + r.LatencyMargin
}

// Limits are the upper bounds on the size of callers' requests.
type Limits struct {
	HeaderBytes int // bytes
	BodyBytes   int // bytes
}

// Table is one version of the configuration. The zero value has no routes, and every
// table with a positive version is newer.
type Table struct {
	Version int64
	Routes  []Route
	Limits  Limits
	Raw     []byte // encoded form as received, to be passed on to other processes
}

// Find returns the route for a host and path, and the part of the path after the
// route's prefix. If several routes match, the one with the longest prefix is chosen.
// Find reports false if no route matches.
func (t *Table) Find(host, path string) (Route, string, bool) {
	longest := -1
	for i, r := range t.Routes {
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if longest < 0 || len(r.PathPrefix) > len(t.Routes[longest].PathPrefix) {
			longest = i
		}
	}
	if longest < 0 {
		return Route{}, "", false
	}
	return t.Routes[longest], path[len(t.Routes[longest].PathPrefix):], true
}

// Current holds the newest table that was stored. The zero value holds none. It is
// safe for concurrent use.
type Current struct {
	newest atomic.Pointer[Table]

	mu    sync.Mutex
	first chan struct{} // closed when the first table is stored; use firstChan
}

// Get returns the newest table, or nil if none was stored.
func (c *Current) Get() *Table { return c.newest.Load() }

// StoreIfNewer stores t if it is newer than the current table or there is none. It
// reports whether it stored t.
func (c *Current) StoreIfNewer(t *Table) bool {
	for {
		current := c.newest.Load()
		if current != nil && current.Version >= t.Version {
			return false
		}
		if c.newest.CompareAndSwap(current, t) {
			if current == nil {
				close(c.firstChan())
			}
			return true
		}
	}
}

// First returns a channel that is closed once a table has been stored.
func (c *Current) First() <-chan struct{} { return c.firstChan() }

func (c *Current) firstChan() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first == nil {
		c.first = make(chan struct{})
	}
	return c.first
}

// Version returns the version of the newest table, or 0 if none was stored.
func (c *Current) Version() int64 {
	if t := c.Get(); t != nil {
		return t.Version
	}
	return 0
}
