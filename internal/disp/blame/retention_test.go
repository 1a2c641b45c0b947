package blame

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Each submission of any job looks at all of its tasks while the log has a loss, so it must be empty
// again once losses are not remembered any more.
func TestLogIsEmptyAfterRetention(t *testing.T) {
	var l Log
	l.Add(loss(1, msgs.CrashProven), now)
	later := now.Add(2 * Retention)
	l.Verdict("j.0.0.0", later)
	if !l.Empty() {
		t.Error("the log keeps a loss of two Retentions ago")
	}
}

// A loss must not bring back those that are not remembered any more.
func TestLossDoesNotReviveForgottenOnes(t *testing.T) {
	var l Log
	l.Add(loss(1, msgs.CrashProven), now)
	other := loss(9, msgs.CrashSuspected)
	other.Task = "k.0.0.0"
	l.Add(other, now.Add(Retention)) // sweeps
	l.Add(loss(2, msgs.CrashProven), now.Add(Retention+time.Second/2))
	if got := l.Verdict("j.0.0.0", now.Add(Retention+time.Second/2)); got != Place {
		t.Errorf("got %v after one loss within Retention", got)
	}
}
