package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// Names of the histograms of Gate.Observe, in ms.
const (
	WaitHistogram  = "task.wait.ms"    // from the arrival of a task to the order to start it
	OrderHistogram = "target.order.ms" // from the order to start a run to its answer or timeout
	RunHistogram   = "task.run.ms"     // run time of runs that ended done or failed
)

// State is the part of a gate's state that operators see.
type State struct {
	Incarnation  targ.Incarnation // of the target
	TargetKnown  bool             // the target has sent a heartbeat and not ended since
	Load         msgs.Load
	Reconciled   bool  // no unknown run is at the target
	Unresponsive bool  // the target does not answer
	Fence        int64 // newest fencing token
	Running      int   // tasks that run, or whose start has been ordered
	Queued       int   // tasks that wait
	Evacuated    bool  // nothing is started since the failure domain is evacuated
	Entries      int   // entries with a current or recent lease
}

// State returns a snapshot of the gate's state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Incarnation: g.incarnation, TargetKnown: g.targetKnown, Load: g.load(), Reconciled: g.reconciled(), Unresponsive: g.silent, Fence: g.fence,
		Running: len(g.runs), Queued: len(g.queue), Evacuated: g.evacuated(), Entries: g.entryLeases.Len(),
	}
}

// observeWait records how long r has waited when its start is ordered at now.
func (g *Gate) observeWait(r *run, now boot.Time) {
	g.observe(WaitHistogram, now.Sub(r.arrivedAt))
}

// logStarted logs that the target has started r.
func (g *Gate) logStarted(r *run, now boot.Time) {
	g.trace("task_started", "job", r.msg.Job, "task", r.msg.Name, "run", r.number, "target", g.incarnation.ID,
		"entry", r.msg.Entry, "after", now.Sub(r.arrivedAt), "deadline", r.startDeadline, "clock", g.clock.At(g.steady()))
}

// logEnded logs and counts the result of r, which was in the given phase before.
func (g *Gate) logEnded(r *run, previous start.Phase) {
	if r.result == msgs.Refused {
		g.count(cause.RefusedPrefix + r.reason)
	} else {
		g.count("ended." + r.result.String())
	}
	if r.runTime > 0 && (r.result == msgs.Done || r.result == msgs.Failed) {
		g.observe(RunHistogram, r.runTime)
	}
	g.trace("task_ended", "job", r.msg.Job, "task", r.msg.Name, "run", r.number, "target", g.incarnation.ID,
		"entry", r.msg.Entry, "was", previous, "result", r.result, "reason", r.reason, "crash", r.crash,
		"percent", r.percent, "ran", r.runTime, "after", r.endedAt.Sub(r.arrivedAt), "reported", r.endReported)
}

func (g *Gate) event(event string, pairs ...any) {
	if g.Event != nil {
		g.Event(event, pairs...)
	}
}

func (g *Gate) trace(event string, pairs ...any) {
	if g.Trace != nil {
		g.Trace(event, pairs...)
	}
}

func (g *Gate) count(name string) {
	if g.Count != nil {
		g.Count(name)
	}
}

func (g *Gate) observe(name string, d time.Duration) {
	if g.Observe != nil {
		g.Observe(name, d)
	}
}
