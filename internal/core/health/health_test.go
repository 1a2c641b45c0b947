package health

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

func TestSilenceIsSuspectedAfterPatience(t *testing.T) {
	var w Detector
	now := time.UnixMilli(1_700_000_000_000)
	ref := roster.Ref{ID: "a", Inc: 1}
	if w.Suspects(ref, now) || w.Unanswered(ref, now) {
		t.Error("suspected at the first silence")
	}
	if w.Unanswered(ref, now.Add(Patience-1)) {
		t.Error("suspected too early")
	}
	if !w.Unanswered(ref, now.Add(Patience)) || !w.Suspects(ref, now.Add(Patience)) {
		t.Error("not suspected after Patience")
	}
	w.Answered(ref, now.Add(Patience))
	if w.Suspects(ref, now.Add(2*Patience-1)) {
		t.Error("suspected after an answer")
	}
	w.KeepOnly(nil)
	if w.Suspects(ref, now.Add(time.Hour)) {
		t.Error("suspected though it is no longer probed")
	}
}
