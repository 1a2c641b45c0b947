package cancel

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

func ExampleLog() {
	var l Log
	now := boot.Time(time.Hour)
	l.Add("a", now)
	fmt.Println(l.Has("a", now), l.Has("b", now), l.Has("a", now.Add(Retention)))
	// Output: true false false
}

// A client may cancel without end: what is remembered stays bounded, and the newest are kept.
func TestLogIsBounded(t *testing.T) {
	var l Log
	now := boot.Time(time.Hour)
	for i := range 3 * maxJobs {
		l.Add(fmt.Sprint(i), now)
	}
	if len(l.expiries) > maxJobs || len(l.order) > maxJobs {
		t.Errorf("%d jobs, %d in order", len(l.expiries), len(l.order))
	}
	if !l.Has(fmt.Sprint(3*maxJobs-1), now) {
		t.Error("the newest is forgotten")
	}
	l.Add("later", now.Add(Retention))
	if len(l.expiries) != 1 {
		t.Errorf("%d jobs are remembered after Retention", len(l.expiries))
	}
}

// A job that is cancelled again is remembered from then on.
func TestCancellationIsExtended(t *testing.T) {
	var l Log
	now := boot.Time(time.Hour)
	l.Add("a", now)
	l.Add("b", now)
	l.Add("a", now.Add(Retention/2))
	l.Add("c", now.Add(Retention))
	if !l.Has("a", now.Add(Retention)) || l.Has("b", now.Add(Retention)) {
		t.Error("the extended cancellation is forgotten, or the other one kept")
	}
}
