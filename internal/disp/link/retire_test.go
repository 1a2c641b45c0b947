package link

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

// runningLink is a link to a fakeGate whose Run is in progress until ended is closed.
type runningLink struct {
	*Link
	gate  *fakeGate
	ended chan struct{}
}

// inVirtualTime runs a test of a link that holds a lease at its gate, in virtual time.
func inVirtualTime(t *testing.T, test func(t *testing.T, l *runningLink)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		began := time.Now()
		f, l := newFakeGate()
		l.Now = func() boot.Time { return boot.Time(time.Hour).Add(time.Since(began)) }
		r := &runningLink{Link: l, gate: f, ended: make(chan struct{})}
		go func() {
			defer close(r.ended)
			l.Run(ctx)
		}()
		time.Sleep(idleSyncInterval + time.Millisecond)
		test(t, r)
	})
}

// startTask sends a task of which the gate answers nothing until finishTasks.
func (l *runningLink) startTask() chan msgs.TaskReply {
	l.gate.respond(msgs.TaskReply{}, peer.ErrBroken)
	replies := startTask(l.Link, msgs.Task{ID: 1})
	l.gate.awaitTask()
	return replies
}

func (l *runningLink) finishTasks() { l.gate.respond(msgs.TaskReply{Result: msgs.Done}, nil) }

func (l *runningLink) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// respond makes the gate answer tasks with a reply or an error.
func (f *fakeGate) respond(reply msgs.TaskReply, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onTask = func(int, msgs.Task) (msgs.TaskReply, error) { return reply, err }
}

func (f *fakeGate) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// A link that stops its calls while it has a task reports the task as lost although it
// may still run.
func TestRetiredLinkStaysOpenWhileItHasTasks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *runningLink) {
		replies := l.startTask()
		l.Retire()
		time.Sleep(3 * gate.MaxOrphanTime)
		if l.hasEnded() {
			t.Error("closed with a task at the gate")
		}
		l.finishTasks()
		if r := <-replies; r.Result != msgs.Done {
			t.Errorf("got %v %q", r.Result, r.Reason)
		}
		<-l.ended
	})
}

// A link that is closed before its gate has confirmed a cancellation may never send it.
func TestRetiredLinkSendsItsCancellations(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *runningLink) {
		l.gate.setSilent(true)
		l.Cancel(4)
		l.Retire()
		time.Sleep(syncTimeout)
		l.gate.setSilent(false)
		<-l.ended
		if !slices.Equal(l.gate.cancelled, []uint64{4}) {
			t.Errorf("sent %v", l.gate.cancelled)
		}
	})
}

// A gate that never answers again must not keep its link open for ever.
func TestRetiredLinkOfSilentGateIsClosed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *runningLink) {
		replies := l.startTask()
		l.gate.setSilent(true)
		l.Cancel(1)
		l.Retire()
		began := time.Now()
		if r := <-replies; r.Result != msgs.Lost {
			t.Errorf("got %v %q", r.Result, r.Reason)
		}
		<-l.ended
		if took := time.Since(began); took > gate.MaxOrphanTime+maxRetryInterval {
			t.Errorf("closed after %v", took)
		}
	})
}

// A placement may have chosen a link just before it is closed, and another link to the
// same gate may be open when it sends.
func TestClosedLinkRefusesTasks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *runningLink) {
		l.Retire()
		<-l.ended
		if r := l.RunTask(context.Background(), msgs.Task{}, nil); r.Result != msgs.Refused || r.Reason != cause.Unreachable {
			t.Errorf("got %v %q", r.Result, r.Reason)
		}
		if len(l.gate.tasks) > 0 {
			t.Error("the task was sent")
		}
		if l.Resume() {
			t.Error("a closed link was taken back into use")
		}
	})
}

// A link that is taken back into use before it is closed must not close later.
func TestResumedLinkStaysOpen(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, l *runningLink) {
		replies := l.startTask()
		l.Retire()
		if !l.Resume() {
			t.Error("not taken back into use")
		}
		l.finishTasks()
		<-replies
		time.Sleep(time.Second)
		if r := l.RunTask(context.Background(), msgs.Task{ID: 2}, nil); l.hasEnded() || r.Result != msgs.Done {
			t.Errorf("got %v %q", r.Result, r.Reason)
		}
	})
}
