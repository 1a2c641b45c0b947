package link

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	// syncEvery is the longest time without an echo, and the greatest age of the
	// load, while tasks are at the gate. Tasks and their ends bring both, so a
	// busy link needs few calls of its own.
	syncEvery = 150 * time.Millisecond
	// syncIdle is the same while no task is there.
	syncIdle    = 200 * time.Millisecond
	syncLeast   = 10 * time.Millisecond // between two calls
	syncTimeout = 300 * time.Millisecond
	// syncSlowest is the pause between calls to a gate that does not answer.
	syncSlowest = time.Second
	// Fresh is the greatest age of a load that tasks are placed by.
	Fresh = 500 * time.Millisecond
	// inFlight is how long a task that was just sent may be missing from a load.
	inFlight  = 5 * time.Millisecond
	pollEvery = 20 * time.Millisecond // while a task's fate is unknown
)

// Method names of the gate's service.
const (
	SyncMethod = "Gate.Sync"
	TakeMethod = "Gate.Take"
)

// Link is the way to one gate. Set the exported fields before Run. It is safe
// for concurrent use.
type Link struct {
	Addr  string
	Entry string
	Incarnation  uint64 // of this process
	// Call calls a method at an address, as peer.Pool does.
	Call func(ctx context.Context, addr, method string, args, reply any) error
	// Drop closes the connection to an address, as peer.Pool does.
	Drop func(addr string)
	// Now reads the clock; nil means boot.Now.
	Now func() boot.Time
	// Event logs a change of state; nil drops it.
	Event func(event string, pairs ...any)

	mu       sync.Mutex
	load     msgs.Load
	received boot.Time // when load.Stamp was received; 0 before the first
	echoed   boot.Time // when the newest stamp that was echoed had been received
	told     boot.Time // when a stamp was echoed last
	tried    boot.Time // when the last call of sync ended
	former   boot.Time // when everything at former lives of the gate has ended
	answered boot.Time // last answer
	failures int       // calls in a row without an answer
	cancels  map[uint64]struct{}
	sent     []sentTask
	flying   int // tasks at the gate
	wake     chan struct{}
}

// sentTask is a task that the newest load may not contain.
type sentTask struct {
	size rsrc.Vector
	at   boot.Time
}

// View is what is known of the gate for placing tasks.
type View struct {
	Load  msgs.Load
	Used  rsrc.Vector // what the load tells and what was sent since
	LastAnswer boot.Time   // when the gate answered last
	Available    bool        // the load is fresh and the gate takes tasks
}

// Run renews the lease until ctx ends.
func (l *Link) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.sync(ctx)
		l.rest(ctx)
	}
}

// rest waits until the next call is due or wanted.
func (l *Link) rest(ctx context.Context) {
	for ctx.Err() == nil {
		due := l.due()
		if due <= 0 || l.await(ctx, due) {
			return
		}
	}
}

// Cancel has the gate stop a task.
func (l *Link) Cancel(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancels == nil {
		l.cancels = map[uint64]struct{}{}
	}
	l.cancels[id] = struct{}{}
	select {
	case l.waker() <- struct{}{}:
	default:
	}
}

// View returns what is known of the gate at now.
func (l *Link) View(now boot.Time) View {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := View{Load: l.load, LastAnswer: l.answered}
	v.Used = rsrc.Vector{CPU: l.load.UsedCPU, Memory: l.load.UsedMem, GPU: l.load.UsedGPU}
	for _, s := range l.sent {
		v.Used = v.Used.Plus(s.size)
	}
	v.Available = l.received > 0 && now.Sub(l.answered) < Fresh && !l.load.Leaving && l.load.Service != ""
	return v
}

// Do has the gate run a task and returns what became of it. It returns only
// once the task has ended or can't be running any more.
func (l *Link) RunTask(ctx context.Context, m msgs.Task) msgs.TaskReply {
	sender, ok := l.sender(0)
	if !ok {
		return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Unreachable}
	}
	life := sender.GateLife
	l.fly(1)
	defer l.fly(-1)
	l.note(m)
	sent := false
	for {
		// A call that failed may still be reading its message.
		message := m
		message.Sender = sender
		var reply msgs.TaskReply
		err := l.Call(ctx, l.Addr, TakeMethod, &message, &reply)
		switch {
		case err == nil && reply.Result != msgs.Stranger:
			l.learn(reply.Load, false)
			return reply
		case err == nil && !sent:
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Stranger}
		case err != nil && !sent && errors.Is(err, peer.ErrNotSent):
			return msgs.TaskReply{Result: msgs.Refused, Reason: cause.Unreachable}
		}
		sent = true
		if sender, ok = l.regain(ctx, life); !ok {
			return msgs.TaskReply{Result: msgs.Lost, Reason: cause.Silent}
		}
	}
}

// regain waits until the same life of the gate answers again. It reports false
// once all that this entry had there has ended.
func (l *Link) regain(ctx context.Context, life uint64) (msgs.Sender, bool) {
	since := l.now()
	for {
		select {
		case <-ctx.Done():
			return msgs.Sender{}, false
		case <-time.After(pollEvery):
		}
		if l.ended(life) {
			return msgs.Sender{}, false
		}
		if l.answeredAfter(since) {
			if s, ok := l.sender(life); ok {
				return s, true
			}
		}
	}
}

// sender returns the sender of the next message, whose stamp renews the lease.
// It reports false if the gate is not known, or is in another life than the
// given one; 0 stands for any.
func (l *Link) sender(life uint64) (msgs.Sender, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.received == 0 || life != 0 && life != l.load.Life {
		return msgs.Sender{}, false
	}
	l.echoed, l.told = l.received, l.now()
	return msgs.Sender{Entry: l.Entry, Life: l.Incarnation, GateLife: l.load.Life, Echo: l.load.Stamp}, true
}

// ended tells whether all that this entry had at a life of the gate has ended.
func (l *Link) ended(life uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if life != l.load.Life {
		return l.now() >= l.former
	}
	return l.now() >= l.echoed.Add(gate.MaxOrphanTime)
}

func (l *Link) answeredAfter(t boot.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered > t
}

// sync renews the lease once.
func (l *Link) sync(ctx context.Context) {
	sender, ok := l.sender(0)
	if !ok {
		sender = msgs.Sender{Entry: l.Entry, Life: l.Incarnation}
	}
	cancels := l.pending()
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply := &msgs.Load{}
	err := l.Call(ctx, l.Addr, SyncMethod, &msgs.Sync{Sender: sender, Cancel: cancels}, reply)
	l.mu.Lock()
	l.tried = l.now()
	l.mu.Unlock()
	if err != nil {
		l.failed(err)
		return
	}
	l.confirm(cancels)
	l.learn(*reply, true)
}

// failed notes a call without an answer. The connection may have gone silent,
// so the next call opens another.
func (l *Link) failed(err error) {
	l.mu.Lock()
	l.failures++
	first := l.failures == 1
	target, age, flying := l.load.Target, l.now().Sub(l.answered), l.flying
	l.mu.Unlock()
	if first {
		l.event("gate_silent", "gate", l.Addr, "target", target, "answered", age, "tasks", flying, "err", err)
	}
	l.Drop(l.Addr)
}

// learn takes in a load. Only an answer to sync may bring another life, since
// those come one after the other.
func (l *Link) learn(load msgs.Load, ordered bool) {
	l.mu.Lock()
	now := l.now()
	regained := l.failures > 0
	reborn := l.load.Life != load.Life
	switch {
	case reborn && !ordered, !reborn && load.Stamp <= l.load.Stamp:
		l.mu.Unlock()
		return
	case reborn && l.received > 0:
		l.former = max(l.former, l.echoed.Add(gate.MaxOrphanTime))
		l.echoed = 0
	}
	l.load, l.received, l.answered, l.failures = load, now, now, 0
	kept := l.sent[:0]
	for _, s := range l.sent {
		if now.Sub(s.at) < inFlight {
			kept = append(kept, s)
		}
	}
	l.sent = kept
	l.mu.Unlock()
	if reborn || regained {
		l.event("gate_answers", "gate", l.Addr, "target", load.Target, "life", load.Life, "reborn", reborn)
	}
}

// note reserves the room of a task that is about to be sent.
func (l *Link) note(m msgs.Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, sentTask{rsrc.Vector{CPU: m.CPU, Memory: m.Memory, GPU: m.GPU}, l.now()})
}

func (l *Link) pending() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]uint64, 0, len(l.cancels))
	for id := range l.cancels {
		ids = append(ids, id)
	}
	return ids
}

func (l *Link) confirm(cancels []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range cancels {
		delete(l.cancels, id)
	}
}

// due returns how long the next call can wait.
func (l *Link) due() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.failures > 0 {
		return l.tried.Add(min(time.Duration(l.failures)*syncEvery/2, syncSlowest)).Sub(now)
	}
	every := syncIdle
	if l.flying > 0 {
		every = syncEvery
	}
	return max(min(l.told, l.received).Add(every), l.tried.Add(syncLeast)).Sub(now)
}

// Busy tells whether tasks of this entry are at the gate.
func (l *Link) HasTasks() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flying > 0
}

// fly counts tasks that are at the gate.
func (l *Link) fly(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flying += n
}

// await waits for d, and reports whether it was woken before.
func (l *Link) await(ctx context.Context, d time.Duration) bool {
	l.mu.Lock()
	wake := l.waker()
	l.mu.Unlock()
	return boot.Await(ctx, wake, d)
}

func (l *Link) waker() chan struct{} {
	if l.wake == nil {
		l.wake = make(chan struct{}, 1)
	}
	return l.wake
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
