package rotate

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	checkInterval = time.Second // between the load balancer's checks, which the platform sets
	// checkTolerance is how late a check may be. Callers that have lost their connection
	// arrive elsewhere after the resubmit delay, 1.3 s or more: the other entries must have
	// been told, or the jobs given up, by then.
	checkTolerance = 150 * time.Millisecond
	maxCheckAge    = checkInterval + checkTolerance // from which a check is overdue
)

// Monitor tells from the load balancer's checks whether its entry is out of rotation. Set the
// exported fields before use. An entry that has not begun counts as in rotation. It is safe
// for concurrent use.
type Monitor struct {
	// ResubmitDelay is the delay after which callers whose connection was lost submit their
	// job again. For as long the entry counts as out of rotation after it has returned.
	ResubmitDelay time.Duration
	// Now returns the present time; nil means boot.Now.
	Now func() boot.Time
	// Event logs when the entry leaves the rotation or returns; nil discards it.
	Event func(event string, pairs ...any)

	mu        sync.Mutex
	lastCheck boot.Time // the latest one, or when the entry began; 0 before
	outUntil  boot.Time // until when callers that were lost may arrive elsewhere
	wasOut    bool      // as last logged
}

// Begin records that the entry begins to accept callers. The balancer may send them before its
// first check, by its checks of a previous process or since too few entries are in rotation.
func (m *Monitor) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastCheck = max(m.lastCheck, m.now())
}

// Observe records a check that is being answered, whether the entry passes it or not: an entry
// that is being stopped fails the checks, and keeps its callers.
func (m *Monitor) Observe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.logChange(now)
	if m.overdue(now) {
		m.outUntil = now.Add(m.ResubmitDelay + checkTolerance)
	}
	m.lastCheck = now
}

// Out reports whether callers may have lost their connections without a sign of it at the
// entry, and submit their jobs to other entries although the entry runs them: the balancer's
// check is overdue, or was not long ago.
func (m *Monitor) Out() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.logChange(now)
	return m.out(now)
}

// LastCheck returns when the balancer last checked the entry, or when the entry began; 0 before.
func (m *Monitor) LastCheck() boot.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastCheck
}

// Await waits until the check is overdue, for d at most, or until ctx ends.
func (m *Monitor) Await(ctx context.Context, d time.Duration) {
	boot.Sleep(ctx, min(d, m.untilDue()))
}

// untilDue returns the time until the next check is overdue. It is the longest duration
// if it is overdue already or the entry has not begun.
func (m *Monitor) untilDue() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := m.now(); m.lastCheck != 0 && !m.overdue(now) {
		return m.lastCheck.Add(maxCheckAge).Sub(now)
	}
	return math.MaxInt64
}

// out is Out at now. The caller holds mu.
func (m *Monitor) out(now boot.Time) bool { return m.overdue(now) || now < m.outUntil }

// overdue reports whether the latest check is overdue, so that the entry may have been
// partitioned from the balancer. The caller holds mu.
func (m *Monitor) overdue(now boot.Time) bool {
	return m.lastCheck != 0 && now.Sub(m.lastCheck) >= maxCheckAge
}

// logChange logs whether the entry is out of rotation if that has changed. The caller holds mu.
func (m *Monitor) logChange(now boot.Time) {
	out := m.out(now)
	if out == m.wasOut {
		return
	}
	m.wasOut = out
	if m.Event != nil {
		m.Event("rotation", "out", out, "checked", now.Sub(m.lastCheck))
	}
}

func (m *Monitor) now() boot.Time {
	if m.Now != nil {
		return m.Now()
	}
	return boot.Now()
}
