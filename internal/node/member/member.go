package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/health"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
)

const (
	maxPollWait         = time.Second            // longest time that an entry may keep a poll open
	initialFetchTimeout = 2 * time.Second        // longest wait for the first answer of an entry
	pollReplyMargin     = 500 * time.Millisecond // added to the wait for the reply to arrive
	pollRetryPause      = 100 * time.Millisecond // before the next poll after a failed one
	changeInterval      = 300 * time.Millisecond // between two requests to change the roster, at least
	changeTimeout       = time.Second
	maxIncarnation      = 1 << 53 // exclusive; every smaller number is exact in JSON
)

// Member maintains the membership of one node. All exported fields must be set before
// Init.
type Member struct {
	ID         string
	Addr       string   // at which other processes reach the node
	Domain     string   // failure domain
	EntryAddrs []string // of the entries of the region
	Clock      *clock.Clock
	View       *view.View
	Pool       *peer.Pool
	Stats      *stats.Set
	Log        logs.Logger
	// ServiceAndSlots returns the service of the node's target and the number of its
	// slots for new tasks.
	ServiceAndSlots func() (string, int)
	// StartIncarnation is called when a new incarnation of the node starts.
	StartIncarnation func(ref roster.Ref)
	// UpdateRoster is called with the newest known roster after each poll, also if it
	// has not changed.
	UpdateRoster func(r roster.Roster)
	// ConfirmRoster is called when an entry confirms that the roster is the newest one.
	ConfirmRoster func()

	detector health.Detector

	mu         sync.Mutex
	ref        roster.Ref // present incarnation
	inRoster   bool       // the newest roster applied has ref
	leaving    bool       // Leave has been called
	entryIndex int        // of the entry in use, modulo the number of entries
}

// Init selects an entry and starts the first incarnation. It must be called before
// Run.
func (m *Member) Init() {
	m.entryIndex = rand.IntN(len(m.EntryAddrs))
	m.startIncarnation()
}

// Run joins the roster, follows it and probes other nodes until ctx ends.
func (m *Member) Run(ctx context.Context) {
	m.fetchInitial(ctx)
	go m.pollLoop(ctx)
	go m.probeLoop(ctx)
	m.joinLoop(ctx)
}

// fetchInitial asks the entries in turn for the time and the newest state until one
// answers, for at most initialFetchTimeout.
func (m *Member) fetchInitial(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, initialFetchTimeout)
	defer cancel()
	for ctx.Err() == nil && m.poll(ctx, 0) != nil {
		m.nextEntry()
		sleep(ctx, pollRetryPause)
	}
}

// Ref returns the present incarnation.
func (m *Member) Ref() roster.Ref {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ref
}

// pollLoop polls an entry for newer state until ctx ends. After a failure it changes
// to the next entry.
func (m *Member) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.poll(ctx, maxPollWait); err != nil {
			m.Stats.CountRetry("poll")
			m.nextEntry()
			sleep(ctx, pollRetryPause)
		}
	}
}

// poll asks the entry in use for newer state once. It is a long poll: the entry
// replies when it has newer state, after maxWait at the latest.
func (m *Member) poll(ctx context.Context, maxWait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait+pollReplyMargin)
	defer cancel()
	args := &msgs.Watch{
		Epoch:            m.View.Roster().Epoch(),
		CatalogueVersion: m.View.Catalogue().Version(),
		MaxWait:          maxWait.Milliseconds(),
	}
	var reply msgs.WatchReply
	if err := m.Pool.Call(ctx, m.entryAddr(), "Entry.Watch", args, &reply); err != nil {
		return err
	}
	m.applyWatchReply(&reply)
	return nil
}

// applyWatchReply adjusts the clock, and applies the newer state of an entry.
func (m *Member) applyWatchReply(reply *msgs.WatchReply) {
	m.Clock.Adjust(msgs.Time(reply.Time))
	if reply.RosterConfirmed && reply.Epoch <= max(reply.Roster.Epoch(), m.View.Roster().Epoch()) {
		defer m.ConfirmRoster()
	}
	m.View.Apply(reply)
	m.applyRoster()
}

// applyRoster passes the newest roster to UpdateRoster. If this incarnation has been
// removed from it and the node is not leaving, applyRoster starts a new incarnation.
func (m *Member) applyRoster() {
	r := m.View.Roster()
	m.UpdateRoster(r)
	ref := m.Ref()
	_, inRoster := r.Find(ref)
	m.mu.Lock()
	removed := m.inRoster && !inRoster && !m.leaving
	m.inRoster = inRoster
	m.mu.Unlock()
	if removed {
		m.Log.Event("removed", "epoch", r.Epoch())
		m.Stats.Count("removed")
		m.startIncarnation()
		m.UpdateRoster(r)
	}
	m.detector.KeepOnly(r.Successors(ref.ID, health.ProbersPerNode))
}

// startIncarnation starts a new incarnation with a random number.
func (m *Member) startIncarnation() {
	ref := roster.Ref{ID: m.ID, Inc: 1 + rand.Uint64N(maxIncarnation-1)}
	m.mu.Lock()
	m.ref = ref
	m.inRoster = false
	m.mu.Unlock()
	m.StartIncarnation(ref)
	m.Log.Event("incarnation", "inc", ref.Inc)
}

// joinLoop requests a change whenever the roster's data of this node differ from its
// present ones, until ctx ends.
func (m *Member) joinLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if change, due := m.pendingChange(); due {
			m.RequestChange(ctx, change)
		}
		changed := m.View.Changed()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(changeInterval + rand.N(changeInterval)):
		}
	}
}

// pendingChange returns the change of the roster that the node has to request. It
// returns false if there is none.
func (m *Member) pendingChange() (roster.Change, bool) {
	service, slots := m.ServiceAndSlots()
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := roster.Node{Ref: m.ref, Addr: m.Addr, Domain: m.Domain, Service: service, Slots: slots}
	current, ok := m.View.Roster().Find(m.ref)
	wanted.Leaving = current.Leaving
	if wanted.Service == "" {
		wanted.Service = current.Service
	}
	if m.leaving || ok && current == wanted {
		return roster.Change{}, false
	}
	return roster.Change{Kind: roster.Join, Node: wanted}, true
}

// RequestChange asks an entry to change the roster, and reports whether the entry
// accepted the request. Only a newer roster shows whether the change was made.
func (m *Member) RequestChange(ctx context.Context, c roster.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	args := &msgs.RosterChange{Kind: int(c.Kind), Node: c.Node}
	if err := m.Pool.Call(ctx, m.entryAddr(), "Entry.Change", args, &msgs.Empty{}); err != nil {
		m.Stats.CountRetry("change")
		m.nextEntry()
		return false
	}
	return true
}

func (m *Member) entryAddr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.EntryAddrs[m.entryIndex%len(m.EntryAddrs)]
}

func (m *Member) nextEntry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entryIndex++
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
