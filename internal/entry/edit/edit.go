package edit

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/rows"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/table"
)

const (
	maxTries   = 12
	retryPause = 20 * time.Millisecond // before another try, doubled by chance
)

// Errors of an edit.
var (
	// ErrChanged means that the entry has another version than the operator
	// read; nothing was written.
	ErrVersionMismatch = merry.Sentinel("the entry was changed since you read it")
	// ErrNoEntry means that there is no such entry.
	ErrEntryNotFound = merry.Sentinel("no such entry")
	// ErrOpen means that nobody can tell yet whether the edit took effect.
	ErrInDoubt = merry.Sentinel("the table did not tell whether the edit took effect")
)

// Editor edits the catalogue. All fields must be set before use.
type Editor struct {
	Table *table.Client
	Clock *clock.Clock
	Stats *stats.Set
	Log   logs.Logger
}

// Put creates or replaces an entry whose row still has the given version, 0 for
// an entry that must not exist. It returns the entry with its new version.
func (e *Editor) Put(ctx context.Context, entry catlg.Entry, version uint64) (catlg.Entry, error) {
	if err := entry.Validate(); err != nil {
		return catlg.Entry{}, err
	}
	return e.apply(ctx, entry.Name, version, func(catlg.Entry) catlg.Entry { return entry })
}

// Delete marks an entry as deleted if its row still has the given version.
func (e *Editor) Delete(ctx context.Context, name string, version uint64) (catlg.Entry, error) {
	return e.apply(ctx, name, version, func(old catlg.Entry) catlg.Entry {
		old.Deleted = true
		return old
	})
}

// History returns the edits, the oldest first.
func (e *Editor) History(ctx context.Context) ([]rows.Edit, error) {
	list, err := e.Table.List(ctx, rows.HistoryPrefix)
	if err != nil {
		return nil, err
	}
	var edits []rows.Edit
	for _, row := range list {
		edit, err := rows.DecodeEdit(row.Value)
		if err != nil {
			return nil, err
		}
		edits = append(edits, edit)
	}
	return edits, nil
}

// apply makes one edit. Each try reads the rows anew; after a lost reply the
// edit's ID in the history tells whether that try took effect.
func (e *Editor) apply(ctx context.Context, name string, version uint64, change changeFunc) (catlg.Entry, error) {
	id := rand.Text()
	lost := uint64(0) // version made by a try whose reply was lost
	var err error
	for range maxTries {
		var entry catlg.Entry
		var next uint64
		entry, next, err = e.try(ctx, id, name, version, change)
		if errors.Is(err, table.ErrInDoubt) {
			lost = next
		}
		if err != nil && lost != 0 {
			entry, err = e.settle(ctx, lost, id, err)
		}
		if err == nil {
			e.Log.Event("edit", "entry", name, "version", entry.Version, "deleted", entry.Deleted)
			return entry, nil
		}
		if errors.Is(err, ErrVersionMismatch) || errors.Is(err, ErrEntryNotFound) {
			return catlg.Entry{}, err
		}
		e.Stats.CountRetry("edit")
		if !pause(ctx) {
			break
		}
	}
	if lost != 0 {
		return catlg.Entry{}, merry.Append(ErrInDoubt, "read the entry before you try again")
	}
	return catlg.Entry{}, err
}

// changeFunc returns what an edit makes of an entry.
type changeFunc func(old catlg.Entry) catlg.Entry

// try makes the edit once. It returns the version of the catalogue that the
// edit makes.
func (e *Editor) try(ctx context.Context, id, name string, version uint64, change changeFunc) (catlg.Entry, uint64, error) {
	head, err := e.get(ctx, rows.HeadName)
	if err != nil {
		return catlg.Entry{}, 0, err
	}
	row, err := e.get(ctx, rows.EntryName(name))
	if err != nil {
		return catlg.Entry{}, 0, err
	}
	old, err := oldEntry(row, version)
	if err != nil {
		return catlg.Entry{}, 0, err
	}
	next := uint64(1)
	if head.Version > 0 {
		last, err := rows.DecodeHead(head.Value)
		if err != nil {
			return catlg.Entry{}, 0, err
		}
		next = last + 1
	}
	entry := change(old)
	entry.Version = next
	writes, err := e.writes(id, entry, head, row)
	if err != nil {
		return catlg.Entry{}, 0, err
	}
	e.Stats.Count("table.writes")
	return entry, next, e.Table.Commit(ctx, writes...)
}

// oldEntry reads the present row and checks that it is what the operator read.
func oldEntry(row table.Row, version uint64) (catlg.Entry, error) {
	if row.Version == 0 {
		if version != 0 {
			return catlg.Entry{}, ErrEntryNotFound
		}
		return catlg.Entry{}, nil
	}
	old, err := rows.DecodeEntry(row.Value)
	if err != nil {
		return catlg.Entry{}, err
	}
	if old.Deleted && version == 0 {
		return old, nil
	}
	if old.Version != version {
		return catlg.Entry{}, merry.Appendf(ErrVersionMismatch, "it has version %d", old.Version)
	}
	return old, nil
}

func (e *Editor) writes(id string, entry catlg.Entry, head, row table.Row) ([]table.Write, error) {
	entryValue, err := rows.EncodeEntry(entry)
	if err != nil {
		return nil, err
	}
	headValue, err := rows.EncodeHead(entry.Version)
	if err != nil {
		return nil, err
	}
	editValue, err := rows.EncodeEdit(rows.Edit{ID: id, Time: e.Clock.Now(), Entry: entry})
	if err != nil {
		return nil, err
	}
	return []table.Write{
		{Name: rows.EntryName(entry.Name), Version: row.Version, Value: entryValue},
		{Name: rows.HeadName, Version: head.Version, Value: headValue},
		{Name: rows.HistoryName(entry.Version), Value: editValue},
	}, nil
}

// settle returns the entry that the edit with the given ID made at version, or
// err if the history does not show that it did.
func (e *Editor) settle(ctx context.Context, version uint64, id string, err error) (catlg.Entry, error) {
	row, readErr := e.get(ctx, rows.HistoryName(version))
	if readErr != nil {
		return catlg.Entry{}, readErr
	}
	if row.Version == 0 {
		return catlg.Entry{}, err
	}
	edit, readErr := rows.DecodeEdit(row.Value)
	if readErr != nil {
		return catlg.Entry{}, readErr
	}
	if edit.ID != id {
		return catlg.Entry{}, err
	}
	return edit.Entry, nil
}

// get reads a row; one that does not exist has version 0.
func (e *Editor) get(ctx context.Context, name string) (table.Row, error) {
	e.Stats.Count("table.reads")
	row, err := e.Table.Get(ctx, name)
	if errors.Is(err, table.ErrNotFound) {
		return table.Row{Name: name}, nil
	}
	return row, err
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause + mathrand.N(retryPause)):
		return true
	}
}
