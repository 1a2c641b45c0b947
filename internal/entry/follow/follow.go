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
	tablePollInterval   = 500 * time.Millisecond // between two reads of the table
	initialFetchTimeout = 2 * time.Second        // longest wait for the initial state
	maxPollWait         = time.Second            // longest time that a peer may keep a poll open
	pollReplyMargin     = 500 * time.Millisecond // added to the wait for the reply to arrive
	pollRetryPause      = 500 * time.Millisecond // before the next poll after a failed one
)

// Follower fetches newer rosters and catalogues for an entry's view. All exported
// fields must be set before use.
type Follower struct {
	Region    string
	PeerAddrs []string
	Table     *table.Client
	Clock     *clock.Clock
	View      *view.View
	Pool      *peer.Pool
	Stats     *stats.Set
	Log       logs.Logger

	tableDown        bool   // the last read of the table failed
	rosterRowVersion uint64 // version of the roster's row last read
	headRowVersion   uint64 // version of the catalogue's head row last read
}

// FetchInitial asks the table and all peers for the time and the newest state. It is
// called before the entry serves requests, and waits for at most initialFetchTimeout.
func (f *Follower) FetchInitial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialFetchTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { _ = f.readTable(ctx) })
	for _, addr := range f.PeerAddrs {
		wg.Go(func() { _ = f.poll(ctx, addr, 0) })
	}
	wg.Wait()
}

// Run polls the table and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for _, addr := range f.PeerAddrs {
		go f.pollLoop(ctx, addr)
	}
	ticker := time.NewTicker(tablePollInterval)
	defer ticker.Stop()
	for {
		f.logTableState(f.readTable(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readTable reads the roster and the catalogue from the table if they are newer than
// those read last.
func (f *Follower) readTable(ctx context.Context) error {
	if err := f.ReadRoster(ctx); err != nil {
		return err
	}
	return f.ReadCatalogue(ctx)
}

// ReadRoster reads the roster's row if it is newer than the one read last, and confirms
// the view's roster. It does nothing if the table has no roster yet.
func (f *Follower) ReadRoster(ctx context.Context) error {
	requestedAt := time.Now()
	f.Stats.Count("table.reads")
	row, newer, err := f.Table.GetIfChanged(ctx, rows.RosterName(f.Region), f.rosterRowVersion)
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
		f.rosterRowVersion = row.Version
	}
	f.View.ConfirmRoster(f.Clock.Now().Add(-time.Since(requestedAt)))
	return nil
}

// ReadCatalogue reads the rows of all catalogue entries if the head row is newer than
// the one read last. It does nothing if the table has no catalogue yet.
func (f *Follower) ReadCatalogue(ctx context.Context) error {
	f.Stats.Count("table.reads")
	row, newer, err := f.Table.GetIfChanged(ctx, rows.HeadName, f.headRowVersion)
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
	f.View.UpdateCatalogue(version, f.parseEntries(list))
	f.headRowVersion = row.Version
	return nil
}

// parseEntries parses the rows of catalogue entries. It logs and skips malformed ones.
func (f *Follower) parseEntries(list []table.Row) []catlg.Entry {
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

// pollLoop polls the peer at addr until ctx ends.
func (f *Follower) pollLoop(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		if f.poll(ctx, addr, maxPollWait) == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollRetryPause):
		}
	}
}

// poll asks a peer for newer state once. It is a long poll: the peer replies when it has
// newer state, after maxWait at the latest.
func (f *Follower) poll(ctx context.Context, addr string, maxWait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait+pollReplyMargin)
	defer cancel()
	args := &msgs.Watch{
		Epoch:            f.View.Roster().Epoch(),
		CatalogueVersion: f.View.Catalogue().Version(),
		MaxWait:          maxWait.Milliseconds(),
	}
	var reply msgs.WatchReply
	if err := f.Pool.Call(ctx, addr, "Entry.Watch", args, &reply); err != nil {
		return err
	}
	f.Clock.Adjust(msgs.Time(reply.Time))
	f.View.Apply(&reply)
	return nil
}

// logTableState logs when the table becomes unavailable and when it is available again,
// given the result of reading it.
func (f *Follower) logTableState(err error) {
	if err != nil {
		f.Stats.Count("table.failed")
	}
	if down := err != nil; down != f.tableDown {
		f.tableDown = down
		if down {
			f.Log.Event("table-down", "err", err)
			return
		}
		f.Log.Event("table-up")
	}
}
