package recall

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

// fakeTable is the record of one node's target.
type fakeTable struct {
	mu       sync.Mutex
	record   *targ.Incarnation
	failures int      // calls to come that fail
	changes  []string // IDs written, and "" for each time the record was erased
}

// fail reports whether a call fails. f.mu must be held.
func (f *fakeTable) fail() error {
	if f.failures > 0 {
		f.failures--
		return errors.New("table is down")
	}
	return nil
}

func (f *fakeTable) keeper() *Keeper {
	return &Keeper{
		Read: func(context.Context) (targ.Incarnation, bool, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if err := f.fail(); err != nil || f.record == nil {
				return targ.Incarnation{}, false, err
			}
			return *f.record, true, nil
		},
		Write: func(_ context.Context, inc targ.Incarnation) error { return f.change(&inc, inc.ID) },
		Erase: func(context.Context) error { return f.change(nil, "") },
		Event: func(string, ...any) {},
	}
}

func (f *fakeTable) change(record *targ.Incarnation, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fail(); err != nil {
		return err
	}
	f.record, f.changes = record, append(f.changes, id)
	return nil
}

var (
	first   = targ.Incarnation{ID: "a", Born: 1}
	second  = targ.Incarnation{ID: "a", Born: 2}
	leaving = targ.Incarnation{ID: "a", Born: 1, Leaving: true}
	large   = targ.Incarnation{ID: "a", Born: 1, Capacity: rsrc.Vector{CPU: 2}}
	small   = targ.Incarnation{ID: "a", Born: 1, Capacity: rsrc.Vector{CPU: 1}}
)

func TestKeeper(t *testing.T) {
	for _, tt := range []struct {
		name     string
		record   *targ.Incarnation // before
		failures int
		early    bool // the heartbeats arrive before the record can be read
		observe  []targ.Incarnation
		forget   bool
		recalled int
		changes  []string
	}{
		{name: "nothing known"},
		{name: "no record", observe: []targ.Incarnation{first}, changes: []string{"a"}},
		{name: "recalled and confirmed", record: &first, observe: []targ.Incarnation{first, first}, recalled: 1},
		{name: "recalled, target has restarted", record: &first, observe: []targ.Incarnation{second}, recalled: 1, changes: []string{"a"}},
		{name: "recalled, target leaves", record: &first, observe: []targ.Incarnation{first, leaving}, recalled: 1, changes: []string{""}},
		{name: "recalled, target has left", record: &first, forget: true, recalled: 1, changes: []string{""}},
		{name: "recalled, target has shrunk", record: &large, observe: []targ.Incarnation{large, small}, recalled: 1, changes: []string{"a"}},
		{name: "table fails first", record: &first, failures: 3, recalled: 1},
		{name: "heartbeat before the record", record: &first, failures: 3, early: true, observe: []targ.Incarnation{first}, changes: []string{"a"}},
		{name: "leaving before the record", record: &first, failures: 3, early: true, observe: []targ.Incarnation{leaving}, changes: []string{""}},
		{name: "gone before the record", record: &first, failures: 3, early: true, forget: true, changes: []string{""}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeTable{record: tt.record, failures: tt.failures}
				k := f.keeper()
				ctx, cancel := context.WithCancel(context.Background())
				recalled := 0
				if !tt.early {
					go k.Run(ctx, func(targ.Incarnation) { recalled++ })
					time.Sleep(10 * time.Second)
				}
				for _, inc := range tt.observe {
					k.Observe(inc)
					time.Sleep(time.Millisecond)
				}
				if tt.forget {
					k.Forget()
				}
				if tt.early {
					go k.Run(ctx, func(targ.Incarnation) { recalled++ })
				}
				time.Sleep(10 * time.Second)
				cancel()
				synctest.Wait()
				if recalled != tt.recalled || !slices.Equal(f.changes, tt.changes) {
					t.Errorf("recalled %d times, want %d; changes %q, want %q", recalled, tt.recalled, f.changes, tt.changes)
				}
			})
		})
	}
}

// TestHeartbeatDuringRead lets the target leave while the record is being read. The
// record must not be used any more.
func TestHeartbeatDuringRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{record: &first}
		k := f.keeper()
		read := k.Read
		k.Read = func(ctx context.Context) (targ.Incarnation, bool, error) {
			k.Forget()
			return read(ctx)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go k.Run(ctx, func(targ.Incarnation) { t.Error("a target that has left was recalled") })
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if f.record != nil {
			t.Error("the record was not erased")
		}
	})
}
