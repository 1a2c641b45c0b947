package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// Authority is how long an entry's tasks run on after the moment at which
	// the gate made the newest stamp that the entry has echoed.
	EntryLease = 500 * time.Millisecond
	// Lease is how far ahead of the target's clock deadlines lie.
	TargetLease = 600 * time.Millisecond
	// stopSlack covers the tick that notices a lapsed lease and three attempts
	// to stop a task.
	stopSlack = 150 * time.Millisecond
	// Silence is the longest that a task can run on after the entry received
	// the newest stamp that it has echoed, whatever happened to the gate.
	MaxOrphanTime = EntryLease + TargetLease*100/98 + stopSlack
)

// renew notes the stamp that a sender echoed.
func (g *Gate) renew(s msgs.Sender) {
	if g.senders.Renew(s.Entry, s.Life, boot.Time(s.Echo).Add(EntryLease), g.now()) {
		g.event("sender", "entry", s.Entry, "life", s.Life)
	}
}

// lives tells whether the sender's lease holds now.
func (g *Gate) lives(s msgs.Sender) bool { return g.senders.Holds(s.Entry, s.Life, g.now()) }

// expire gives up the tasks of senders whose lease has lapsed.
func (g *Gate) expire(now boot.Time) {
	for _, lapse := range g.senders.Lapsed(now) {
		g.event("entry_lapsed", "entry", lapse.Holder, "life", lapse.Life, "since", now.Sub(lapse.Until))
	}
	for _, r := range g.tasks {
		if r.phase != over && !g.lives(r.msg.Sender) {
			g.abandon(r, cause.LeaseExpired)
		}
	}
}

// abandon takes r from the queue, or has it stopped.
func (g *Gate) abandon(r *run, reason string) {
	switch {
	case r.phase == over || r.cancel:
	case r.phase == queued:
		g.dequeue(r)
		g.finish(r, msgs.Refused, reason)
	default:
		r.cancel = true
		r.because = reason
		g.count(cause.Stopped + reason)
		if r.phase == running {
			g.stopNow(r, g.now())
		}
	}
}

// deadline returns the target's time at which an order sent at now ends, and
// notes how long what runs there may run on.
func (g *Gate) deadline(now boot.Time) int64 {
	g.leaseEnd = max(g.leaseEnd, now.Add(TargetLease*100/98))
	return g.clock.At(now) + TargetLease.Milliseconds()
}
