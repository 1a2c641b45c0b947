package health

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

func TestSilentNodeIsSuspectedAfterDelay(t *testing.T) {
	var w Detector
	now := time.UnixMilli(1_700_000_000_000)
	ref := roster.Ref{ID: "a", Inc: 1}
	if w.Suspects(ref, now) || w.Unanswered(ref, now) {
		t.Error("suspected after the first unanswered probe")
	}
	if w.Unanswered(ref, now.Add(SuspectAfter-1)) {
		t.Error("suspected before SuspectAfter has passed")
	}
	if !w.Unanswered(ref, now.Add(SuspectAfter)) || !w.Suspects(ref, now.Add(SuspectAfter)) {
		t.Error("not suspected after SuspectAfter")
	}
	w.Answered(ref, now.Add(SuspectAfter))
	if w.Suspects(ref, now.Add(2*SuspectAfter-1)) {
		t.Error("suspected less than SuspectAfter after an answer")
	}
	w.KeepOnly(nil)
	if w.Suspects(ref, now.Add(time.Hour)) {
		t.Error("suspected although its records were deleted")
	}
}
