package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	// syncInterval is the maximum time without an echo, and the maximum age of
	// the load, while tasks are outstanding. Sending a task and receiving its
	// reply also update them, so a busy link makes few Sync calls.
	syncInterval = 150 * time.Millisecond
	// idleSyncInterval replaces syncInterval while no tasks are outstanding.
	idleSyncInterval = 200 * time.Millisecond
	// blockedSyncInterval replaces both for blockedSyncPeriod after the gate has given another
	// reason why it can't start tasks: a gate that is starting can soon.
	blockedSyncInterval = 50 * time.Millisecond
	blockedSyncPeriod   = time.Second
	minSyncInterval     = 10 * time.Millisecond // between two Sync calls
	syncTimeout         = 300 * time.Millisecond
	// maxRetryInterval is the maximum pause between Sync calls to a gate that does
	// not answer.
	maxRetryInterval = time.Second
	// MaxLoadAge is the age from which a load is too old for placing tasks.
	MaxLoadAge = 500 * time.Millisecond
	// loadLag is how long after a task was sent a load may still not include it.
	loadLag      = 5 * time.Millisecond
	pollInterval = 20 * time.Millisecond // while the outcome of a task is unknown
)

// Methods of the gate that a Link calls by net/rpc.
const (
	SyncMethod = "Gate.Sync"
	TakeMethod = "Gate.Take"
)

// Link is an entry's connection to one gate. Set the exported fields before
// use. It is safe for concurrent use.
type Link struct {
	Addr        string // of the gate
	Entry       string // name of this entry
	Incarnation uint64 // of this entry
	// Call calls a method at an address, as peer.Pool does. It may go on using
	// args and reply after it has returned an error.
	Call func(ctx context.Context, addr, method string, args, reply any) error
	// Drop closes the connection to an address, as peer.Pool does.
	Drop func(addr string)
	// Orders has the evacuations that this entry knows; nil means none. Each message carries
	// the order of the gate's failure domain.
	Orders *evac.Set
	// Losses is told the losses of runs with the target, those of tasks of this entry maybe more
	// than once; nil discards them.
	Losses func(losses []msgs.Loss)
	// Now reads the clock; nil means boot.Now.
	Now func() boot.Time
	// Event logs a change of state; nil discards it.
	Event func(event string, pairs ...any)

	mu              sync.Mutex
	load            msgs.Load
	loadReceived    boot.Time           // when load was received; 0 if there is none yet
	echoedReceived  boot.Time           // when the newest echoed timestamp was received
	lastEcho        boot.Time           // when a timestamp was last echoed
	lastSync        boot.Time           // when the last Sync call ended, answered or not
	previousEnd     boot.Time           // when all tasks at previous incarnations of the gate have ended
	lastAnswer      boot.Time           // when the gate last answered
	recheckUntil    boot.Time           // end of the time during which blockedSyncInterval holds
	failures        int                 // consecutive Sync calls without an answer
	cancels         map[uint64]struct{} // IDs of tasks to cancel, until the gate confirms
	recent          []recentTask        // tasks that load may not include
	confirmed       evac.Order          // newest order in a Sync call that this incarnation of the gate has answered
	outstanding     int                 // tasks sent whose outcome is unknown
	retired         bool                // Run ends once no task or cancellation needs it
	closed          bool                // Run has ended, or ends without another call; final
	kindsUntil      boot.Time           // until when Sync calls ask for Load.Kinds
	downIncarnation uint64              // latest incarnation of the gate that restarted while its target was down; 0 if none
	lossesSeen      int64               // highest Loss.Number of this incarnation of the gate
	waker           boot.Waker          // makes Run look at the state, and make a Sync call, at once
}

// recentTask is a task that was sent so recently that the newest load may not
// include it.
type recentTask struct {
	size   rsrc.Vector
	sentAt boot.Time
	kind   string
}

// View is what the entry knows about the gate when it places tasks.
type View struct {
	Load       msgs.Load
	Used       rsrc.Vector // resources used according to Load and by tasks sent since
	LastAnswer boot.Time   // when the gate last answered; 0 if never
	Available  bool        // Load is younger than MaxLoadAge and the gate accepts tasks
	Evacuated  bool        // the gate's failure domain is evacuated, as this entry or the gate knows
}

// Run renews the lease until ctx ends, or until the link is retired and no task or
// cancellation needs it. It closes the link before it returns.
func (l *Link) Run(ctx context.Context) {
	defer l.close()
	for ctx.Err() == nil && !l.closeIfUnneeded() {
		l.sync(ctx)
		l.waitUntilSyncDue(ctx)
	}
}

// Cancel makes the gate stop the task with this ID. The request is part of each message
// that renews the lease, until the gate answers a Sync call.
func (l *Link) Cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancels == nil {
		l.cancels = map[uint64]struct{}{}
	}
	l.cancels[id] = struct{}{}
	l.waker.Wake()
}

// View returns what is known about the gate at now.
func (l *Link) View(now boot.Time) View {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := View{Load: l.load, LastAnswer: l.lastAnswer}
	v.Used = rsrc.Vector{CPU: l.load.UsedCPU, Memory: l.load.UsedMemory, GPU: l.load.UsedGPU}
	for _, t := range l.recent {
		v.Used = v.Used.Plus(t.size)
	}
	v.Evacuated = l.order().Evacuated || l.load.BlockedReason == cause.Evacuated
	v.Available = l.loadReceived > 0 && now.Sub(l.lastAnswer) < MaxLoadAge && !l.load.Leaving && l.load.Service != ""
	return v
}

// RunTask makes the gate run a task and returns the outcome. The result is Lost
// if the outcome is still unknown when the task can no longer be running, or when
// ctx ends; in the latter case the task may still run. A gate that has said that its target is down
// may die before it can tell what that proves, which then is a suspicion. On a closed link it is Refused,
// since nothing would cancel the task or determine its end. It is Refused too if valid, which
// may be nil, reports false just before the task is sent. If the process stands still after
// that call, the gate refuses the task for the age of the timestamp that it echoes. If valid
// reports false before the task is sent again, RunTask cancels it, and it is Lost unless the
// gate still has a result.
func (l *Link) RunTask(ctx context.Context, m msgs.Task, valid func() bool) msgs.TaskReply {
	reply := l.runTask(ctx, m, valid)
	if reply.Crash != msgs.NoCrash {
		l.tellLosses([]msgs.Loss{{Task: m.Name, Crash: reply.Crash, Entry: l.Entry, Incarnation: l.Incarnation, ID: m.ID}})
	}
	return reply
}

// runTask does the work of RunTask, but for telling the loss.
func (l *Link) runTask(ctx context.Context, m msgs.Task, valid func() bool) msgs.TaskReply {
	if !l.beginTask() {
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Unreachable}
	}
	defer l.endTask()
	sender, ok := l.sender(0)
	if !ok {
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Unreachable}
	}
	if valid != nil && !valid() {
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Stalled}
	}
	incarnation := sender.GateIncarnation
	l.reserve(m)
	mayHaveArrived, stalled := false, false
	for {
		// A failed call may still be reading its message, so each call gets a copy.
		message := m
		message.Sender, message.Cancel = sender, l.cancelsToSend()
		message.Order = l.orderToSend()
		var reply msgs.TaskReply
		err := l.Call(ctx, l.Addr, TakeMethod, &message, &reply)
		switch {
		case err == nil && reply.Result != msgs.Foreign:
			l.applyLoad(reply.Load, false)
			if stalled && reply.Result == msgs.Refused {
				reply.Result = msgs.Lost // the gate may have forgotten a run
			}
			return withCrash(reply)
		case err == nil && !mayHaveArrived:
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Foreign}
		case err != nil && !mayHaveArrived && errors.Is(err, peer.ErrNotSent):
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Unreachable}
		}
		mayHaveArrived = true
		if sender, ok = l.awaitReconnect(ctx, incarnation); !ok {
			return l.lost(incarnation)
		}
		stalled = stalled || valid != nil && !valid()
		if stalled {
			l.Cancel(m.ID) // so that a gate that has forgotten the task does not run it again
		}
	}
}

// awaitReconnect waits until the given incarnation of the gate answers again and
// returns the sender of the next message. It reports false once all tasks of this
// entry at that incarnation have ended, or ctx ends.
func (l *Link) awaitReconnect(ctx context.Context, incarnation uint64) (msgs.Sender, bool) {
	since := l.now()
	for {
		select {
		case <-ctx.Done():
			return msgs.Sender{}, false
		case <-time.After(pollInterval):
		}
		if l.tasksEnded(incarnation) {
			return msgs.Sender{}, false
		}
		if l.answeredAfter(since) {
			if s, ok := l.sender(incarnation); ok {
				return s, true
			}
		}
	}
}

// sender returns the sender of the next message, whose echoed timestamp renews
// the lease. It reports false if the gate has not answered yet, or its
// incarnation is not the given one; 0 matches any incarnation.
func (l *Link) sender(incarnation uint64) (msgs.Sender, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loadReceived == 0 || incarnation != 0 && incarnation != l.load.Incarnation {
		return msgs.Sender{}, false
	}
	l.echoedReceived, l.lastEcho = l.loadReceived, l.now()
	return msgs.Sender{Entry: l.Entry, Incarnation: l.Incarnation, GateIncarnation: l.load.Incarnation, EchoedTimestamp: l.load.Timestamp}, true
}

// tasksEnded reports whether all tasks of this entry at an incarnation of the
// gate have certainly ended.
func (l *Link) tasksEnded(incarnation uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.load.Incarnation {
		return l.now() >= l.previousEnd
	}
	return l.now() >= l.echoedReceived.Add(gate.MaxOrphanTime)
}

func (l *Link) answeredAfter(t boot.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastAnswer > t
}

// reserve counts the resources of a task that is about to be sent as used until
// a load includes it.
func (l *Link) reserve(m msgs.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = append(l.recent, recentTask{rsrc.Vector{CPU: m.CPU, Memory: m.Memory, GPU: m.GPU}, l.now(), m.Kind})
}

// cancelsToSend returns the IDs of the tasks to cancel. Call it after sender: a message
// without a later cancellation then echoes a timestamp that was received before.
func (l *Link) cancelsToSend() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cancels) == 0 {
		return nil
	}
	ids := make([]uint64, 0, len(l.cancels))
	for id := range l.cancels {
		ids = append(ids, id)
	}
	return ids
}

// confirmCancels forgets the cancellations that the gate has answered.
func (l *Link) confirmCancels(cancels []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range cancels {
		delete(l.cancels, id)
	}
}

func (l *Link) now() boot.Time {
	if l.Now != nil {
		return l.Now()
	}
	return boot.Now()
}

func (l *Link) event(event string, pairs ...any) {
	if l.Event != nil {
		l.Event(event, pairs...)
	}
}
