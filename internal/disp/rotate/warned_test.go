package rotate

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
)

// An entry whose answers were late by 100 ms ended its jobs, though the others knew that it was out.
func TestWordThatWasAnsweredCountsUntilTheNext(t *testing.T) {
	sent := boot.Time(time.Hour)
	var w Warned
	if w.Knows("a", sent) {
		t.Error("an entry knows of a word that it has not answered")
	}
	w.Record("a", sent, Echo{Incarnation: 1, Timestamp: 2, Received: sent.Add(400 * time.Millisecond)})
	w.Record("a", sent.Add(-time.Second), Echo{Incarnation: 1, Timestamp: 1, Received: sent.Add(-time.Second)})
	for after, want := range map[time.Duration]bool{RepeatInterval - 1: true, RepeatInterval: false} {
		if got := w.Knows("a", sent.Add(after)); got != want {
			t.Errorf("%v after the word: knows is %v", after, got)
		}
	}
	for after, want := range map[time.Duration]bool{maxEchoAge - 1: true, maxEchoAge: false} {
		e, ok := w.Echo("a", sent.Add(400*time.Millisecond+after))
		if ok != want || e.Timestamp != 2 {
			t.Errorf("%v after the answer: got %+v, %v", after, e, ok)
		}
	}
	w.Forget("a")
	if _, ok := w.Echo("a", sent); ok || w.Knows("a", sent) {
		t.Error("a forgotten entry is known")
	}
}
