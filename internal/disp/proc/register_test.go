package proc

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
)

// register calls again after pauses that double up to the longest, and stops once a call
// has succeeded.
func TestRegisterPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var calls []time.Duration
		write := func(context.Context, memb.Member) error {
			calls = append(calls, time.Since(start))
			if len(calls) < 7 {
				return errors.New("table is down")
			}
			return nil
		}
		var events []string
		register(t.Context(), write, memb.Member{}, func(event string, _ ...any) { events = append(events, event) })
		want := []time.Duration{
			0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond,
			3 * time.Second, 5 * time.Second, 7 * time.Second,
		}
		if !slices.Equal(calls, want) {
			t.Errorf("called at %v, want %v", calls, want)
		}
		if n := len(events); n != 7 || events[5] != "register_failed" || events[6] != "registered" {
			t.Errorf("events %q", events)
		}
	})
}
