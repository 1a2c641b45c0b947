package link

import (
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// knownCrash returns the highest number of a loss that the gate has told of.
func (l *Link) knownCrash() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashesSeen
}

// tellCrashes passes on the losses in the reply of an incarnation of the gate to a Sync call, whose
// load has been applied.
func (l *Link) tellCrashes(incarnation uint64, crashes []msgs.TaskCrash) {
	if len(crashes) == 0 {
		return
	}
	if l.Crashes != nil {
		l.Crashes(incarnation, crashes)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.load.Incarnation {
		return
	}
	for _, c := range crashes {
		l.crashesSeen = max(l.crashesSeen, c.Number)
	}
}

// crashNumber returns the number of the loss of m where its gate has given none. Numbers of gates are
// positive.
func crashNumber(m msgs.Task) int64 { return -int64(m.ID) }

// withCrash returns the reply of a gate to m with what the loss proves. An older gate gives only a
// reason, which it also gives for runs that may never have begun.
func withCrash(reply msgs.TaskReply, m msgs.Task) msgs.TaskReply {
	blamed := reply.Reason == cause.TargetCrashed || reply.Reason == cause.TargetRestarted
	if reply.Result == msgs.Lost && reply.Crash == msgs.NoCrash && blamed {
		reply.Crash, reply.CrashNumber = msgs.CrashSuspected, crashNumber(m)
	}
	return reply
}

// lost returns the reply for m, whose outcome an incarnation of the gate has not told.
func (l *Link) lost(m msgs.Task, incarnation uint64) msgs.TaskReply {
	reply := msgs.TaskReply{Result: msgs.Lost, Reason: cause.Silent, Load: msgs.Load{Incarnation: incarnation}}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.load.Incarnation == incarnation && l.load.BlockedReason == cause.TargetCrashed || l.downIncarnation == incarnation {
		reply.Crash, reply.CrashNumber = msgs.CrashSuspected, crashNumber(m)
	}
	return reply
}
