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

// failFor lets the next n calls fail.
func (f *fakeTable) failFor(n int) {
	f.mu.Lock()
	f.failures = n
	f.mu.Unlock()
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

// TestKeeperPauses lets the table fail eight times in succession when the record is read,
// as often when it is written, and twice when it is written again.
func TestKeeperPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeTable{failures: 8}
		k := f.keeper()
		var failed []time.Time
		k.Event = func(string, ...any) { failed = append(failed, time.Now()) }
		ctx, cancel := context.WithCancel(t.Context())
		go k.Run(ctx, func(targ.Incarnation) {})
		time.Sleep(time.Minute)
		f.failFor(8)
		k.Observe(first)
		time.Sleep(time.Minute)
		f.failFor(2)
		k.Observe(second)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if len(failed) != 18 {
			t.Fatalf("%d failures, want 18", len(failed))
		}
		checkPauses(t, failed[:8])
		checkPauses(t, failed[8:16])
		checkPauses(t, failed[16:])
	})
}

// checkPauses checks that each pause between failed calls is at least the one that is due
// and less than twice that.
func checkPauses(t *testing.T, calls []time.Time) {
	t.Helper()
	for i, want := range []time.Duration{100, 200, 400, 800, 1600, 3200, 5000}[:len(calls)-1] {
		want *= time.Millisecond
		if got := calls[i+1].Sub(calls[i]); got < want || got >= 2*want {
			t.Errorf("pause %d of %v, want from %v to less than twice that", i, got, want)
		}
	}
}
