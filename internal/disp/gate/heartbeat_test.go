package gate

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A delayed heartbeat of an earlier incarnation must not end the current one, which
// answers and has a run. That it was born earlier need not show.
func TestDelayedHeartbeatDoesNotEndAnsweringTarget(t *testing.T) {
	for name, born := range map[string]struct{ earlier, current int64 }{
		"the time of day was set back": {earlier: 1_000_000, current: 2},
		"the target does not say":      {earlier: 0, current: 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTarget(1000)
			f.incarnation.ID, f.incarnation.Born = "current", born.current
			f.stallRuns = true
			inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
				m := o.task("long", 10)
				replies := o.begin(m)
				earlier := f.incarnation
				earlier.ID, earlier.Born = "earlier", born.earlier
				o.HandleHeartbeat(earlier)
				time.Sleep(100 * time.Millisecond)
				select {
				case reply := <-replies:
					t.Errorf("got %v %q with %d runs at the target", reply.Result, reply.Reason, f.running())
				default:
				}
				o.sync(m.ID)
				time.Sleep(time.Second)
			})
		})
	}
}

// A target that restarted while the time of day was set back is followed, although it
// seems to be born earlier.
func TestRestartedTargetIsFollowedWhateverTheTimeOfDay(t *testing.T) {
	f := newFakeTarget(1000)
	f.incarnation.Born = 1_000_000
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.restartAs("i-2", 2)
		for range 3 { // heartbeats
			o.HandleHeartbeat(f.incarnation)
			time.Sleep(1500 * time.Millisecond)
		}
		if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
	})
}

// A target that restarts with runs is used again as soon as it answers, not only after its
// next heartbeat.
func TestSuccessorIsUsedOnceThePreviousTargetHasEnded(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		o.begin(o.task("long", 10))
		f.restartAs("i-2", 2)
		f.update(func(f *fakeTarget) { f.stallRuns = false })
		o.HandleHeartbeat(f.incarnation)
		time.Sleep(pollWait + pollTimeout)
		if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
	})
}

// A delayed heartbeat of the current incarnation must not bring back the capacity that the
// target had before it shrank.
func TestDelayedHeartbeatDoesNotBringCapacityBack(t *testing.T) {
	f := newFakeTarget(1000)
	f.incarnation.Seq = 1
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		shrunk := f.incarnation
		shrunk.Capacity.CPU, shrunk.Seq = 400, 3
		if !o.HandleHeartbeat(shrunk) {
			t.Error("the heartbeat of the shrunk target was ignored")
		}
		delayed := f.incarnation
		delayed.Seq = 2
		if o.HandleHeartbeat(delayed) {
			t.Error("the delayed heartbeat was accepted")
		}
		if got := o.sync().CPU; got != 400 {
			t.Errorf("capacity %d", got)
		}
		if reply := o.take(o.task("a", 500)); reply.Result != msgs.Refused {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
	})
}

// A target that replaces one that no longer answers is followed, even if it seems to be
// born earlier.
func TestSuccessorBornEarlierIsFollowedWhenTheTargetIsSilent(t *testing.T) {
	f := newFakeTarget(1000)
	f.incarnation.Born = 1_000_000
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.update(func(f *fakeTarget) { f.unresponsive = true })
		next := f.incarnation
		next.ID, next.Born = "i-2", 900_000
		for range 4 { // heartbeats
			time.Sleep(1500 * time.Millisecond)
			o.HandleHeartbeat(next)
		}
		if got := o.State().Incarnation.ID; got != "i-2" {
			t.Errorf("%s is used", got)
		}
	})
}
