package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/rows"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/table"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
)

const (
	tablePause = 500 * time.Millisecond // between two looks at the table
	greetWait  = 2 * time.Second        // longest wait before anything is served
	pollWait   = time.Second            // longest wait of one poll of a peer
	pollMargin = 500 * time.Millisecond // for the reply to arrive
	pollPause  = 500 * time.Millisecond // after a failed poll
)

// Follower fetches what is newer. All exported fields must be set before Run.
type Follower struct {
	Region    string
	PeerAddrs []string
	Table     *table.Client
	Clock     *clock.Clock
	View      *view.View
	Pool      *peer.Pool
	Stats     *stats.Set
	Log       logs.Logger

	down    bool   // the table failed last time
	version uint64 // of the roster's row last read
	head    uint64 // version of the catalogue's head row last read
}

// Greet asks the table and all peers for the time and the newest state before
// anything is served. It waits for greetWait at most.
func (f *Follower) FetchInitial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, greetWait)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.readTable(ctx) })
	for _, addr := range f.PeerAddrs {
		wg.Go(func() { _ = f.poll(ctx, addr, 0) })
	}
	wg.Wait()
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for _, addr := range f.PeerAddrs {
		go f.followPeer(ctx, addr)
	}
	ticker := time.NewTicker(tablePause)
	defer ticker.Stop()
	for {
		f.note(f.readTable(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readTable takes what the table has newer than the view.
func (f *Follower) readTable(ctx context.Context) error {
	if err := f.ReadRoster(ctx); err != nil {
		return err
	}
	return f.ReadCatalogue(ctx)
}

// ReadRoster takes the roster's row if it is newer, and confirms the view.
func (f *Follower) ReadRoster(ctx context.Context) error {
	asked := time.Now()
	f.Stats.Count("table.reads")
	row, newer, err := f.Table.GetIfChanged(ctx, rows.RosterName(f.Region), f.version)
	if errors.Is(err, table.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if newer {
		r, err := rows.DecodeRoster(row.Value)
		if err != nil {
			return err
		}
		f.View.UpdateRoster(r)
		f.version = row.Version
	}
	f.View.ConfirmRoster(f.Clock.Now().Add(-time.Since(asked)))
	return nil
}

// ReadCatalogue takes the entries' rows if the head row's version is newer.
func (f *Follower) ReadCatalogue(ctx context.Context) error {
	f.Stats.Count("table.reads")
	row, newer, err := f.Table.GetIfChanged(ctx, rows.HeadName, f.head)
	if errors.Is(err, table.ErrNotFound) || err == nil && !newer {
		return nil
	}
	if err != nil {
		return err
	}
	version, err := rows.DecodeHead(row.Value)
	if err != nil {
		return err
	}
	f.Stats.Count("table.reads")
	list, err := f.Table.List(ctx, rows.EntryPrefix)
	if err != nil {
		return err
	}
	f.View.UpdateCatalogue(version, f.entries(list))
	f.head = row.Version
	return nil
}

// entries reads the rows of entries and passes over malformed ones.
func (f *Follower) entries(list []table.Row) []catlg.Entry {
	entries := make([]catlg.Entry, 0, len(list))
	for _, row := range list {
		e, err := rows.DecodeEntry(row.Value)
		if err != nil {
			f.Stats.CountRefusal("malformedrow")
			f.Log.Event("malformed-row", "row", row.Name, "err", err)
			continue
		}
		entries = append(entries, e)
	}
	return entries
}

func (f *Follower) followPeer(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		if f.poll(ctx, addr, pollWait) == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollPause):
		}
	}
}

// poll asks a peer for newer state once, and waits for it for the given time.
func (f *Follower) poll(ctx context.Context, addr string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	args := &msgs.Watch{
		Epoch:            f.View.Roster().Epoch(),
		CatalogueVersion: f.View.Catalogue().Version(),
		MaxWait:          wait.Milliseconds(),
	}
	var news msgs.WatchReply
	if err := f.Pool.Call(ctx, addr, "Entry.Watch", args, &news); err != nil {
		return err
	}
	f.Clock.Adjust(msgs.Time(news.Time))
	f.View.Apply(&news)
	return nil
}

// note logs when the table goes down and when it is back.
func (f *Follower) note(err error) {
	if err != nil {
		f.Stats.Count("table.failed")
	}
	if down := err != nil; down != f.down {
		f.down = down
		if down {
			f.Log.Event("table-down", "err", err)
			return
		}
		f.Log.Event("table-up")
	}
}
