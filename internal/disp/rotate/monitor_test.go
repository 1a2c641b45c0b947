package rotate

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

const (
	resubmitDelay = 1300 * time.Millisecond
	overdue       = checkInterval + checkTolerance
)

// newMonitor returns a monitor and a function that lets time pass for it.
func newMonitor() (*Monitor, func(time.Duration)) {
	now := boot.Time(time.Hour)
	m := &Monitor{ResubmitDelay: resubmitDelay, Now: func() boot.Time { return now }}
	return m, func(d time.Duration) { now = now.Add(d) }
}

// mustBe reports an error if the entry of m counts as in rotation, or not, contrary to want.
func mustBe(t *testing.T, m *Monitor, wantOut bool, when string) {
	t.Helper()
	if out := m.Out(); out != wantOut {
		t.Errorf("%s: out of rotation is %v, want %v", when, out, wantOut)
	}
}

// An entry that the balancer did not check any more counted as in rotation for as long as it
// ran jobs, though its callers were elsewhere.
func TestUncheckedEntryIsOutBeforeItsCallersCanBeElsewhere(t *testing.T) {
	m, pass := newMonitor()
	m.Observe()
	if until := m.untilDue(); until != overdue || until >= resubmitDelay {
		t.Errorf("overdue after %v, want %v, which must be less than %v", until, overdue, resubmitDelay)
	}
	pass(overdue - 1)
	mustBe(t, m, false, "before the check is overdue")
	pass(1)
	mustBe(t, m, true, "when the check is overdue")
}

// Callers that lost their connection during a partition submit their jobs again for some time
// after it.
func TestEntryThatReturnsStaysOutWhileItsCallersMayArriveElsewhere(t *testing.T) {
	m, pass := newMonitor()
	m.Observe()
	pass(5 * time.Second)
	for range 2 {
		m.Observe()
		mustBe(t, m, true, "just after the return")
		pass(resubmitDelay / 2)
	}
	m.Observe()
	mustBe(t, m, true, "within the resubmit delay")
	pass(checkTolerance)
	mustBe(t, m, false, "after the resubmit delay")
}

// Rolling stops delayed the jobs of all other entries, which asked the entries that were being
// stopped: these fail the checks, but lose no callers without a sign of it.
func TestEntryThatFailsChecksIsNotOut(t *testing.T) {
	m, pass := newMonitor()
	for range 5 {
		m.Observe()
		pass(checkInterval)
		mustBe(t, m, false, "while it is checked")
	}
}

// An entry that was restarted takes over the rotation of the process before, and was not out
// though it was cut off before its first check.
func TestEntryIsOutIfItIsNotCheckedSinceItBegan(t *testing.T) {
	m, pass := newMonitor()
	mustBe(t, m, false, "before it begins")
	pass(time.Minute)
	m.Begin()
	pass(overdue - 1)
	mustBe(t, m, false, "before the first check is overdue")
	pass(1)
	mustBe(t, m, true, "when the first check is overdue")
}
