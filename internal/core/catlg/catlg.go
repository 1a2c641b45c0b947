package catlg

import (
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Bounds of an entry's limits.
const (
	MaxTasks   = 300
	MaxRunning = 100_000
	MaxRate    = 1_000_000
	MinTimeout = 10 * time.Millisecond
	MaxTimeout = time.Minute
)

// ErrInvalid reports an entry that can't be accepted.
var ErrInvalid = merry.Sentinel("invalid catalogue entry")

// Class tells how urgent work is.
type Class string

// Classes, the most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Limits bound the work of an entry. A zero field means the largest value.
type Limits struct {
	Tasks   int           // tasks a job may have
	Running int           // tasks running at a time
	Rate    int           // task starts a second
	Timeout time.Duration // longest time a job may ask for
}

// Entry is one kind of work that callers may ask for.
type Entry struct {
	Name    string
	Owner   string
	Class   Class
	Service string
	Limits  Limits
	Version uint64 // version of the catalogue that brought this state
	Deleted bool
}

// Check returns ErrInvalid with the first field at fault, or nil.
func (e Entry) Validate() error {
	switch {
	case !jobkey.ValidName(e.Name):
		return fault("name", "must be 1 to 48 of a-z, 0-9 and -")
	case !jobkey.ValidName(e.Owner):
		return fault("owner", "must be 1 to 48 of a-z, 0-9 and -")
	case !jobkey.ValidName(e.Service):
		return fault("service", "must be 1 to 48 of a-z, 0-9 and -")
	case e.Class != Urgent && e.Class != Normal && e.Class != Batch:
		return fault("class", "must be urgent, normal or batch")
	case e.Limits.Tasks < 0 || e.Limits.Tasks > MaxTasks:
		return fault("limits.tasks", "must be 0 to 300")
	case e.Limits.Running < 0 || e.Limits.Running > MaxRunning:
		return fault("limits.running", "must be 0 to 100000")
	case e.Limits.Rate < 0 || e.Limits.Rate > MaxRate:
		return fault("limits.rate", "must be 0 to 1000000")
	case e.Limits.Timeout != 0 && (e.Limits.Timeout < MinTimeout || e.Limits.Timeout > MaxTimeout):
		return fault("limits.timeout", "must be 10 to 60000 ms")
	}
	return nil
}

// MaxTasks returns the number of tasks a job of the entry may have.
func (e Entry) MaxTasks() int {
	if e.Limits.Tasks == 0 {
		return MaxTasks
	}
	return e.Limits.Tasks
}

// Timeout returns the longest time that a job of the entry may ask for.
func (e Entry) Timeout() time.Duration {
	if e.Limits.Timeout == 0 {
		return MaxTimeout
	}
	return e.Limits.Timeout
}

func fault(field, text string) error { return merry.Appendf(ErrInvalid, "%s: %s", field, text) }

// Catalogue is one version of all entries. The zero value is empty, at version 0.
type Catalogue struct {
	version uint64
	entries map[string]Entry
}

// Version returns the number of this state of the catalogue; it only rises.
func (c Catalogue) Version() uint64 { return c.version }

// Get returns the live entry of that name.
func (c Catalogue) Get(name string) (Entry, bool) {
	e, ok := c.entries[name]
	return e, ok && !e.Deleted
}

// Entries returns all entries in order of name, deleted ones included.
func (c Catalogue) Entries() []Entry {
	names := slices.Sorted(maps.Keys(c.entries))
	entries := make([]Entry, 0, len(names))
	for _, name := range names {
		entries = append(entries, c.entries[name])
	}
	return entries
}

// Since returns the entries changed after the given version.
func (c Catalogue) ChangedSince(version uint64) []Entry {
	return slices.DeleteFunc(c.Entries(), func(e Entry) bool { return e.Version <= version })
}

// With returns the catalogue with the given entries merged in, at the given
// version. An entry or version that is not newer changes nothing.
func (c Catalogue) With(version uint64, entries ...Entry) Catalogue {
	next := Catalogue{version: max(c.version, version), entries: maps.Clone(c.entries)}
	if next.entries == nil {
		next.entries = map[string]Entry{}
	}
	for _, e := range entries {
		if old, ok := next.entries[e.Name]; !ok || e.Version > old.Version {
			next.entries[e.Name] = e
		}
	}
	return next
}
