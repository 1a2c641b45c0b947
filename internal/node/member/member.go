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
	maxPollWait         = time.Second            // longest wait of one poll
	initialFetchTimeout = 2 * time.Second        // longest wait for an entry's clock
	pollReplyMargin     = 500 * time.Millisecond // for the reply to arrive
	pollRetryPause      = 100 * time.Millisecond // after a failed poll
	changeInterval      = 300 * time.Millisecond // between two wishes to change the roster
	changeTimeout       = time.Second
	maxIncarnation      = 1 << 53 // fits a JSON number
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

	detector health.Detector

	mu         sync.Mutex
	ref        roster.Ref
	inRoster   bool
	leaving    bool
	entryIndex int // index of the entry in use
}

// Begin starts the first incarnation. It must be called before Run.
func (m *Member) Init() {
	m.entryIndex = rand.IntN(len(m.EntryAddrs))
	m.startIncarnation()
}

// Run follows the roster until ctx ends.
func (m *Member) Run(ctx context.Context) {
	m.fetchInitial(ctx)
	go m.pollLoop(ctx)
	go m.probeLoop(ctx)
	m.joinLoop(ctx)
}

// greet asks the entries for the time and the newest state until one answers,
// for firstWait at most.
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

// pollLoop asks an entry for newer state, over and over.
func (m *Member) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.poll(ctx, maxPollWait); err != nil {
			m.Stats.Retried("poll")
			m.nextEntry()
			sleep(ctx, pollRetryPause)
		}
	}
}

// poll asks for newer state once, and waits for it for the given time.
func (m *Member) poll(ctx context.Context, maxWait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait+pollReplyMargin)
	defer cancel()
	args := &msgs.Watch{
		Epoch:   m.View.Roster().Epoch(),
		Catalog: m.View.Catalogue().Version(),
		Wait:    maxWait.Milliseconds(),
	}
	var news msgs.News
	if err := m.Pool.Call(ctx, m.entryAddr(), "Entry.Watch", args, &news); err != nil {
		return err
	}
	m.applyNews(&news)
	return nil
}

func (m *Member) applyNews(news *msgs.News) {
	m.Clock.Adjust(msgs.Time(news.Time))
	if news.Fresh && news.Epoch <= max(news.Roster.Epoch(), m.View.Roster().Epoch()) {
		defer m.ConfirmRoster()
	}
	m.View.Take(news)
	m.applyRoster()
}

// follow brings the node in line with the newest roster.
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

func (m *Member) startIncarnation() {
	ref := roster.Ref{ID: m.ID, Inc: 1 + rand.Uint64N(maxIncarnation-1)}
	m.mu.Lock()
	m.ref = ref
	m.inRoster = false
	m.mu.Unlock()
	m.StartIncarnation(ref)
	m.Log.Event("incarnation", "inc", ref.Inc)
}

// joinLoop keeps the roster's row of this node right.
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

// due returns the change that the node wants of the roster, if any.
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

// Change asks an entry to change the roster, and reports whether it was taken.
func (m *Member) RequestChange(ctx context.Context, c roster.Change) bool {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	args := &msgs.Member{Kind: int(c.Kind), Node: c.Node}
	if err := m.Pool.Call(ctx, m.entryAddr(), "Entry.Change", args, &msgs.Empty{}); err != nil {
		m.Stats.Retried("change")
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
