package catlg

import (
	"maps"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Bounds of the limits of an entry.
const (
	MaxTasks   = 300
	MaxRunning = 100_000
	MaxRate    = 1_000_000
	MinTimeout = 10 * time.Millisecond
	MaxTimeout = time.Minute
)

// ErrInvalid is returned for an entry with an invalid field.
var ErrInvalid = merry.Sentinel("invalid catalogue entry")

// Class is the urgency of the work of an entry.
type Class string

// Classes, the most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Limits bound the work of an entry. A field that is zero sets no limit of its own:
// Tasks and Timeout are then bounded by MaxTasks and MaxTimeout, the others are not.
type Limits struct {
	Tasks   int           // maximum number of tasks of a job
	Running int           // maximum number of tasks running at a time
	Rate    int           // maximum number of task starts per second
	Timeout time.Duration // maximum timeout that a job may request
}

// Entry is one kind of work that callers may request.
type Entry struct {
	Name    string
	Owner   string
	Class   Class
	Service string
	Limits  Limits
	Version uint64 // version of the catalogue in which the entry last changed
	Deleted bool
}

// Validate returns an error that wraps ErrInvalid and names the first invalid field,
// or nil if the entry is valid.
func (e Entry) Validate() error {
	switch {
	case !jobkey.ValidName(e.Name):
		return invalidField("name", "must be 1 to 48 of a-z, 0-9 and -")
	case !jobkey.ValidName(e.Owner):
		return invalidField("owner", "must be 1 to 48 of a-z, 0-9 and -")
	case !jobkey.ValidName(e.Service):
		return invalidField("service", "must be 1 to 48 of a-z, 0-9 and -")
	case e.Class != Urgent && e.Class != Normal && e.Class != Batch:
		return invalidField("class", "must be urgent, normal or batch")
	case e.Limits.Tasks < 0 || e.Limits.Tasks > MaxTasks:
		return invalidField("limits.tasks", "must be 0 to 300")
	case e.Limits.Running < 0 || e.Limits.Running > MaxRunning:
		return invalidField("limits.running", "must be 0 to 100000")
	case e.Limits.Rate < 0 || e.Limits.Rate > MaxRate:
		return invalidField("limits.rate", "must be 0 to 1000000")
	case e.Limits.Timeout != 0 && (e.Limits.Timeout < MinTimeout || e.Limits.Timeout > MaxTimeout):
		return invalidField("limits.timeout", "must be 10 to 60000 ms")
	}
	return nil
}

// MaxTasks returns the maximum number of tasks of a job of the entry.
func (e Entry) MaxTasks() int {
	if e.Limits.Tasks == 0 {
		return MaxTasks
	}
	return e.Limits.Tasks
}

// Timeout returns the maximum timeout that a job of the entry may request.
func (e Entry) Timeout() time.Duration {
	if e.Limits.Timeout == 0 {
		return MaxTimeout
	}
	return e.Limits.Timeout
}

// invalidField returns ErrInvalid with the name of a field and its requirement.
func invalidField(field, requirement string) error {
	return merry.Appendf(ErrInvalid, "%s: %s", field, requirement)
}

// Catalogue is one version of all entries. The zero value is empty and has version
// 0.
type Catalogue struct {
	version uint64
	entries map[string]Entry
}

// Version returns the version of the catalogue. A later state has a higher one.
func (c Catalogue) Version() uint64 { return c.version }

// Get returns the entry with the given name. It returns false if there is none or
// if it is deleted.
func (c Catalogue) Get(name string) (Entry, bool) {
	e, ok := c.entries[name]
	return e, ok && !e.Deleted
}

// Entries returns all entries sorted by name, including deleted ones.
func (c Catalogue) Entries() []Entry {
	names := slices.Sorted(maps.Keys(c.entries))
	entries := make([]Entry, 0, len(names))
	for _, name := range names {
		entries = append(entries, c.entries[name])
	}
	return entries
}

// ChangedSince returns the entries changed after the given version, including
// deleted ones, sorted by name.
func (c Catalogue) ChangedSince(version uint64) []Entry {
	return slices.DeleteFunc(c.Entries(), func(e Entry) bool { return e.Version <= version })
}

// With returns a copy of the catalogue at the given version with the given entries
// merged in. An entry replaces the one of its name only if its Version is higher. The
// version of the catalogue stays if it is higher than the given one.
func (c Catalogue) With(version uint64, entries ...Entry) Catalogue {
	merged := Catalogue{version: max(c.version, version), entries: maps.Clone(c.entries)}
	if merged.entries == nil {
		merged.entries = map[string]Entry{}
	}
	for _, e := range entries {
		if old, ok := merged.entries[e.Name]; !ok || e.Version > old.Version {
			merged.entries[e.Name] = e
		}
	}
	return merged
}
