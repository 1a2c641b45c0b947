package link

import (
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// newestLoss returns the highest number of a loss that the gate has told of.
func (l *Link) newestLoss() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lossesSeen
}

// tellLosses passes on losses.
func (l *Link) tellLosses(losses []msgs.Loss) {
	if len(losses) > 0 && l.Losses != nil {
		l.Losses(losses)
	}
}

// confirmLosses records that the losses in the reply of an incarnation of the gate to a Sync call, whose
// load has been applied, have been passed on.
func (l *Link) confirmLosses(incarnation uint64, losses []msgs.Loss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.load.Incarnation {
		return
	}
	for _, loss := range losses {
		l.lossesSeen = max(l.lossesSeen, loss.Number)
	}
}

// withCrash returns the reply of a gate with what the loss proves. An older gate gives only a reason,
// which it also gives for runs that may never have begun.
func withCrash(reply msgs.TaskReply) msgs.TaskReply {
	blamed := reply.Reason == cause.TargetCrashed || reply.Reason == cause.TargetRestarted
	if reply.Result == msgs.Lost && reply.Crash == msgs.NoCrash && blamed {
		reply.Crash = msgs.CrashSuspected
	}
	return reply
}

// lost returns the reply to a task whose outcome an incarnation of the gate has not told.
func (l *Link) lost(incarnation uint64) msgs.TaskReply {
	reply := msgs.TaskReply{Result: msgs.Lost, Reason: cause.Silent, Load: msgs.Load{Incarnation: incarnation}}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.load.Incarnation == incarnation && l.load.BlockedReason == cause.TargetCrashed || l.downIncarnation == incarnation {
		reply.Crash = msgs.CrashSuspected
	}
	return reply
}
