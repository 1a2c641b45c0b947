package gate

import (
	"testing"
	"time"
)

// A run whose stop orders all get lost ends in time nevertheless: the entry starts the
// task elsewhere MaxOrphanTime after the last timestamp that it has echoed.
func TestGateEndsRunOfSilentEntryWhoseStopsGetLost(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns, f.dropStops = true, true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		go o.takeUnrenewed(o.task("a", 10))
		time.Sleep(MaxOrphanTime)
		if n := f.running(); n > 0 {
			t.Errorf("the run goes on %v after the last word of its entry", MaxOrphanTime)
		}
		f.update(func(f *fakeTarget) { f.dropStops = false })
		time.Sleep(time.Second)
	})
}

// The same holds if the entry cancels the task, since its caller may have asked another.
func TestGateEndsCancelledRunWhoseStopsGetLost(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns, f.dropStops = true, true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		m := o.task("a", 10)
		go o.take(m)
		time.Sleep(100 * time.Millisecond)
		cancelled := time.Now()
		for time.Since(cancelled) < MaxOrphanTime {
			o.sync(m.ID)
			time.Sleep(50 * time.Millisecond)
		}
		if n := f.running(); n > 0 {
			t.Errorf("the run goes on %v after it was cancelled", MaxOrphanTime)
		}
		f.update(func(f *fakeTarget) { f.dropStops = false })
		time.Sleep(time.Second)
	})
}
