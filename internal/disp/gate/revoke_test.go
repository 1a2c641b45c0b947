package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/revoke"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// runner is the sender of the revocations in the tests. The methods of openGate act as another
// entry.
var runner = msgs.Sender{Entry: "f", Incarnation: 1, GateIncarnation: 7}

// revokeNow revokes a job for runner, and reports whether a task of it may still run.
func (o *openGate) revokeNow(job string) bool {
	o.t.Helper()
	m := msgs.Revoke{Sender: runner, Jobs: []string{"another", job}}
	m.EchoedTimestamp = o.Revoke(m).Timestamp
	reply := o.Revoke(m)
	if !reply.Applied {
		o.t.Errorf("got %+v", reply)
	}
	return slices.Contains(reply.Running, job)
}

// A task of an entry that did not answer ran on beside the same task of the entry that had got the
// job meanwhile.
func TestRevokedJobEndsAtTheGate(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		replies := o.begin(o.task("a", 10))
		kept := o.task("b", 10)
		other := o.begin(kept)
		for o.revokeNow("a") {
			if !f.isRunning("a") && len(replies) > 0 {
				t.Error("the task is said to run")
			}
			time.Sleep(time.Millisecond)
		}
		if f.isRunning("a") {
			t.Error("the task is said to have ended while it runs")
		}
		if reply := <-replies; reply.Result != msgs.Lost || reply.Reason != cause.Revoked {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
		if len(other) > 0 {
			t.Error("a task of another job was ended")
		}
		o.sync(kept.ID)
	})
}

// A task of a revoked job that arrives later was started. Those of the entry that runs the job must
// be.
func TestTasksOfRevokedJobAreRefused(t *testing.T) {
	f := newFakeTarget(1000)
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		if o.revokeNow("a") {
			t.Error("a task runs that nobody has sent")
		}
		if reply := o.take(o.task("a", 10)); reply.Result != msgs.Refused || reply.Reason != cause.Revoked {
			t.Errorf("got %v %q", reply.Result, reply.Reason)
		}
		if reply := o.take(o.task("b", 10)); reply.Result != msgs.Done {
			t.Errorf("another job: got %v %q", reply.Result, reply.Reason)
		}
		mine := o.task("a", 10)
		mine.Entry = runner.Entry
		if reply := o.take(mine); reply.Result != msgs.Done {
			t.Errorf("the entry that has the job: got %v %q", reply.Result, reply.Reason)
		}
		time.Sleep(revoke.Retention)
		if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
			t.Errorf("later: got %v %q", reply.Result, reply.Reason)
		}
	})
}

// A revocation that is read long after it was sent ended the run of a later submission.
func TestLateRevocationEndsNothing(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		late := msgs.Revoke{Sender: runner, Jobs: []string{"a"}}
		late.EchoedTimestamp = int64(o.now())
		time.Sleep(EntryLease)
		m := o.task("a", 10)
		replies := o.begin(m)
		if reply := o.Revoke(late); reply.Applied || reply.Timestamp == 0 || reply.Incarnation != 7 {
			t.Errorf("got %+v", reply)
		}
		late.EchoedTimestamp, late.GateIncarnation = int64(o.now()), 6
		if reply := o.Revoke(late); reply.Applied {
			t.Errorf("meant for another incarnation: got %+v", reply)
		}
		time.Sleep(200 * time.Millisecond)
		if len(replies) > 0 || !f.isRunning("a") {
			t.Error("the task was ended")
		}
		o.sync(m.ID)
	})
}

// A gate that was just started said that no task of a job runs, when its predecessor's still ran.
func TestGateThatWasJustStartedMayHaveTasks(t *testing.T) {
	f := newFakeTarget(1000)
	f.unresponsive = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		if !o.revokeNow("a") {
			t.Error("nothing is said to run before the target was asked")
		}
		time.Sleep(MaxOrphanTime)
		if o.revokeNow("a") {
			t.Error("a task is said to run when all leases have lapsed")
		}
	})
}

// A gate that serves calls before Run has begun has asked its target nothing.
func TestGateThatDoesNotRunYetMayHaveTasks(t *testing.T) {
	o := &openGate{Gate: &Gate{IncarnationID: 7}, t: t}
	if !o.revokeNow("a") {
		t.Error("nothing is said to run before the target was asked")
	}
}

// A run that an earlier process of the gate has started is stopped as unknown, and runs until then.
func TestUnknownRunOfRevokedJobRuns(t *testing.T) {
	f := newFakeTarget(1000)
	f.dropStops = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.runUnknown(10_000)
		time.Sleep(2 * idlePollInterval)
		if !o.revokeNow("a") || o.revokeNow("aa") {
			t.Error("the run is not known as one of the job")
		}
		f.update(func(f *fakeTarget) { f.dropStops = false })
		time.Sleep(time.Second)
		if o.revokeNow("a") {
			t.Error("the run is said to go on")
		}
	})
}

// runUnknown lets a run of task a.0.0.0 of an earlier gate go on, under a lease of the given
// duration in ms.
func (f *fakeTarget) runUnknown(leaseMS int64) {
	f.update(func(f *fakeTarget) {
		f.stallRuns = true
		f.until = f.clock() + leaseMS
		f.runs["a.0.0.0"] = fakeRun{number: 9, startedAt: time.Now(), endsAt: time.Now().Add(time.Hour)}
	})
}

// An unknown run at a target that does not answer any more kept a revocation waiting for ever,
// though the run had ended with its lease.
func TestUnknownRunAtSilentTargetEndsWithItsLease(t *testing.T) {
	f := newFakeTarget(1000)
	f.dropStops = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.runUnknown(10_000)
		time.Sleep(2 * idlePollInterval)
		if !o.revokeNow("a") {
			t.Error("the run is not known as one of the job")
		}
		f.update(func(f *fakeTarget) { f.unresponsive, f.until = true, f.clock()+1000 })
		time.Sleep(3 * MaxOrphanTime)
		if f.isRunning("a.0.0.0") {
			t.Error("the run goes on")
		}
		if o.revokeNow("a") {
			t.Error("a task is said to run when all leases have lapsed")
		}
	})
}

// The lease of a target that was suspended with its gate stands still meanwhile. A gate that had
// just been started counted that time, and said that the runs of its predecessor had ended.
func TestSuspensionDoesNotEndUnknownRuns(t *testing.T) {
	f := newFakeTarget(1000)
	f.unresponsive = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.runUnknown(400)
		o.suspended.Add(int64(2 * MaxOrphanTime))
		if running := o.revokeNow("a"); !running && f.isRunning("a.0.0.0") {
			t.Error("the run is said to have ended while it goes on")
		}
		time.Sleep(MaxOrphanTime)
		if o.revokeNow("a") {
			t.Error("a task is said to run when all leases have lapsed")
		}
	})
}
