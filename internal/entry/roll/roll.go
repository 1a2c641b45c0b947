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
	gatherTime = 200 * time.Millisecond // changes of this time go into one write
	retryPause = 50 * time.Millisecond  // before another try, doubled by chance
	maxTries   = 8
	maxWaiting = 4096 // changes that may wait
)

// ErrBusy reports that too many changes wait.
var ErrQueueFull = merry.Sentinel("too many roster changes wait")

// Writer writes the roster of one region. All exported fields must be set
// before Run.
type Writer struct {
	Region string
	Shards int // of a roster that is made anew
	Table  *table.Client
	View   *view.View
	Stats  *stats.Set
	Log    logs.Logger

	changes chan roster.Change
}

// Open makes the writer ready for Change.
func (w *Writer) Init() { w.changes = make(chan roster.Change, maxWaiting) }

// Change queues a change. It returns ErrBusy if too many wait; else the roster
// shows in time whether the change was made.
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
		batch := w.gather(ctx)
		if ctx.Err() != nil {
			return
		}
		if err := w.write(ctx, batch); err != nil {
			w.Stats.Count("roster.failed")
		}
	}
}

// gather waits for a change and returns it with those that follow it closely.
func (w *Writer) gather(ctx context.Context) []roster.Change {
	var batch []roster.Change
	select {
	case c := <-w.changes:
		batch = append(batch, c)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(gatherTime)
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

// write makes the changes, reading the row anew after each conflict or lost
// reply.
func (w *Writer) write(ctx context.Context, batch []roster.Change) error {
	var err error
	for range maxTries {
		err = w.try(ctx, batch)
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

func (w *Writer) try(ctx context.Context, batch []roster.Change) error {
	have, version, err := w.read(ctx)
	if err != nil {
		return err
	}
	w.View.UpdateRoster(have)
	next := have.With(batch...)
	if next.Epoch() == have.Epoch() {
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

// read returns the roster's row, or the first roster if there is none.
func (w *Writer) read(ctx context.Context) (roster.Roster, uint64, error) {
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
