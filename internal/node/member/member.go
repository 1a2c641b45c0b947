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
	pollWait    = time.Second            // longest wait of one poll
	firstWait   = 2 * time.Second        // longest wait for an entry's clock
	pollMargin  = 500 * time.Millisecond // for the reply to arrive
	pollPause   = 100 * time.Millisecond // after a failed poll
	joinPause   = 300 * time.Millisecond // between two wishes to change the roster
	callTimeout = time.Second
	maxInc      = 1 << 53 // fits a JSON number
)

// Member is one node's membership. All exported fields must be set before Run.
type Member struct {
	ID         string
	Addr       string
	Domain     string
	EntryAddrs []string
	Clock      *clock.Clock
	View       *view.View
	Pool       *peer.Pool
	Stats      *stats.Set
	Log        logs.Logger
	// Service returns the service at the node's target and its slots.
	ServiceAndSlots func() (string, int)
	// Renew begins a new incarnation of the node.
	StartIncarnation func(ref roster.Ref)
	// Update is called with each newer roster.
	UpdateRoster func(r roster.Roster)
	// Confirm is called when an entry confirms that the roster is the newest.
	ConfirmRoster func()

	watch health.Detector

	mu      sync.Mutex
	ref     roster.Ref
	listed  bool
	leaving bool
	entry   int // index of the entry in use
}

// Begin starts the first incarnation. It must be called before Run.
func (m *Member) Init() {
	m.entry = rand.IntN(len(m.EntryAddrs))
	m.renew()
}

// Run follows the roster until ctx ends.
func (m *Member) Run(ctx context.Context) {
	m.greet(ctx)
	go m.pollLoop(ctx)
	go m.probeLoop(ctx)
	m.joinLoop(ctx)
}

// greet asks the entries for the time and the newest state until one answers,
// for firstWait at most.
func (m *Member) greet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstWait)
	defer cancel()
	for ctx.Err() == nil && m.poll(ctx, 0) != nil {
		m.nextEntry()
		sleep(ctx, pollPause)
	}
}

// Ref returns the present incarnation.
func (m *Member) Ref() roster.Ref {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ref
}

// pollLoop asks an entry for newer state, over and over.
func (m *Member) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.poll(ctx, pollWait); err != nil {
			m.Stats.CountRetry("poll")
			m.nextEntry()
			sleep(ctx, pollPause)
		}
	}
}

// poll asks for newer state once, and waits for it for the given time.
func (m *Member) poll(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	args := &msgs.Watch{
		Epoch:            m.View.Roster().Epoch(),
		CatalogueVersion: m.View.Catalogue().Version(),
		MaxWait:          wait.Milliseconds(),
	}
	var news msgs.WatchReply
	if err := m.Pool.Call(ctx, m.entryAddr(), "Entry.Watch", args, &news); err != nil {
		return err
	}
	m.take(&news)
	return nil
}

func (m *Member) take(news *msgs.WatchReply) {
	m.Clock.Adjust(msgs.Time(news.Time))
	if news.RosterConfirmed && news.Epoch <= max(news.Roster.Epoch(), m.View.Roster().Epoch()) {
		defer m.ConfirmRoster()
	}
	m.View.Apply(news)
	m.follow()
}

// follow brings the node in line with the newest roster.
func (m *Member) follow() {
	r := m.View.Roster()
	m.UpdateRoster(r)
	ref := m.Ref()
	_, ok := r.Find(ref)
	m.mu.Lock()
	removed := m.listed && !ok && !m.leaving
	m.listed = ok
	m.mu.Unlock()
	if removed {
		m.Log.Event("removed", "epoch", r.Epoch())
		m.Stats.Count("removed")
		m.renew()
		m.UpdateRoster(r)
	}
	m.watch.KeepOnly(r.Successors(ref.ID, health.ProbersPerNode))
}

func (m *Member) renew() {
	ref := roster.Ref{ID: m.ID, Inc: 1 + rand.Uint64N(maxInc-1)}
	m.mu.Lock()
	m.ref = ref
	m.listed = false
	m.mu.Unlock()
	m.StartIncarnation(ref)
	m.Log.Event("incarnation", "inc", ref.Inc)
}

// joinLoop keeps the roster's row of this node right.
func (m *Member) joinLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if change, due := m.due(); due {
			m.RequestChange(ctx, change)
		}
		changed := m.View.Changed()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(joinPause + rand.N(joinPause)):
		}
	}
}

// due returns the change that the node wants of the roster, if any.
func (m *Member) due() (roster.Change, bool) {
	service, slots := m.ServiceAndSlots()
	m.mu.Lock()
	defer m.mu.Unlock()
	want := roster.Node{Ref: m.ref, Addr: m.Addr, Domain: m.Domain, Service: service, Slots: slots}
	have, ok := m.View.Roster().Find(m.ref)
	want.Leaving = have.Leaving
	if want.Service == "" {
		want.Service = have.Service
	}
	if m.leaving || ok && have == want {
		return roster.Change{}, false
	}
	return roster.Change{Kind: roster.Join, Node: want}, true
}

// Change asks an entry to change the roster, and reports whether it was taken.
func (m *Member) RequestChange(ctx context.Context, c roster.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	return m.EntryAddrs[m.entry%len(m.EntryAddrs)]
}

func (m *Member) nextEntry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entry++
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
