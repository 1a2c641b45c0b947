package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// order sends an order of domain z in a Sync call of the entry.
func (o *openGate) order(version int64, evacuated bool) msgs.Load {
	s := msgs.Sender{Entry: "e", Incarnation: 1, GateIncarnation: 7}
	return o.Sync(msgs.Sync{Sender: s, Order: msgs.Order{Domain: "z", Version: version, Evacuated: evacuated}})
}

// expectRefusal checks that the reply is a refusal for the given reason.
func expectRefusal(t *testing.T, reply msgs.TaskReply, reason string) {
	t.Helper()
	if reply.Result != msgs.Refused || reply.Reason != reason {
		t.Errorf("got %v %q, want a refusal with %q", reply.Result, reply.Reason, reason)
	}
}

// Guards against starts in an evacuated domain, and against work that is lost for nothing: the
// queue is returned at once, the task that runs completes, no other one is taken until the
// domain is taken back, and an older order changes nothing.
func TestEvacuatedGateStartsNothing(t *testing.T) {
	f := newFakeTarget(1000)
	f.slowRuns = true
	inVirtualTime(t, f, &Gate{Domain: "z"}, func(t *testing.T, o *openGate) {
		running := o.begin(o.task("runs", 1000))
		queued := o.begin(o.task("waits", 1000))
		if l := o.order(5, true); l.BlockedReason != cause.Evacuated || l.Domain != "z" {
			t.Errorf("got %+v", l)
		}
		if synctest.Wait(); len(queued) == 0 {
			t.Error("the queue is not returned at once")
		}
		expectRefusal(t, <-queued, cause.Evacuated)
		expectRefusal(t, o.take(o.task("late", 10)), cause.Evacuated)
		o.order(4, false)
		expectRefusal(t, o.take(o.task("later", 10)), cause.Evacuated)
		if reply := <-running; reply.Result != msgs.Done {
			t.Errorf("the run: got %v %q", reply.Result, reply.Reason)
		}
		o.order(6, false)
		if reply := o.take(o.task("again", 10)); reply.Result != msgs.Done {
			t.Errorf("after it was taken back: got %v %q", reply.Result, reply.Reason)
		}
	})
}

// Guards against a gate that, restarted, starts the first task of an informed entry: the
// task carries the order. A message for another incarnation informs the gate as well.
func TestRestartedGateLearnsOrderBeforeItStarts(t *testing.T) {
	f := newFakeTarget(1000)
	inVirtualTime(t, f, &Gate{Domain: "z"}, func(t *testing.T, o *openGate) {
		m := o.task("a", 10)
		m.Order = msgs.Order{Domain: "z", Version: 5, Evacuated: true}
		expectRefusal(t, o.take(m), cause.Evacuated)
		expectRefusal(t, o.take(o.task("of an uninformed entry", 10)), cause.Evacuated)
	})
	inVirtualTime(t, newFakeTarget(1000), &Gate{Domain: "z"}, func(t *testing.T, o *openGate) {
		o.Sync(msgs.Sync{Sender: msgs.Sender{Entry: "e", GateIncarnation: 6}, Order: msgs.Order{Domain: "z", Version: 5, Evacuated: true}})
		expectRefusal(t, o.take(o.task("b", 10)), cause.Evacuated)
	})
}

// Guards against an order that has effect on another domain, also if its version is higher,
// and against a target that is taken for one of the node's domain.
func TestOrderOfAnotherDomainHasNoEffect(t *testing.T) {
	f := newFakeTarget(1000)
	f.incarnation.Domain = "y"
	inVirtualTime(t, f, &Gate{Domain: "z"}, func(t *testing.T, o *openGate) {
		o.order(9, true)
		if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
		o.Sync(msgs.Sync{Order: msgs.Order{Domain: "y", Version: 5, Evacuated: true}})
		expectRefusal(t, o.take(o.task("b", 10)), cause.Evacuated)
	})
}

// Guards against a queue that starts when a heartbeat shows that the target belongs to an
// evacuated domain.
func TestHeartbeatOfEvacuatedDomainEmptiesQueue(t *testing.T) {
	f := newFakeTarget(1000)
	f.slowRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		o.order(5, true)
		running := o.begin(o.task("runs", 1000))
		queued := o.begin(o.task("waits", 1000))
		inc := f.incarnation
		inc.Domain = "z"
		o.HandleHeartbeat(inc)
		expectRefusal(t, <-queued, cause.Evacuated)
		if reply := <-running; reply.Result != msgs.Done {
			t.Errorf("the run: got %v %q", reply.Result, reply.Reason)
		}
	})
}

// Guards against a start in doubt that is ordered once more after the evacuation. The run is
// over, and not refused while it may run, when the entry learns of its end.
func TestStartInDoubtIsNotRepeatedInEvacuatedDomain(t *testing.T) {
	f := newFakeTarget(1000)
	inVirtualTime(t, f, &Gate{Domain: "z"}, func(t *testing.T, o *openGate) {
		f.update(func(f *fakeTarget) { f.dropStarts = 1 })
		replies := make(chan msgs.TaskReply, 1)
		go func() { replies <- o.take(o.task("a", 10)) }()
		time.Sleep(time.Millisecond)
		o.order(5, true)
		reply := <-replies
		if reply.Result != msgs.Refused || f.isRunning("a") {
			t.Errorf("got %v %q, running %v", reply.Result, reply.Reason, f.isRunning("a"))
		}
	})
}

// Guards against refusals that change their reason: a target that leaves, and a gate that
// stops, refuse for that, whether their domain is evacuated or not.
func TestEvacuationBesidesDeparture(t *testing.T) {
	f := newFakeTarget(1000)
	inVirtualTime(t, f, &Gate{Domain: "z"}, func(t *testing.T, o *openGate) {
		o.order(5, true)
		leaving := f.incarnation
		leaving.Leaving = true
		o.HandleHeartbeat(leaving)
		expectRefusal(t, o.take(o.task("a", 10)), cause.Leaving)
		o.order(6, false)
		expectRefusal(t, o.take(o.task("b", 10)), cause.Leaving)
		o.Drain(t.Context())
		o.order(7, true)
		expectRefusal(t, o.take(o.task("c", 10)), cause.Stopping)
	})
}

// Guards against a target that replaces another one, of another domain, and is used or
// refused by the order of that one.
func TestReplacedTargetHasItsOwnDomain(t *testing.T) {
	f := newFakeTarget(1000)
	f.incarnation.Domain = "y"
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		o.order(5, true)
		next := targ.Incarnation{ID: "i-2", Born: 2, Addr: "127.0.0.1:2", Service: "s", Capacity: rsrc.Vector{CPU: 1000, Memory: 1000}, Domain: "z"}
		f.update(func(f *fakeTarget) { f.incarnation = next })
		o.HandleHeartbeat(next)
		expectRefusal(t, o.take(o.task("a", 10)), cause.Evacuated)
	})
}
