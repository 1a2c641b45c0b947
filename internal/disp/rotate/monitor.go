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

// Monitor tells from the load balancer's checks whether its entry is in rotation. Set the
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
	lastCheck boot.Time  // the latest one, or when the entry began; 0 before
	hasPassed bool       // a check was passed
	failing   bool       // the latest check was failed, and an earlier one passed
	outUntil  boot.Time  // until when callers that were lost may arrive elsewhere
	wasOut    bool       // as last logged
	waker     boot.Waker // ends Await
}

// Begin records that the entry begins to accept callers. The balancer may send them before its
// first check, by its checks of a previous process or since too few entries are in rotation.
func (m *Monitor) Begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastCheck = max(m.lastCheck, m.now())
}

// Observe records a check that is being answered, and whether the entry passes it. To fail
// before any check was passed does not put an entry out of rotation, since it is not in it.
func (m *Monitor) Observe(passed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.logChange(now)
	m.hasPassed = m.hasPassed || passed
	failing := m.hasPassed && !passed
	if m.absent(now) || failing {
		m.outUntil = now.Add(m.ResubmitDelay + checkTolerance)
	}
	m.lastCheck, m.failing = now, failing
	if m.logChange(now) {
		m.waker.Wake()
	}
}

// Out reports whether the callers of the entry may submit their jobs to other entries
// although the entry runs them: the balancer has not checked it in time, it has failed the
// latest check, or this was so not long ago.
func (m *Monitor) Out() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.logChange(now)
	return m.out(now)
}

// MayHaveLostCallers reports whether callers may have lost their connections without a sign
// of it at the entry: the balancer's check is overdue, or was not long ago. An entry that
// merely fails the checks, since it is being stopped for instance, has not lost them.
func (m *Monitor) MayHaveLostCallers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	return m.overdue(now) || !m.failing && now < m.outUntil
}

// LastCheck returns when the balancer last checked the entry, or when the entry began; 0 before.
func (m *Monitor) LastCheck() boot.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastCheck
}

// Await waits until the entry leaves the rotation or the check is overdue, for d at most, or
// until ctx ends.
func (m *Monitor) Await(ctx context.Context, d time.Duration) {
	m.waker.Await(ctx, min(d, m.untilDue()))
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
func (m *Monitor) out(now boot.Time) bool { return m.absent(now) || now < m.outUntil }

// absent reports whether the balancer can't have seen the entry pass a check lately. The
// caller holds mu.
func (m *Monitor) absent(now boot.Time) bool { return m.failing || m.overdue(now) }

// overdue reports whether the latest check is overdue, so that the entry may have been
// partitioned from the balancer. The caller holds mu.
func (m *Monitor) overdue(now boot.Time) bool {
	return m.lastCheck != 0 && now.Sub(m.lastCheck) >= maxCheckAge
}

// logChange logs whether the entry is out of rotation if that has changed, and reports
// whether it has. The caller holds mu.
func (m *Monitor) logChange(now boot.Time) bool {
	out := m.out(now)
	if out == m.wasOut {
		return false
	}
	m.wasOut = out
	if m.Event != nil {
		m.Event("rotation", "out", out, "failing", m.failing, "checked", now.Sub(m.lastCheck))
	}
	return true
}

func (m *Monitor) now() boot.Time {
	if m.Now != nil {
		return m.Now()
	}
	return boot.Now()
}
