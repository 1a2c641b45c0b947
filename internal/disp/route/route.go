package route

import (
	"strings"
	"sync/atomic"
	"time"
)

// Route is a catalogue entry as callers reach it.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Service       string
	Priority      int // 0 comes first
	Attempts      int // runs of a task that may fail before the job has failed
	Stretch       float64
	LatencyMargin time.Duration // latency objective beyond Stretch times the run time
	NeedsAdvice   bool          // an advice service must be asked about each step
}

// Allowance returns the time in which a job that runs for expected should be
// answered.
func (r Route) LatencyBudget(expected time.Duration) time.Duration {
	return time.Duration(max(r.Stretch, 1)*float64(expected)) + r.LatencyMargin
}

// Limits bounds what callers may send.
type Limits struct {
	Header int // bytes
	Body   int // bytes
}

// Table is one version of the configuration. The zero value is older than every
// other and has no routes.
type Table struct {
	Version int64
	Routes  []Route
	Limits  Limits
	Raw     []byte // as it was received, for other processes
}

// Find returns the route of a request by its host and the longest prefix of its
// path, and the rest of the path.
func (t *Table) Find(host, path string) (Route, string, bool) {
	best := -1
	for i, r := range t.Routes {
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best < 0 || len(r.Prefix) > len(t.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, "", false
	}
	return t.Routes[best], path[len(t.Routes[best].Prefix):], true
}

// Current holds the newest table. The zero value holds none. It is safe for
// concurrent use.
type Current struct{ newest atomic.Pointer[Table] }

// Get returns the newest table, or nil before the first.
func (c *Current) Get() *Table { return c.newest.Load() }

// Offer takes t if it is newer than the present one, and reports whether it did.
func (c *Current) StoreIfNewer(t *Table) bool {
	for {
		old := c.newest.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if c.newest.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Version returns the version of the newest table, or 0 before the first.
func (c *Current) Version() int64 {
	if t := c.Get(); t != nil {
		return t.Version
	}
	return 0
}
