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
	// Local starts a task at the home's own gate.
	StartLocal func(args *msgs.Start, reply *msgs.StartReply)
	// LocalLoad returns the load of the home's own gate.
	LocalLoad func() slots.Load
	// Options bound the ledger.
	LedgerOptions ledger.Options
	// Domain is the failure domain of the node.
	Domain string

	picker  place.Picker
	limiter limit.Limiter
	running atomic.Int64

	mu    sync.Mutex
	life  *life
	epoch uint64 // of the newest roster taken in this life
}

// life is one incarnation of the home.
type life struct {
	ref    roster.Ref
	ledger *ledger.Ledger
}

// Renew begins a new incarnation with an empty ledger. Jobs in progress go on.
func (h *Home) StartIncarnation(ref roster.Ref) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life = &life{ref: ref, ledger: ledger.New(ref, h.LedgerOptions)}
	h.epoch = 0
	h.picker.SetLocal(ref, h.Domain, h.LocalLoad)
}

// Update takes a newer roster and fetches the shards that it brings. It ignores
// a roster that is not newer.
func (h *Home) UpdateRoster(r roster.Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Epoch() <= h.epoch {
		return
	}
	h.epoch = r.Epoch()
	l := h.life
	h.picker.Update(r)
	h.limiter.SetShare(limit.ShareOf(r, l.ref))
	for _, t := range l.ledger.Update(r, h.Clock.Now()) {
		go h.takeOver(l, t)
	}
}

// Confirm notes that the roster was the newest a moment ago.
func (h *Home) ConfirmRoster() { h.present().ledger.ConfirmRoster(h.Clock.Now()) }

// Expire forgets keys whose time has passed.
func (h *Home) Expire() { h.present().ledger.Expire(h.Clock.Now()) }

// Idle tells whether no job is in progress and every shard that moved away has
// been handed over.
func (h *Home) Idle() bool {
	return h.running.Load() == 0 && h.present().ledger.UnclaimedShards() == 0
}

// Jobs returns the number of jobs in progress.
func (h *Home) RunningJobs() int64 { return h.running.Load() }

// Records returns the number of keys held.
func (h *Home) RecordCount() int { return h.present().ledger.Len() }

func (h *Home) present() *life {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}
