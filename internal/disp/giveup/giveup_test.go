package giveup

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// errDown is the error of a call to a gate that does not answer.
var errDown = errors.New("down")

// fake is an entry and its gates. Its fields are set before the calls, or with mu held.
type fake struct {
	Asker
	mu         sync.Mutex
	reply      Reply
	err        error         // of the entry; nil if it answers
	delay      time.Duration // of its answer; negative for never
	running    bool          // tasks run at the gates
	gateDown   bool
	asked      int
	revoked    int // calls to gates
	lastBatch  []string
	counters   map[string]int
	lastAnswer boot.Time // of the links to the gates
}

// newFake returns an entry that answers at once that it has no job, with the given gates.
func newFake(gates ...string) *fake {
	f := &fake{counters: map[string]int{}}
	start := time.Now()
	f.Now = func() boot.Time { return boot.Time(time.Hour).Add(time.Since(start)) }
	f.Gates = func(string) ([]string, bool) { return gates, true }
	f.Ask, f.CallGate = f.ask, f.callGate
	f.GateView = func(string) link.View {
		f.mu.Lock()
		defer f.mu.Unlock()
		return link.View{LastAnswer: f.lastAnswer}
	}
	f.Count = func(name string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.counters[name]++
	}
	return f
}

func (f *fake) ask(ctx context.Context, _, _ string, _ bool) (Reply, error) {
	f.mu.Lock()
	f.asked++
	delay := f.delay
	f.mu.Unlock()
	if delay < 0 {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	boot.Sleep(ctx, delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reply, f.err
}

func (f *fake) callGate(ctx context.Context, _, _ string, args, reply any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revoked++
	m, known := args.(*msgs.Revoke)
	out, ok := reply.(*msgs.RevokeReply)
	switch {
	case !known || !ok || f.gateDown:
		return errDown
	case ctx.Err() != nil:
		return ctx.Err()
	case m.EchoedTimestamp == 0:
		out.Timestamp, out.Incarnation = 5, 6
		return nil
	}
	f.lastBatch, out.Applied = m.Jobs, true
	if f.running {
		out.Running = m.Jobs
	}
	return nil
}

// update changes f with the lock held.
func (f *fake) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// timeToGiveUp returns how long it takes to give up a job.
func (f *fake) timeToGiveUp(job string) time.Duration {
	start := time.Now()
	f.GiveUp(context.Background(), []string{"e"}, job)
	return time.Since(start)
}

// An entry that did not answer counted as having no task, though one ran at a gate.
func TestTasksOfSilentEntryEndBeforeTheJobStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake("g", "h")
		f.delay, f.running = -1, true
		time.AfterFunc(2*time.Second, func() { f.update(func() { f.running = false }) })
		if took := f.timeToGiveUp("j"); took < 2*time.Second || took > 2*time.Second+50*time.Millisecond {
			t.Errorf("took %v", took)
		}
		if f.counters[ProvedPrefix+string(ByGates)] != 1 {
			t.Errorf("got %v", f.counters)
		}
		if took := f.timeToGiveUp("k"); took > batchInterval+10*time.Millisecond {
			t.Errorf("the next job: took %v", took)
		}
	})
}

// An entry that is slow to answer lives, and was given up.
func TestSlowAnswerIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.delay, f.reply.HasJob = 900*time.Millisecond, true
		time.AfterFunc(5*time.Second, func() { f.update(func() { f.reply.HasJob = false }) })
		if took := f.timeToGiveUp("j"); took < 5*time.Second {
			t.Errorf("took %v", took)
		}
		if f.asked > 12 {
			t.Errorf("asked %d times in 5 s", f.asked)
		}
	})
}

// An entry that answers costs one call, and the gates none.
func TestGatesAreNotAskedWhileEntriesAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake("g")
		f.delay = 50 * time.Millisecond
		f.timeToGiveUp("j")
		time.Sleep(time.Second)
		if f.asked != 1 || f.revoked != 0 || f.counters[ProvedPrefix+string(ByAnswer)] != 1 {
			t.Errorf("asked %d, revoked %d, %v", f.asked, f.revoked, f.counters)
		}
	})
}

// Jobs that are submitted at the same moment cost a call each at each gate.
func TestJobsShareRevocations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake("g")
		f.delay = -1
		var done sync.WaitGroup
		for i := range 20 {
			done.Go(func() { f.timeToGiveUp(fmt.Sprint("j", i)) })
		}
		done.Wait()
		if f.revoked != 2 || len(f.lastBatch) != 20 { // the first is repeated with the timestamp of the gate
			t.Errorf("%d calls, %d jobs", f.revoked, len(f.lastBatch))
		}
	})
}

// An entry that refuses connections may have died just now; one that has long done so must not
// delay further jobs.
func TestEntryThatHasDiedDelaysJobsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.err = peer.ErrRefused
		if took := f.timeToGiveUp("j"); took != gate.MaxOrphanTime {
			t.Errorf("took %v", took)
		}
		if took := f.timeToGiveUp("k"); took > 0 {
			t.Errorf("the next job: took %v", took)
		}
	})
}

// Each job that was submitted again waited anew for a gate that had long been down, so that none
// was served in time.
func TestGateThatIsDownDelaysJobsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake("g", "h")
		f.delay, f.gateDown = -1, true
		if took := f.timeToGiveUp("j"); took < gate.MaxOrphanTime {
			t.Errorf("took %v", took)
		}
		for range 20 {
			if took := f.timeToGiveUp("k"); took > silentAnswerWait+20*time.Millisecond {
				t.Errorf("a later job: took %v", took)
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.update(func() { f.gateDown, f.running = false, true })
		time.Sleep(gateRetryTime)
		f.timeToGiveUp("k") // calls the gates, which answer now
		time.Sleep(10 * time.Millisecond)
		time.AfterFunc(time.Second, func() { f.update(func() { f.running = false }) })
		if took := f.timeToGiveUp("l"); took < time.Second {
			t.Errorf("a job with tasks at gates that are back: took %v", took)
		}
		f.update(func() { f.gateDown = true })
		f.timeToGiveUp("m")
		time.Sleep(2 * gate.MaxOrphanTime)
		if took := f.timeToGiveUp("n"); took < gate.MaxOrphanTime {
			t.Errorf("a job with gates that may have answered in between: took %v", took)
		}
	})
}

// A job on a new connection is seldom elsewhere: only an entry that answers is waited for.
func TestOnlyEntriesThatKnowTheJobAreWaitedFor(t *testing.T) {
	for name, tt := range map[string]struct {
		reply Reply
		err   error
		delay time.Duration // of the answer; negative for none
		want  time.Duration
	}{
		"it has the job":             {reply: Reply{HasJob: true}, want: 3 * time.Second},
		"it does not have the job":   {delay: time.Millisecond, want: time.Millisecond},
		"it has just been restarted": {reply: Reply{OrphansFor: time.Second}},
		"it refuses connections":     {err: peer.ErrRefused},
		"it does not answer":         {delay: -1, want: knownTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFake("g")
				f.reply, f.err, f.delay = tt.reply, tt.err, tt.delay
				time.AfterFunc(tt.want, func() { f.update(func() { f.reply.HasJob = false }) })
				start := time.Now()
				f.GiveUpIfKnown(context.Background(), []string{"e"}, "j")
				if took := time.Since(start); took < tt.want || took > tt.want+20*time.Millisecond {
					t.Errorf("took %v, want %v", took, tt.want)
				}
				start = time.Now()
				f.GiveUpIfKnown(context.Background(), []string{"e"}, "k")
				if took := time.Since(start); took > time.Millisecond {
					t.Errorf("the next job: took %v", took)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// The time of an entry that was slow, and then died, counted from when it was slow.
func TestSlowEntryThatDiesHasTasksUntilItsLeasesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		for range 3 {
			f.Record("e", errDown)
			time.Sleep(time.Second)
		}
		f.err = peer.ErrRefused
		if took := f.timeToGiveUp("j"); took != gate.MaxOrphanTime {
			t.Errorf("took %v", took)
		}
	})
}

// An entry that refused a connection long ago has lived since, though nobody has heard of it.
func TestEntryThatMayHaveLivedSinceIsNotTakenForLongDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.err = peer.ErrRefused
		f.Record("e", f.err)
		time.Sleep(time.Minute)
		if took := f.timeToGiveUp("j"); took != gate.MaxOrphanTime {
			t.Errorf("took %v", took)
		}
	})
}

// An entry that had just been started again said that it has no job, while tasks of its former
// incarnation ran.
func TestEntryThatWasJustStartedMayHaveTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 700 * time.Millisecond
		f := newFake("g")
		f.reply.OrphansFor, f.running = left, true
		if took := f.timeToGiveUp("j"); took != left {
			t.Errorf("took %v", took)
		}
		f.running = false
		if took := f.timeToGiveUp("k"); took > batchInterval+10*time.Millisecond {
			t.Errorf("when no gate has a task: took %v", took)
		}
	})
}

// What runs at a gate that does not answer ends by the leases, and not before.
func TestSilentGateIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake("g")
		f.delay, f.gateDown = -1, true
		if took := f.timeToGiveUp("j"); took < gate.MaxOrphanTime || took > gate.MaxOrphanTime+answerWait+50*time.Millisecond {
			t.Errorf("took %v", took)
		}
		f.update(func() { f.lastAnswer = f.Now() }) // the gate has been silent for a while when the next job comes
		time.Sleep(link.MaxLoadAge + gate.MaxOrphanTime)
		if took := f.timeToGiveUp("k"); took > 50*time.Millisecond {
			t.Errorf("the next job: took %v", took)
		}
	})
}

// Orphans says how long the tasks of a former incarnation may run.
func TestOrphans(t *testing.T) {
	started := boot.Time(time.Hour)
	for _, c := range []struct{ started, now, want boot.Time }{
		{0, started, 0},
		{started, started, boot.Time(gate.MaxOrphanTime.Milliseconds() + 1)},
		{started, started.Add(gate.MaxOrphanTime), 0},
		{started, started.Add(time.Minute), 0},
	} {
		if got := Orphans(c.started, c.now); got != int64(c.want) {
			t.Errorf("got %d ms at %v, want %d", got, c.now.Sub(c.started), c.want)
		}
	}
}

// An entry that refused a connection, was started again, reached its gates but not this entry, and
// died, had tasks until its leases ended. They counted as over by the time of the first refusal.
func TestEntryThatDiesAgainHasTasksUntilItsLeasesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.Record("e", peer.ErrRefused)
		for range 3 {
			time.Sleep(500 * time.Millisecond)
			f.Record("e", errDown)
		}
		f.err = peer.ErrRefused
		if took := f.timeToGiveUp("j"); took != gate.MaxOrphanTime {
			t.Errorf("took %v", took)
		}
	})
}
