package gate

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A target that goes down without a run was not taken down by a task. Its gate notices that
// late, at a time of its own, so an event of many targets would look like many events.
func TestIdleTargetIsNotReportedAsCrashed(t *testing.T) {
	for _, idle := range []bool{true, false} {
		f := newFakeTarget(1000)
		f.stallRuns = true
		inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
			if !idle {
				o.begin(o.task("a", 10))
			}
			f.update(func(f *fakeTarget) { f.down = true })
			time.Sleep(2 * idlePollInterval)
			want := cause.Silent
			if !idle {
				want = cause.TargetCrashed
			}
			if got := o.sync().BlockedReason; got != want {
				t.Errorf("idle %v: got %q, want %q", idle, got, want)
			}
		})
	}
}

// A repeated start may be refused for the number of an earlier run of the task, so it proves
// no run that the target's crash could have ended.
func TestRepeatedStartOfAnOlderNumberIsNoCrashUnderTheTask(t *testing.T) {
	f := newFakeTarget(1000)
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		if reply := o.take(o.task("a", 10)); reply.Result != msgs.Done {
			t.Fatalf("got %v %q", reply.Result, reply.Reason)
		}
		f.update(func(f *fakeTarget) { f.dropStarts = 1 })
		replies := o.begin(o.task("a", 10))
		f.update(func(f *fakeTarget) { f.down = true })
		if got := <-replies; got.Result != msgs.Lost || got.Reason == cause.TargetCrashed || got.Crash != msgs.CrashSuspected {
			t.Errorf("got %v %q, crash %v, want a suspicion", got.Result, got.Reason, got.Crash)
		}
	})
}

// A target that goes down with a start that it has not answered did not crash under the task, as
// far as its gate can know. One that had answered did.
func TestStartInDoubtIsNoCrashUnderTheTask(t *testing.T) {
	for _, answered := range []bool{false, true} {
		f := newFakeTarget(1000)
		f.stallRuns = true
		inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
			if !answered {
				f.update(func(f *fakeTarget) { f.dropStarts = 2 })
			}
			replies := o.begin(o.task("a", 10))
			f.update(func(f *fakeTarget) { f.down = true })
			want, crash := cause.Unanswered, msgs.CrashSuspected
			if answered {
				want, crash = cause.TargetCrashed, msgs.CrashProven
			}
			if got := <-replies; got.Result != msgs.Lost || got.Reason != want || got.Crash != crash {
				t.Errorf("answered %v: got %v %q, crash %v, want lost %q, %v", answered, got.Result, got.Reason, got.Crash, want, crash)
			}
		})
	}
}

// A run may end, and its target crash before the listing with its end has arrived: it was not in
// progress when the target crashed.
func TestEndThatNobodyHasReadIsNoProvenCrash(t *testing.T) {
	f := newFakeTarget(1000)
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.update(func(f *fakeTarget) { f.pollDelay = 90 * time.Millisecond })
		m := o.task("a", 10)
		m.ExpectedRunTime = 20
		replies := o.begin(m)
		if f.running() > 0 {
			t.Fatal("the run has not ended")
		}
		f.update(func(f *fakeTarget) { f.down = true })
		if got := <-replies; got.Result != msgs.Lost || got.Crash != msgs.CrashSuspected {
			t.Errorf("got %v %q, crash %v, want a suspicion", got.Result, got.Reason, got.Crash)
		}
	})
}

// The longest time without a sign of a run for which its crash is proven stands in package start, and
// is that of a poll here. A change of either must not part them.
func TestRunIsUnseenForAPollAtMostBeforeAProvenCrash(t *testing.T) {
	const limit = pollWait + pollTimeout
	seenAt := boot.Time(time.Hour)
	s := start.State{}.Order(seenAt).Answer(seenAt, time.Hour)
	if got := s.Crash(seenAt.Add(limit)); got != msgs.CrashProven {
		t.Errorf("unseen for %v: got %v", limit, got)
	}
	if got := s.Crash(seenAt.Add(limit + 1)); got != msgs.CrashSuspected {
		t.Errorf("unseen for more than %v: got %v", limit, got)
	}
}

// What the loss of a run with its target proves depends on what shows that it was in progress.
func TestCrashIsProvenOnlyUnderARunInProgress(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(o *openGate, m msgs.Task)
		want  msgs.Crash
	}{
		{"in progress", func(*openGate, msgs.Task) {}, msgs.CrashProven},
		{"not seen for long", func(o *openGate, _ msgs.Task) {
			o.target.update(func(f *fakeTarget) { f.unresponsive = true })
			time.Sleep(300 * time.Millisecond)
		}, msgs.CrashSuspected},
		{"being stopped", func(o *openGate, m msgs.Task) {
			o.target.update(func(f *fakeTarget) { f.dropStops = true })
			o.sync(m.ID)
		}, msgs.CrashSuspected},
		{"leaving", func(o *openGate, _ msgs.Task) {
			o.announceLeave()
		}, msgs.NoCrash},
	} {
		f := newFakeTarget(1000)
		f.stallRuns = true
		inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
			m := o.task("a", 10)
			replies := o.begin(m)
			tc.spoil(o, m)
			f.update(func(f *fakeTarget) { f.down = true })
			if got := <-replies; got.Result != msgs.Lost || got.Crash != tc.want {
				t.Errorf("%s: got %v %q, crash %v, want %v", tc.name, got.Result, got.Reason, got.Crash, tc.want)
			}
		})
	}
}

// A target that has restarted under its ID has lost its runs. One whose start had no answer may
// never have been there.
func TestRestartProvesACrashOnlyUnderARunInProgress(t *testing.T) {
	for _, answered := range []bool{true, false} {
		f := newFakeTarget(1000)
		f.stallRuns = true
		inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
			want := msgs.CrashProven
			if !answered {
				f.update(func(f *fakeTarget) { f.dropStarts, f.dropStops = 2, true })
				want = msgs.CrashSuspected
			}
			replies := o.begin(o.task("a", 10))
			f.restartInPlace()
			f.update(func(f *fakeTarget) { f.dropStops = false })
			if got := <-replies; got.Result != msgs.Lost || got.Crash != want {
				t.Errorf("answered %v: got %v %q, crash %v, want %v", answered, got.Result, got.Reason, got.Crash, want)
			}
		})
	}
}

// A target that crashes, refuses a poll and then comes back under its ID was down when it refused the
// poll, not when an answer shows the restart.
func TestRestartIsDatedByTheRefusedPollBeforeIt(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		replies := o.begin(o.task("a", 10))
		f.update(func(f *fakeTarget) { f.down = true })
		time.Sleep(400 * time.Millisecond)
		f.restartInPlace()
		f.update(func(f *fakeTarget) { f.down = false })
		if got := <-replies; got.Result != msgs.Lost || got.Crash != msgs.CrashProven {
			t.Errorf("got %v %q, crash %v, want a proof", got.Result, got.Reason, got.Crash)
		}
	})
}

// An entry learns of the losses of all entries' tasks, and of each once.
func TestSyncTellsLossesOfAllEntries(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		replies := o.begin(o.task("a", 10))
		f.update(func(f *fakeTarget) { f.down = true })
		lost := <-replies
		other := msgs.Sync{Sender: msgs.Sender{Entry: "other", Incarnation: 5, GateIncarnation: 7}}
		got := o.Sync(other).Losses
		want := msgs.Loss{Number: 1, Task: "a", Crash: lost.Crash, Entry: "e", Incarnation: 1, ID: 1}
		if len(got) != 1 || got[0] != want {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		other.LossesSeen = got[0].Number
		if again := o.Sync(other).Losses; len(again) > 0 {
			t.Errorf("told again: %+v", again)
		}
		other.GateIncarnation = 6
		if restarted := o.Sync(other).Losses; len(restarted) != 1 {
			t.Errorf("an entry that knows the losses of another incarnation is told %+v", restarted)
		}
		time.Sleep(11 * time.Minute)
		if late := o.Sync(msgs.Sync{Sender: other.Sender}).Losses; len(late) > 0 {
			t.Errorf("told after eleven minutes: %+v", late)
		}
	})
}

// A target says that it leaves, ends with a run in progress, and comes back under its ID, as in a
// planned restart. Nothing has crashed under the task, as at a target that comes back under another.
func TestPlannedRestartUnderTheSameIDIsNoCrashUnderTheTask(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		replies := o.begin(o.task("a", 10))
		o.announceLeave()
		f.restartInPlace()
		if got := <-replies; got.Result != msgs.Lost || got.Crash != msgs.NoCrash {
			t.Errorf("got %v %q, crash %v, want none", got.Result, got.Reason, got.Crash)
		}
	})
}

// The same for a target that deregisters, whose runs its gate stops.
func TestRestartAfterDeregistrationIsNoCrashUnderTheTask(t *testing.T) {
	f := newFakeTarget(1000)
	f.stallRuns = true
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		replies := o.begin(o.task("a", 10))
		f.update(func(f *fakeTarget) { f.dropStops = true })
		go o.HandleDeregistration(f.incarnation.ID)
		time.Sleep(10 * time.Millisecond)
		f.restartInPlace()
		f.update(func(f *fakeTarget) { f.dropStops = false })
		if got := <-replies; got.Result != msgs.Lost || got.Crash != msgs.NoCrash {
			t.Errorf("got %v %q, crash %v, want none", got.Result, got.Reason, got.Crash)
		}
	})
}

// The answer to a repeated start does not show when the run has begun: the first order may have been
// carried out. So a run may have ended, unread, by the time that a run begun then would go on.
func TestRepeatedStartDoesNotDateTheRun(t *testing.T) {
	f := newFakeTarget(1000)
	f.runTime = 70 * time.Millisecond
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.update(func(f *fakeTarget) { f.loseStartReplies = 1 })
		m := o.task("a", 10)
		m.ExpectedRunTime = 70
		replies := make(chan msgs.TaskReply, 1)
		go func() { replies <- o.take(m) }()
		o.until("the repeated start is answered", func() bool { return o.hasStarted("a") })
		f.update(func(f *fakeTarget) { f.pollDelay = 90 * time.Millisecond })
		for f.running() > 0 {
			time.Sleep(time.Millisecond)
		}
		f.update(func(f *fakeTarget) { f.down = true })
		if got := <-replies; got.Result != msgs.Lost || got.Crash == msgs.CrashProven {
			t.Errorf("got %v %q, crash %v, though the run had ended", got.Result, got.Reason, got.Crash)
		}
	})
}

// The run time of a run whose first order was carried out, and whose repeated one was answered, is
// not known: it must not be learnt as that since the answer.
func TestRunTimeIsNotCountedFromARepeatedStart(t *testing.T) {
	f := newFakeTarget(1000)
	f.runTime = 100 * time.Millisecond
	inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
		f.update(func(f *fakeTarget) { f.loseStartReplies = 1 })
		got := o.take(o.task("a", 10))
		if got.Result != msgs.Done || got.RunTime != 0 && got.RunTime < 95 {
			t.Errorf("got %v after %d ms, want 100, or 0 for unknown", got.Result, got.RunTime)
		}
	})
}

// A listing that was asked for before the order may be read after it, and has an earlier run of the
// task with the same number: it does not show that the run which is ordered has begun. Nor does what
// was listed under a number that the target then refuses.
func TestListingOfAnEarlierRunIsNoCrashUnderTheTask(t *testing.T) {
	for _, tc := range []struct {
		name       string
		lose       func(f *fakeTarget)
		askedSince bool
	}{
		{"the order is lost", func(f *fakeTarget) { f.dropStarts = 1 }, false},
		{"its number is refused", func(f *fakeTarget) { f.startDelay = 10 * time.Millisecond }, false},
		{"its number is refused after a listing", func(f *fakeTarget) { f.startDelay = 10 * time.Millisecond }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakeTarget(1000)
			f.runTime = 60 * time.Millisecond
			inVirtualTime(t, f, &Gate{}, func(t *testing.T, o *openGate) {
				p := o.runWithPoll(o.task("a", 10))
				f.update(tc.lose)
				replies := make(chan msgs.TaskReply, 1)
				go func() { replies <- o.take(o.task("a", 10)) }()
				time.Sleep(5 * time.Millisecond)
				if tc.askedSince {
					p.sentAt = o.now()
				}
				o.list(p, targ.Running{Task: "a", Run: 1, Percent: 50})
				f.update(func(f *fakeTarget) { f.startDelay, f.dropStarts = 0, 1 }) // the next order is lost
				time.Sleep(10 * time.Millisecond)
				f.update(func(f *fakeTarget) { f.down = true })
				if got := <-replies; got.Result != msgs.Lost || got.Reason != cause.Unanswered || got.Crash != msgs.CrashSuspected {
					t.Errorf("got %v %q, crash %v, want a suspicion", got.Result, got.Reason, got.Crash)
				}
			})
		})
	}
}

// runWithPoll runs a task that takes longer than begin waits, and returns a poll that is sent meanwhile.
func (o *openGate) runWithPoll(m msgs.Task) poll {
	o.t.Helper()
	replies := o.begin(m)
	o.mu.Lock()
	p := o.newPoll(targ.Renewal{})
	o.mu.Unlock()
	if got := <-replies; got.Result != msgs.Done {
		o.t.Fatalf("got %v %q", got.Result, got.Reason)
	}
	return p
}

// list lets the gate read an answer to p that has these runs in progress, and no ends.
func (o *openGate) list(p poll, running ...targ.Running) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyListing(p, targ.Listing{Clock: o.target.clock(), Running: running}, o.now())
}
