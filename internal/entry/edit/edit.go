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
	maxAttempts = 12
	retryPause  = 20 * time.Millisecond // before another attempt; extended by a random part of up to 100 %
)

// Errors of an edit.
var (
	// ErrVersionMismatch means that the entry does not have the version that the
	// operator read; nothing was written.
	ErrVersionMismatch = merry.Sentinel("the entry was changed since you read it")
	// ErrEntryNotFound means that the catalogue has no entry of that name; nothing
	// was written.
	ErrEntryNotFound = merry.Sentinel("no such entry")
	// ErrInDoubt means that the edit may or may not have taken effect.
	ErrInDoubt = merry.Sentinel("the edit may or may not have taken effect: the reply of the table was lost")
)

// Editor edits the catalogue. All fields must be set before use. It is safe for
// concurrent use.
type Editor struct {
	Table *table.Client
	Clock *clock.Clock
	Stats *stats.Set
	Log   logs.Logger
}

// Put creates or replaces an entry if it still has the given version; version 0 means
// that the entry must not exist or must be deleted. Put returns the entry with its new
// version.
func (e *Editor) Put(ctx context.Context, entry catlg.Entry, version uint64) (catlg.Entry, error) {
	if err := entry.Validate(); err != nil {
		return catlg.Entry{}, err
	}
	return e.apply(ctx, entry.Name, version, func(catlg.Entry) catlg.Entry { return entry })
}

// Delete marks an entry as deleted if it still has the given version. It returns the
// deleted entry with its new version.
func (e *Editor) Delete(ctx context.Context, name string, version uint64) (catlg.Entry, error) {
	return e.apply(ctx, name, version, func(old catlg.Entry) catlg.Entry {
		old.Deleted = true
		return old
	})
}

// History returns all edits, with the oldest first.
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

// apply makes one edit. Each attempt reads the rows again. After a lost reply, the ID of
// the edit in the history shows whether that attempt took effect.
func (e *Editor) apply(ctx context.Context, name string, readVersion uint64, change changeFunc) (catlg.Entry, error) {
	editID := rand.Text()
	lostVersion := uint64(0) // catalogue version of the attempt whose reply was lost; 0 without one
	var err error
	for range maxAttempts {
		var entry catlg.Entry
		var newVersion uint64
		entry, newVersion, err = e.attempt(ctx, editID, name, readVersion, change)
		if errors.Is(err, table.ErrInDoubt) {
			lostVersion = newVersion
		}
		if err != nil && lostVersion != 0 {
			entry, err = e.resolve(ctx, lostVersion, editID, err)
		}
		if err == nil {
			e.Log.Event("edit", "entry", name, "version", entry.Version, "deleted", entry.Deleted)
			return entry, nil
		}
		if errors.Is(err, ErrVersionMismatch) || errors.Is(err, ErrEntryNotFound) {
			return catlg.Entry{}, err
		}
		e.Stats.CountRetry("edit")
		if !backOff(ctx) {
			break
		}
	}
	if lostVersion != 0 {
		return catlg.Entry{}, merry.Append(ErrInDoubt, "read the entry before you try again")
	}
	return catlg.Entry{}, err
}

// changeFunc returns the entry that an edit makes from the old one.
type changeFunc func(old catlg.Entry) catlg.Entry

// attempt tries to make the edit once. It returns the new entry and the new version of
// the catalogue. After an error, they take effect only if the error is table.ErrInDoubt and
// the transaction was made nevertheless.
func (e *Editor) attempt(ctx context.Context, editID, name string, readVersion uint64, change changeFunc) (catlg.Entry, uint64, error) {
	head, err := e.getRow(ctx, rows.HeadName)
	if err != nil {
		return catlg.Entry{}, 0, err
	}
	row, err := e.getRow(ctx, rows.EntryName(name))
	if err != nil {
		return catlg.Entry{}, 0, err
	}
	old, err := checkedEntry(row, readVersion)
	if err != nil {
		return catlg.Entry{}, 0, err
	}
	newVersion := uint64(1)
	if head.Version > 0 {
		last, err := rows.DecodeHead(head.Value)
		if err != nil {
			return catlg.Entry{}, 0, err
		}
		newVersion = last + 1
	}
	entry := change(old)
	entry.Version = newVersion
	writes, err := e.transaction(editID, entry, head, row)
	if err != nil {
		return catlg.Entry{}, 0, err
	}
	e.Stats.Count("table.writes")
	return entry, newVersion, e.Table.Commit(ctx, writes...)
}

// checkedEntry parses the present row of an entry and checks that it has the version
// that the operator read. Without a row it returns the zero Entry.
func checkedEntry(row table.Row, readVersion uint64) (catlg.Entry, error) {
	if row.Version == 0 {
		if readVersion != 0 {
			return catlg.Entry{}, ErrEntryNotFound
		}
		return catlg.Entry{}, nil
	}
	old, err := rows.DecodeEntry(row.Value)
	if err != nil {
		return catlg.Entry{}, err
	}
	if old.Deleted && readVersion == 0 {
		return old, nil
	}
	if old.Version != readVersion {
		return catlg.Entry{}, merry.Appendf(ErrVersionMismatch, "it has version %d", old.Version)
	}
	return old, nil
}

// transaction returns the writes of an edit.
func (e *Editor) transaction(editID string, entry catlg.Entry, head, row table.Row) ([]table.Write, error) {
	entryValue, err := rows.EncodeEntry(entry)
	if err != nil {
		return nil, err
	}
	headValue, err := rows.EncodeHead(entry.Version)
	if err != nil {
		return nil, err
	}
	editValue, err := rows.EncodeEdit(rows.Edit{ID: editID, Time: e.Clock.Now(), Entry: entry})
	if err != nil {
		return nil, err
	}
	return []table.Write{
		{Name: rows.EntryName(entry.Name), Version: row.Version, Value: entryValue},
		{Name: rows.HeadName, Version: head.Version, Value: headValue},
		{Name: rows.HistoryName(entry.Version), Value: editValue},
	}, nil
}

// resolve returns the entry that the edit with the given ID made at lostVersion. It
// returns err if the history shows no such edit, or the error of reading the history.
func (e *Editor) resolve(ctx context.Context, lostVersion uint64, editID string, err error) (catlg.Entry, error) {
	row, readErr := e.getRow(ctx, rows.HistoryName(lostVersion))
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
	if edit.ID != editID {
		return catlg.Entry{}, err
	}
	return edit.Entry, nil
}

// getRow reads a row. A row that does not exist has version 0.
func (e *Editor) getRow(ctx context.Context, name string) (table.Row, error) {
	e.Stats.Count("table.reads")
	row, err := e.Table.Get(ctx, name)
	if errors.Is(err, table.ErrNotFound) {
		return table.Row{Name: name}, nil
	}
	return row, err
}

// backOff waits before another attempt. It returns false if ctx ends first.
func backOff(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryPause + mathrand.N(retryPause)):
		return true
	}
}
