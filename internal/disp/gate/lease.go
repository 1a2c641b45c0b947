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
	Authority = 500 * time.Millisecond
	// Lease is how far ahead of the target's clock deadlines lie.
	Lease = 600 * time.Millisecond
	// clockRate is the slowest that a target's clock runs, against real time.
	clockRate = 0.98
	// keepSender is how long a sender is remembered after its lease has lapsed.
	keepSender = time.Minute
	// stopSlack covers the tick that notices a lapsed lease and three attempts
	// to stop a task.
	stopSlack = 150 * time.Millisecond
	// Silence is the longest that a task can run on after the entry received
	// the newest stamp that it has echoed, whatever happened to the gate.
	Silence = Authority + Lease*100/98 + stopSlack
)

// sender is what is known of one entry.
type sender struct {
	life   uint64
	until  boot.Time // when its lease lapses
	lapsed bool      // the lapse has been noticed
}

// renew notes the stamp that a sender echoed. A new life of a sender gives up
// all that its former life had here.
func (g *Gate) renew(s msgs.Sender) {
	if g.senders == nil {
		g.senders = map[string]*sender{}
	}
	known := g.senders[s.Entry]
	if known == nil || known.life != s.Life {
		known = &sender{life: s.Life}
		g.senders[s.Entry] = known
		g.event("sender", "entry", s.Entry, "life", s.Life)
	}
	known.until = max(known.until, boot.Time(s.Echo).Add(Authority))
	known.lapsed = known.lapsed && g.now() >= known.until
}

// lives tells whether the sender's lease holds now.
func (g *Gate) lives(s msgs.Sender) bool {
	known := g.senders[s.Entry]
	return known != nil && known.life == s.Life && g.now() < known.until
}

// expire gives up the tasks of senders whose lease has lapsed, and forgets
// senders that have been silent for long.
func (g *Gate) expire(now boot.Time) {
	for name, s := range g.senders {
		if now >= s.until && !s.lapsed {
			s.lapsed = true
			g.event("entry_lapsed", "entry", name, "life", s.life, "since", now.Sub(s.until))
		}
		if now.Sub(s.until) > keepSender {
			delete(g.senders, name)
		}
	}
	for _, r := range g.tasks {
		if r.phase != over && !g.lives(r.msg.Sender) {
			g.abandon(r, cause.Expired)
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

// targetClock is a lower bound of the target's clock.
type targetClock struct {
	set   bool
	read  int64     // ms
	after boot.Time // a moment at which the target's clock was at read or later
}

// note takes in a reading that arrived at now.
func (c *targetClock) note(read int64, now boot.Time) {
	if !c.set || read > c.at(now) {
		*c = targetClock{set: true, read: read, after: now}
	}
}

// at returns the least that the target's clock can show at now, in ms.
func (c *targetClock) at(now boot.Time) int64 {
	return c.read + int64(clockRate*float64(now.Sub(c.after))/float64(time.Millisecond))
}

// deadline returns the target's time at which an order sent at now ends, and
// notes how long what runs there may run on.
func (g *Gate) deadline(now boot.Time) int64 {
	g.leaseEnd = max(g.leaseEnd, now.Add(Lease*100/98))
	return g.clock.at(now) + Lease.Milliseconds()
}
