package recall

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

const (
	minPause = 100 * time.Millisecond // after a failed call to the table
	maxPause = 5 * time.Second
)

// Keeper keeps the record of a node's target in the platform's table. Set the exported
// fields before use. It is safe for concurrent use.
type Keeper struct {
	// Read returns the record, and false if there is none.
	Read func(context.Context) (targ.Incarnation, bool, error)
	// Write replaces the record.
	Write func(context.Context, targ.Incarnation) error
	// Erase removes the record; it does nothing without one.
	Erase func(context.Context) error
	// Event logs a change of state.
	Event func(event string, pairs ...any)

	mu       sync.Mutex
	observed bool             // Observe or Forget was called
	known    bool             // there is a target to record
	current  targ.Incarnation // valid if known
	waker    boot.Waker       // wakes Run
}

// Observe processes a heartbeat of the target.
func (k *Keeper) Observe(inc targ.Incarnation) { k.set(inc, !inc.Leaving) }

// Forget records that the target has left.
func (k *Keeper) Forget() { k.set(targ.Incarnation{}, false) }

// Run passes the record to use, unless there is none or a heartbeat arrives before it
// can be read. Then it keeps the record up to date until ctx ends.
func (k *Keeper) Run(ctx context.Context, use func(targ.Incarnation)) {
	recorded, exists := k.recall(ctx, use)
	backoff := boot.Backoff{Min: minPause, Max: maxPause}
	for ctx.Err() == nil {
		current, known, due := k.next(recorded, exists)
		if !due {
			k.waker.Await(ctx, maxPause)
			continue
		}
		if err := k.store(ctx, current, known); err != nil {
			k.Event("record_failed", "target", current.ID, "err", err)
			boot.Sleep(ctx, spread(backoff.Next()))
			continue
		}
		recorded, exists = current, known
		backoff.Reset()
	}
}

// recall reads the record, repeatedly if that fails, until a heartbeat arrives. It
// passes it to use and returns it. It reports false if there is certainly no record.
func (k *Keeper) recall(ctx context.Context, use func(targ.Incarnation)) (inc targ.Incarnation, mayExist bool) {
	backoff := boot.Backoff{Min: minPause, Max: maxPause}
	for ctx.Err() == nil && !k.hasObserved() {
		inc, found, err := k.Read(ctx)
		if err == nil {
			if found && !k.hasObserved() {
				use(inc)
			}
			return inc, found
		}
		k.Event("recall_failed", "err", err)
		k.waker.Await(ctx, spread(backoff.Next()))
	}
	return targ.Incarnation{}, true
}

// next returns the target to record and whether there is one, and whether the record
// differs from that. Nothing is due before the first heartbeat.
func (k *Keeper) next(recorded targ.Incarnation, exists bool) (current targ.Incarnation, known, due bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.observed {
		return targ.Incarnation{}, false, false
	}
	return k.current, k.known, k.known != exists || k.known && differs(k.current, recorded)
}

// differs reports whether the record of a target is out of date. The capacity counts: a
// recalled target must not be given more than it has.
func differs(current, recorded targ.Incarnation) bool {
	return !current.Same(recorded) || current.Capacity != recorded.Capacity
}

// store writes the record of the target, or erases it if the target is not known.
func (k *Keeper) store(ctx context.Context, current targ.Incarnation, known bool) error {
	if known {
		return k.Write(ctx, current)
	}
	return k.Erase(ctx)
}

func (k *Keeper) set(inc targ.Incarnation, known bool) {
	k.mu.Lock()
	k.observed, k.current, k.known = true, inc, known
	k.mu.Unlock()
	k.waker.Wake()
}

func (k *Keeper) hasObserved() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.observed
}

// spread returns d and a random time of up to the same length, so that nodes that
// failed together do not call again together.
func spread(d time.Duration) time.Duration { return d + rand.N(d) }
