package coord

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/triage"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A burst of long tasks fills the queues. Short jobs were refused since the whole queue counted as
// before them, though all gates let them pass.
func TestShortJobPassesLongBacklog(t *testing.T) {
	const longWork = 100 // core-milliseconds on a target of one core
	full := msgs.Load{Incarnation: 1, Service: "s", CPU: 1000, Memory: 1000, Speed: 1, UsedCPU: 1000, QueuedWork: longWork}
	backlog := triage.Backlog{}.With(500*time.Millisecond, longWork)
	for name, tt := range map[string]struct {
		backlog []int64
		want    string
	}{
		"a gate that tells what is urgent": {backlog[:], ""},
		"a gate of an older version":       {nil, cause.Overload},
	} {
		t.Run(name, func(t *testing.T) {
			full.Backlog = tt.backlog
			f := newGatesWithLoads(t, full, full)
			c, now := f.frozenCoordinator()
			j := newTestJob(1, 100)
			j.Arrived = *now
			e := newExecution(j)
			defer e.cancel()
			if a := c.admit(e); a.Reason != tt.want {
				t.Errorf("got %+v, want the reason %q", a, tt.want)
			}
		})
	}
}
