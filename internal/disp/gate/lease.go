package gate

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// EntryLease is the duration of an entry's lease on its tasks, from the newest
	// of the gate's timestamps that the entry has echoed.
	EntryLease = 500 * time.Millisecond
	// TargetLease is the duration of the lease on the runs at the target, by the
	// target's clock. Deadlines of orders lie as far ahead.
	TargetLease = 500 * time.Millisecond
	// maxGrantedLease is the longest lease that a target grants, by its own clock,
	// whatever deadline an order asks for.
	maxGrantedLease = time.Second
	// restartedLeaseExcess is how much longer than TargetLease the lease is that a target grants
	// which has restarted under its ID: its clock starts anew, so each deadline is far ahead.
	restartedLeaseExcess = (maxGrantedLease - TargetLease) * 100 / 98
	// stopSlack is how long the target's lease may still be renewed beside a run that has
	// to end. It covers the tick that detects a lapsed lease and two attempts to stop the
	// run.
	stopSlack = 150 * time.Millisecond
	// MaxOrphanTime is the longest time that an entry's task can keep running after
	// the entry received the newest timestamp that it has echoed, whatever happens
	// to the gate. A target's clock may run at targ.MinRate, hence 100/98, and it may take
	// as long to end what has lapsed as what it is ordered to stop.
	MaxOrphanTime = EntryLease + TargetLease*100/98 + stopSlack + defaultStopTime + stopMargin
)

// renewEntryLease extends the sender's lease to EntryLease after the timestamp that
// it echoes. A lease that has lapsed is not extended but begins anew: the tasks that it
// covered are abandoned first. So are those of a former incarnation, whose lease is forgotten.
func (g *Gate) renewEntryLease(s msgs.Sender) {
	now := g.now()
	if !g.entryLeases.Holds(s.Entry, s.Incarnation, now) {
		g.expireEntries(now)
	}
	if g.entryLeases.Renew(s.Entry, s.Incarnation, boot.Time(s.EchoedTimestamp).Add(EntryLease), g.now()) {
		g.event("sender", "entry", s.Entry, "life", s.Incarnation)
		g.expireEntries(now)
	}
}

// leaseValid reports whether the sender holds a lease on its tasks.
func (g *Gate) leaseValid(s msgs.Sender) bool {
	return g.entryLeases.Holds(s.Entry, s.Incarnation, g.now())
}

// expireEntries abandons the tasks of entries whose lease has lapsed.
func (g *Gate) expireEntries(now boot.Time) {
	for _, lapse := range g.entryLeases.NewlyLapsed(now) {
		g.event("entry_lapsed", "entry", lapse.Holder, "life", lapse.Incarnation, "since", now.Sub(lapse.Expiry))
	}
	for _, r := range g.tasks {
		if !r.isOver() && !g.leaseValid(r.msg.Sender) {
			g.abandon(r, cause.LeaseExpired)
		}
	}
}

// abandon refuses r if it is queued, and otherwise stops its run. It does nothing
// if r has finished or is being stopped already.
func (g *Gate) abandon(r *run, reason string) {
	if now := g.now(); r.orphanedAt == 0 && (reason == cause.LeaseExpired || reason == cause.Cancelled || reason == cause.Revoked) {
		r.orphanedAt = now.Add(-max(0, g.entryLeases.LapsedFor(r.msg.Entry, r.msg.Incarnation, now)))
	}
	switch {
	case r.isOver() || r.state.Stopping():
	case r.state.Phase() == start.Queued:
		g.dequeue(r)
		g.finish(r, msgs.Refused, reason)
	default:
		r.state, r.stopReason = r.state.Stop(g.now()), reason
		g.count(cause.StoppedPrefix + reason)
		if r.state.InProgress() {
			g.stopNow(r, g.now())
		}
	}
}

// hasOverdueRun reports whether a run has outlived its entry's lease, its cancellation or the
// revocation of its job by stopSlack. Its task may soon be started elsewhere, so it has to end with the target's
// lease if the orders to stop it get lost, even though that ends all other runs too.
func (g *Gate) hasOverdueRun(now boot.Time) bool { return g.longestOutlived(now) >= stopSlack }

// longestOutlived returns for how long a run has outlived its entry's lease, or its
// cancellation, at most, or has been known not to be of this process. It is 0 if none has.
func (g *Gate) longestOutlived(now boot.Time) time.Duration {
	longest := time.Duration(0)
	for _, r := range g.unknownRuns {
		longest = max(longest, r.orphanedFor(now))
	}
	for _, r := range g.runs {
		longest = max(longest, r.orphanedFor(now), g.entryLeases.LapsedFor(r.msg.Entry, r.msg.Incarnation, now))
	}
	return longest
}

// orphanedFor returns for how long r has been orphaned at now; 0 if it is not.
func (r *run) orphanedFor(now boot.Time) time.Duration {
	if r.orphanedAt == 0 {
		return 0
	}
	return now.Sub(r.orphanedAt)
}

// extendTargetLease returns the deadline of an order or renewal that is sent now, in ms
// of the target's clock. It raises leaseEnd to the time by which that clock has
// reached the deadline at the latest. Beside an overdue run the deadline is one that could
// have been given before the run was overdue: the caller has checked that there is none, but
// the process may have stood still since.
func (g *Gate) extendTargetLease() int64 {
	now := g.steady() // before the leases are looked at
	g.leaseEnd = max(g.leaseEnd, now.Add(TargetLease*100/98))
	overdue := max(0, g.longestOutlived(g.now())-stopSlack)
	return g.clock.At(now) + (TargetLease - overdue).Milliseconds()
}
