package roll

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/rows"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/table"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
)

const (
	batchTime   = 200 * time.Millisecond // time for which changes are collected for one write
	retryPause  = 50 * time.Millisecond  // before another attempt; extended by a random part of up to 100 %
	maxAttempts = 8
	maxQueued   = 4096 // largest number of queued changes
)

// ErrQueueFull means that the queue of changes is full.
var ErrQueueFull = merry.Sentinel("too many roster changes are queued")

// Writer writes the roster of one region. All exported fields must be set
// before Run.
type Writer struct {
	Region string
	Shards int // number of shards of the region's first roster
	Table  *table.Client
	View   *view.View
	Stats  *stats.Set
	Log    logs.Logger

	changes chan roster.Change
}

// Init makes the writer ready for use. It must be called before QueueChange and Run.
func (w *Writer) Init() { w.changes = make(chan roster.Change, maxQueued) }

// QueueChange queues a change. It returns ErrQueueFull if too many are queued. A nil
// error does not mean that the change will be made; only a newer roster shows that.
func (w *Writer) QueueChange(c roster.Change) error {
	select {
	case w.changes <- c:
		return nil
	default:
		return ErrQueueFull
	}
}

// Run writes queued changes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		batch := w.nextBatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err := w.writeBatch(ctx, batch); err != nil {
			w.Stats.Count("roster.failed")
		}
	}
}

// nextBatch waits for a change and returns it with those that follow within batchTime.
func (w *Writer) nextBatch(ctx context.Context) []roster.Change {
	var batch []roster.Change
	select {
	case c := <-w.changes:
		batch = append(batch, c)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(batchTime)
	defer timer.Stop()
	for {
		select {
		case c := <-w.changes:
			batch = append(batch, c)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// writeBatch writes the changes. After a conflict or a lost reply it reads the row
// again and retries. It returns table.ErrUnavailable at once if the table is unavailable.
func (w *Writer) writeBatch(ctx context.Context, batch []roster.Change) error {
	var err error
	for range maxAttempts {
		err = w.tryWrite(ctx, batch)
		if err == nil || errors.Is(err, table.ErrUnavailable) {
			return err
		}
		w.Stats.CountRetry("roster")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryPause + rand.N(retryPause)):
		}
	}
	return err
}

// tryWrite reads the roster, applies the changes, and writes the result if it differs.
func (w *Writer) tryWrite(ctx context.Context, batch []roster.Change) error {
	current, version, err := w.readRoster(ctx)
	if err != nil {
		return err
	}
	w.View.UpdateRoster(current)
	next := current.With(batch...)
	if next.Epoch() == current.Epoch() {
		return nil
	}
	value, err := rows.EncodeRoster(next)
	if err != nil {
		return err
	}
	w.Stats.Count("table.writes")
	if err := w.Table.Commit(ctx, table.Write{Name: rows.RosterName(w.Region), Version: version, Value: value}); err != nil {
		return err
	}
	w.View.UpdateRoster(next)
	w.Log.Event("roster", "epoch", next.Epoch(), "nodes", len(next.Nodes()), "changes", len(batch))
	return nil
}

// readRoster returns the roster in the table and the version of its row. If there is no
// row, it returns the region's first roster and version 0.
func (w *Writer) readRoster(ctx context.Context) (roster.Roster, uint64, error) {
	w.Stats.Count("table.reads")
	row, err := w.Table.Get(ctx, rows.RosterName(w.Region))
	if errors.Is(err, table.ErrNotFound) {
		return roster.New(w.Shards), 0, nil
	}
	if err != nil {
		return roster.Roster{}, 0, err
	}
	r, err := rows.DecodeRoster(row.Value)
	return r, row.Version, err
}
