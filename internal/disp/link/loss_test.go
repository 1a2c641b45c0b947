package link

import (
	"context"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// A gate that dies with its target down takes its knowledge of the loss along. Without any, a task that
// crashes targets would be placed again as if nothing had happened.
func TestGateThatDiesWithItsTargetDownLeavesASuspicion(t *testing.T) {
	for _, tc := range []struct {
		name     string
		blocked  string
		restarts bool
		want     msgs.Crash
	}{
		{"target down, gate silent", cause.TargetCrashed, false, msgs.CrashSuspected},
		{"target down, gate restarted", cause.TargetCrashed, true, msgs.CrashSuspected},
		{"gate silent", "", false, msgs.NoCrash},
		{"gate restarted", "", true, msgs.NoCrash},
	} {
		f, l, replies := startTaskOnBrokenConnection()
		f.mu.Lock()
		f.blocked = tc.blocked
		f.mu.Unlock()
		l.sync(context.Background())
		f.mu.Lock()
		f.silent, f.blocked = !tc.restarts, ""
		if tc.restarts {
			f.incarnation++
		}
		f.mu.Unlock()
		l.sync(context.Background())
		f.advance(2 * gate.MaxOrphanTime)
		if r := <-replies; r.Result != msgs.Lost || r.Crash != tc.want {
			t.Errorf("%s: got %v, crash %v, want %v", tc.name, r.Result, r.Crash, tc.want)
		}
		assumed := msgs.Loss{Task: "a", Crash: tc.want, Entry: "e", Incarnation: 1, ID: 3}
		if told := len(f.told) == 1 && f.told[0] == assumed; told != (tc.want != msgs.NoCrash) {
			t.Errorf("%s: told %+v", tc.name, f.told)
		}
	}
}

// A link tells each loss once, and all that a new incarnation of the gate knows.
func TestLinkTellsEachLossOnce(t *testing.T) {
	f, l := newFakeGate()
	f.losses = []msgs.Loss{{Number: 1, Task: "a", Crash: msgs.CrashProven}, {Number: 2, Task: "b", Crash: msgs.CrashSuspected}}
	for range 3 {
		l.sync(context.Background())
	}
	f.incarnation++
	for range 3 {
		l.sync(context.Background())
	}
	if len(f.told) != 4 {
		t.Errorf("told %v, want 1 and 2 of each incarnation", f.told)
	}
	if n := len(l.View(f.clock()).Load.Losses); n != 0 {
		t.Errorf("the view keeps %d losses", n)
	}
}

// A link that sends tasks all the while makes no Sync call for its lease. It must make one for a loss
// that a load names.
func TestBusyLinkAsksForLossesAtOnce(t *testing.T) {
	f, l := newFakeGate()
	l.sync(context.Background())
	f.advance(minSyncInterval)
	f.mu.Lock()
	f.losses = []msgs.Loss{{Number: 7, Task: "a", Crash: msgs.CrashProven}}
	f.mu.Unlock()
	if r := l.RunTask(context.Background(), msgs.Task{ID: 1}, nil); r.Result != msgs.Done {
		t.Fatalf("got %v", r.Result)
	}
	if d := l.untilDue(); d > 0 {
		t.Errorf("a Sync call is due in %v", d)
	}
	l.sync(context.Background())
	f.advance(minSyncInterval)
	if d := l.untilDue(); d <= 0 {
		t.Error("a Sync call is due though the loss is known")
	}
}
