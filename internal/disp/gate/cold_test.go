package gate

import (
	"testing"
	"time"
)

// Guards against a target that is taken for slow because it warms up: the gate tells for how
// long, and what it has learnt counts little from the moment at which the target turns warm.
func TestColdTargetIsReported(t *testing.T) {
	f := newFakeTarget(1000)
	var events []string
	g := &Gate{Event: func(event string, _ ...any) {
		if event == "target_cold" || event == "target_warm" {
			events = append(events, event)
		}
	}}
	inVirtualTime(t, f, g, func(t *testing.T, o *openGate) {
		if l := o.sync(); l.ColdFor != 0 {
			t.Errorf("warm: got %d ms", l.ColdFor)
		}
		inc := f.incarnation
		inc.ColdUntil = o.now().Add(time.Second)
		o.HandleHeartbeat(inc)
		if l := o.sync(); l.ColdFor != 1000 {
			t.Errorf("cold: got %d ms", l.ColdFor)
		}
		for range 20 {
			o.speed.Observe(100, 400*time.Millisecond)
		}
		time.Sleep(1001 * time.Millisecond)
		if l := o.sync(); l.ColdFor != 0 || l.Speed > 0.5 {
			t.Errorf("warm again: got %d ms and speed %v", l.ColdFor, l.Speed)
		}
		for range 5 {
			o.speed.Observe(100, 100*time.Millisecond)
		}
		if l := o.sync(); l.Speed < 0.7 {
			t.Errorf("got speed %v after five runs", l.Speed)
		}
		if len(events) != 2 {
			t.Errorf("got events %v", events)
		}
	})
}
