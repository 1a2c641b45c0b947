package gate

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
)

// A target that goes down without a run was not taken down by a task. Its gate notices that
// late, at a time of its own, so an event of many targets would look like many events.
func TestIdleTargetIsNotReportedAsCrashed(t *testing.T) {
	for _, idle := range []bool{true, false} {
		f := newFakeTarget(1000)
		f.stallRuns = true
		inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
			if !idle {
				o.begin(o.task("a", 10))
			}
			f.update(func(f *fakeTarget) { f.down = true })
			time.Sleep(2 * idlePollInterval)
			want := cause.Silent
			if !idle {
				want = cause.TargetCrashed
			}
			if got := o.sync().BlockedReason; got != want {
				t.Errorf("idle %v: got %q, want %q", idle, got, want)
			}
		})
	}
}
