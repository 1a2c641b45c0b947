package home

import (
	"sync"
	"sync/atomic"

	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/limit"
	"github.com/gypsumlanding/gypsumlanding/internal/core/place"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/core/slots"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
)

// Home runs the jobs of the shards it owns. All exported fields must be set
// before use.
type Home struct {
	Clock *clock.Clock
	View  *view.View
	Pool  *peer.Pool
	Stats *stats.Set
	Log   logs.Logger
	// StartLocal starts a task at the gate of the same node.
	StartLocal func(args *msgs.Start, reply *msgs.StartReply)
	// LocalLoad returns the load of the gate of the same node.
	LocalLoad func() slots.Load
	// LedgerOptions sets the limits of the ledger.
	LedgerOptions ledger.Options
	// Domain is the failure domain of the node.
	Domain string

	picker  place.Picker
	limiter limit.Limiter
	running atomic.Int64 // number of jobs in progress

	mu          sync.Mutex
	current     *incarnation
	rosterEpoch uint64 // of the newest roster that the present incarnation has applied
}

// incarnation is one incarnation of the home, with its own ledger.
type incarnation struct {
	ref    roster.Ref
	ledger *ledger.Ledger
}

// StartIncarnation starts a new incarnation with an empty ledger. Jobs in progress
// continue to run.
func (h *Home) StartIncarnation(ref roster.Ref) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = &incarnation{ref: ref, ledger: ledger.New(ref, h.LedgerOptions)}
	h.rosterEpoch = 0
	h.picker.SetLocal(ref, h.Domain, h.LocalLoad)
}

// UpdateRoster applies a newer roster and requests the shards that it assigns to
// the home. It ignores a roster that is not newer than the present one.
func (h *Home) UpdateRoster(r roster.Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Epoch() <= h.rosterEpoch {
		return
	}
	h.rosterEpoch = r.Epoch()
	inc := h.current
	h.picker.Update(r)
	h.limiter.SetShare(limit.ShareOf(r, inc.ref))
	for _, t := range inc.ledger.Update(r, h.Clock.Now()) {
		go h.takeOver(inc, t)
	}
}

// ConfirmRoster records that the roster is known to be the newest one now.
func (h *Home) ConfirmRoster() { h.currentIncarnation().ledger.ConfirmRoster(h.Clock.Now()) }

// Expire deletes the records of keys whose retention deadline has passed.
func (h *Home) Expire() { h.currentIncarnation().ledger.Expire(h.Clock.Now()) }

// Idle reports whether no job is in progress and every shard that moved away has
// been handed over.
func (h *Home) Idle() bool {
	return h.running.Load() == 0 && h.currentIncarnation().ledger.UnclaimedShards() == 0
}

// RunningJobs returns the number of jobs in progress.
func (h *Home) RunningJobs() int64 { return h.running.Load() }

// RecordCount returns the number of keys in the ledger.
func (h *Home) RecordCount() int { return h.currentIncarnation().ledger.Len() }

// currentIncarnation returns the present incarnation, or nil before the first.
func (h *Home) currentIncarnation() *incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}
