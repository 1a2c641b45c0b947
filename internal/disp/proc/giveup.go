package proc

import (
	"context"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/stall"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	// giveUpTimeout is how long an entry waits for the answer of another one whether it
	// runs a job.
	giveUpTimeout = 400 * time.Millisecond
	// silentGiveUpTimeout replaces giveUpTimeout for an entry that has been silent for
	// giveUpTimeout already.
	silentGiveUpTimeout = 100 * time.Millisecond
	// drainReplyWait is how long an entry that gives up a job waits for its tasks to
	// end before it replies that they have not ended, and is asked again.
	drainReplyWait = 50 * time.Millisecond
	// gateMargin is the number of gates beyond maxLinks that another entry may have selected
	// since it knows fewer or other members.
	gateMargin = 8
	// membersSettleTime is how long after the first word of another entry, or of the table, the
	// gates that are known here count as complete.
	membersSettleTime = time.Second
)

// GiveUpElsewhere makes other entries give up a job, and waits until it is proved that none of its
// tasks can be running there any more, or ctx ends: all other entries if its caller counts as
// having submitted it before or this entry may have been cut off itself, and otherwise those that
// are out of rotation.
func (e *Entry) GiveUpElsewhere(ctx context.Context, job string, repeated bool) {
	addrs := e.others.Out()
	if repeated || e.Rotation.Out() {
		addrs = e.members.Addrs(memb.Entry)
	}
	e.asker().GiveUp(ctx, addrs, job)
}

// GiveUpIfKnown makes the other entries give up a job that answer soon that they have it.
func (e *Entry) GiveUpIfKnown(ctx context.Context, job string) {
	e.asker().GiveUpIfKnown(ctx, e.members.Addrs(memb.Entry), job)
}

// RevokeAt revokes a job for this entry at a gate that refuses it for the sake of another one. It
// reports whether the gate takes its tasks from this entry now.
func (e *Entry) RevokeAt(ctx context.Context, gate, job string) bool {
	return e.asker().RevokeAt(ctx, gate, job)
}

// asker returns what makes other entries give up jobs.
func (e *Entry) asker() *giveup.Asker {
	e.giveUpOnce.Do(func() {
		e.giveUp.Entry, e.giveUp.Incarnation = e.Name, e.Incarnation
		e.giveUp.Ask, e.giveUp.Gates = e.askToGiveUp, e.gatesOf
		e.giveUp.CallGate, e.giveUp.GateView = e.pool.Call, e.gateView
		e.giveUp.Event, e.giveUp.Trace, e.giveUp.Count = e.Event, e.Trace, e.Count
	})
	return &e.giveUp
}

// askToGiveUp asks another entry to give up a job. If fresh is set, it opens a connection for that.
func (e *Entry) askToGiveUp(ctx context.Context, addr, job string, fresh bool) (giveup.Reply, error) {
	pool := &e.pool
	if fresh {
		pool = &peer.Pool{Dial: e.pool.Dial}
		defer pool.Drop(addr)
	}
	reply, err := orderToGiveUp(ctx, pool, addr, job, 0)
	if err == nil && reply.Timestamp != 0 {
		reply, err = orderToGiveUp(ctx, pool, addr, job, reply.Timestamp)
	}
	if err != nil {
		return giveup.Reply{}, err
	}
	return giveup.ReplyOf(reply), nil
}

// orderToGiveUp makes one call for askToGiveUp.
func orderToGiveUp(ctx context.Context, pool *peer.Pool, addr, job string, echoed int64) (*msgs.LookupReply, error) {
	reply := &msgs.LookupReply{}
	m := &msgs.Lookup{Job: job, Cancel: true, Drain: true, EchoedTimestamp: echoed}
	if err := pool.Call(ctx, addr, lookupMethod, m, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// gatesOf returns the gates at which the entry at addr may have tasks: those that it selects from
// the members that are known here. It reports false if too little has been heard of members.
func (e *Entry) gatesOf(addr string) ([]string, bool) {
	first := boot.Time(e.membersHeard.Load())
	if first == 0 || boot.Now() < first.Add(membersSettleTime) {
		return nil, false
	}
	return selectNodes(addr, e.members.Addrs(memb.Gate), maxLinks+gateMargin), true
}

// gateView returns what the link to a gate shows; the zero View without a link.
func (e *Entry) gateView(addr string) link.View {
	e.mu.Lock()
	l := e.links[addr]
	e.mu.Unlock()
	if l == nil {
		return link.View{}
	}
	return l.View(boot.Now())
}

// mayBeOld reports whether an order of another entry that is read now may have been sent
// before this process last stood still. An order that echoes a later timestamp was not.
func (e *Entry) mayBeOld(echoed boot.Time) bool {
	if e.LastStall == nil {
		return false
	}
	return max(echoed, stall.EarliestSend(boot.Now())) < e.LastStall()
}

// RunsElsewhere reports whether another entry runs the job, or has it waiting for capacity, or
// has ended it with tasks that may still be running.
// An entry that does not answer in time counts as not having it, though that is no proof. One that
// has been told of a cancellation proves nothing about those that have not.
func (e *Entry) RunsElsewhere(ctx context.Context, job string) bool {
	return e.askPeersFor(ctx, msgs.Lookup{Job: job, Drain: true}, e.giveUpTimeoutFor, mayRun) != ""
}

// mayRun reports whether tasks of a job with the given state run or may be placed.
func mayRun(state string) bool { return state == StateWaiting || state == StateWorking }

// giveUpTimeoutFor returns how long to wait until an entry answers whether it runs a job. One that
// was slow just now may live.
func (e *Entry) giveUpTimeoutFor(addr string) time.Duration {
	if e.asker().SilentFor(addr) >= giveUpTimeout {
		return silentGiveUpTimeout
	}
	return giveUpTimeout
}
