package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A target that deregisters goes on until it has the acknowledgement, and for seconds if
// that gets lost. The gate must not report a task as over while it runs there, and the order
// to stop it has not been carried out yet when the gate could first report that.
func TestGateKeepsRunOfDeregisteredTarget(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.holdStops = make(chan struct{})
		replies := o.begin(o.task("a", 10))
		go o.HandleDeregistration(f.incarnation.ID)
		synctest.Wait()
		if len(replies) > 0 {
			t.Error("the task is reported as over before the order to stop it was carried out")
		}
		close(f.holdStops)
		reply := <-replies
		if n := f.running(); n > 0 {
			t.Errorf("got %v %q while the task runs", reply.Result, reply.Reason)
		}
		if reply.Result != msgs.Lost {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
		if reply := o.take(o.task("b", 10)); reply.Result != msgs.Refused {
			t.Errorf("after the deregistration: got %v %q", reply.Result, reply.Reason)
		}
	})
}

// The deregistration of a target whose runs do not end is acknowledged nevertheless, and
// they are given up with their lease.
func TestGateAcknowledgesDeregistrationOfSilentTarget(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		replies := o.begin(o.task("a", 10))
		f.update(func(f *fakeTarget) { f.unresponsive = true })
		began := time.Now()
		o.HandleDeregistration(f.incarnation.ID)
		if took := time.Since(began); took > departTimeout+tickInterval {
			t.Errorf("acknowledged after %v", took)
		}
		reply := <-replies
		if n := f.running(); n > 0 {
			t.Errorf("got %v %q while the task runs", reply.Result, reply.Reason)
		}
	})
}

// A target that has said that it leaves, and then ends, has not crashed.
func TestTargetThatLeavesHasNotCrashed(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		replies := o.begin(o.task("a", 10))
		o.announceLeave()
		time.Sleep(2 * time.Second)
		f.restartAs("i-2", 2) // its address answers as another
		if reply := <-replies; reply.Result != msgs.Lost || reply.Reason != cause.Departed {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
	})
}

// A start that another incarnation has rejected has not started, so no target has crashed
// under it.
func TestStartRejectedByAnotherIncarnationIsRefused(t *testing.T) {
	f := newFakeTarget(1000)
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.restartAs("i-2", 2)
		if reply := o.take(o.task("a", 10)); reply.Result != msgs.Refused {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
	})
}

// A deregistration of the incarnation before, with the same ID, may arrive late. The target
// must be used again once it says that it does not leave.
func TestDelayedDeregistrationDoesNotTakeTargetOutForGood(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns, f.dropStops = true, true
	f.incarnation.Seq = 1
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		o.begin(o.task("a", 10))
		o.HandleDeregistration(f.incarnation.ID)
		f.update(func(f *fakeTarget) { f.dropStops, f.stallRuns = false, false })
		next := f.incarnation
		next.Seq = 2
		o.HandleHeartbeat(next)
		time.Sleep(time.Second)
		if reply := o.take(o.task("b", 10)); reply.Result != msgs.Done {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
	})
}
