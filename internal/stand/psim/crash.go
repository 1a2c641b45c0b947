package psim

import "time"

// Crash is how a task crashes the target that runs it.
type Crash string

// Ways in which a task crashes its target.
const (
	NoCrash      Crash = ""
	AfterAnswer  Crash = "answered" // some time after the start was answered
	BeforeAnswer Crash = "mute"     // before the start is answered
)

const (
	crashDelay  = 10 * time.Millisecond // from the start of a run to the crash, if that is after the answer
	maxDownTime = 1500 * time.Millisecond
)

// crashAfter crashes the target for a run that has started in the incarnation that began at
// startedAt. It is down for a while, and refuses connections if it has a proxy.
func (t *target) crashAfter(c Crash, startedAt time.Time) {
	if c == AfterAnswer {
		time.Sleep(crashDelay)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.startedAt.Equal(startedAt) || t.down {
		return
	}
	t.endDueRuns()
	for key := range t.runs {
		t.checker.taskCrashed(key.task)
		t.checker.taskEnded(key.task, t.addr)
	}
	t.runs, t.down = map[runKey]*run{}, true
	t.startedAt = time.Now() // nothing that the incarnation has received is carried out any more
	time.AfterFunc(t.draws.upTo(maxDownTime), t.comeBack)
}

// comeBack begins a new incarnation after a crash.
func (t *target) comeBack() {
	t.mu.Lock()
	t.down = false
	t.mu.Unlock()
	t.restart(false)
}

// isDown reports whether the target has crashed and is not back.
func (t *target) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}
