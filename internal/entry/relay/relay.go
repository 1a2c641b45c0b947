package relay

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Reasons given by an entry.
const (
	NoHome      ledger.Reason = "nohome"      // the shard of the key has no owner that can be reached
	OtherRegion ledger.Reason = "otherregion" // the key belongs to another region
)

const (
	maxDrawnKeys   = 32                     // keys generated to find one whose home can be reached
	sameDomainKeys = 8                      // after so many keys, the first home found is accepted in any failure domain
	retryPause     = 30 * time.Millisecond  // longest wait before the job is sent again
	replyMargin    = 100 * time.Millisecond // added to the deadline of the job for the reply to arrive
	runMethod      = "Home.Run"
)

// Job is the request of a caller. If Key is zero, the relay generates one.
type Job struct {
	Key        jobkey.Key
	Entry      catlg.Entry
	Deadline   time.Time // cluster time
	LookupOnly bool      // look the key up without starting anything
	Tasks      [][]byte
}

// Relay forwards jobs to their homes. All exported fields must be set before use.
type Relay struct {
	Region string
	Domain string
	Clock  *clock.Clock
	View   *view.View
	Pool   *peer.Pool
	Stats  *stats.Set

	health healthTracker
}

// delivery is the state of forwarding one job.
type delivery struct {
	relay         *Relay
	job           Job
	key           jobkey.Key
	deadline      time.Time     // of the job, by the local clock
	maybeAccepted bool          // a home may have accepted the key
	lastFailure   ledger.Reason // reason why the last attempt yielded no outcome
}

// keyReplaceable reports whether the key is to be generated here and no home can have
// accepted it, so that it may be replaced and the job is known not to have run.
func (d *delivery) keyReplaceable() bool { return d.job.Key.IsZero() && !d.maybeAccepted }

// Forward forwards the job to its home and returns its key and outcome, at most
// replyMargin after the deadline of the job.
func (r *Relay) Forward(job Job) (jobkey.Key, ledger.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Clock.Until(job.Deadline)+replyMargin)
	defer cancel()
	deadline := time.Now().Add(r.Clock.Until(job.Deadline))
	d := &delivery{relay: r, job: job, key: job.Key, deadline: deadline, lastFailure: NoHome}
	outcome := d.run(ctx)
	if outcome.State != ledger.Answered {
		r.Stats.CountRefusal(string(outcome.Reason))
	}
	return d.key, outcome
}

// run repeats attempts until one yields an outcome or ctx ends.
func (d *delivery) run(ctx context.Context) ledger.Outcome {
	r := d.relay
	if d.key.Region() != "" && d.key.Region() != r.Region {
		return ledger.Outcome{State: ledger.Unknown, Reason: OtherRegion}
	}
	if !r.View.WaitEpoch(ctx, max(1, d.key.Epoch())) {
		return d.failureOutcome(ledger.StaleRoster)
	}
	for ctx.Err() == nil {
		if outcome, done := d.attempt(ctx); done {
			return outcome
		}
	}
	return d.failureOutcome(d.lastFailure)
}

// attempt sends the job to the home of its key once. It returns false if that yielded
// no outcome, and the job may be sent again.
func (d *delivery) attempt(ctx context.Context) (ledger.Outcome, bool) {
	r := d.relay
	nextEpoch := r.View.Roster().Epoch() + 1
	home, ok := d.chooseHome()
	if !ok {
		r.awaitEpoch(ctx, nextEpoch)
		return ledger.Outcome{}, false
	}
	reply, err := d.send(ctx, home)
	switch {
	case errors.Is(err, peer.ErrDeadlinePassed):
		return d.failureOutcome(ledger.DeadlineReached), true
	case errors.Is(err, peer.ErrNotSent) && d.keyReplaceable():
		d.recordFailure(NoHome)
	case errors.Is(err, peer.ErrNotSent):
		d.recordFailure(NoHome)
		r.awaitEpoch(ctx, nextEpoch)
	case err != nil:
		d.recordFailure(ledger.ConnectionBroken)
		r.countExtraMessage("resent")
		r.awaitEpoch(ctx, nextEpoch)
	case reply.NotOwner:
		d.lastFailure = ledger.NotOwner
		r.countExtraMessage("redirected")
		r.awaitEpoch(ctx, reply.Epoch)
	case reply.NotAccepted && d.keyReplaceable():
		d.lastFailure = ledger.Reason(reply.Reason)
		r.Stats.CountRetry(reply.Reason)
		r.countExtraMessage("refused")
		r.awaitEpoch(ctx, nextEpoch)
	default:
		return outcomeOf(reply), true
	}
	return ledger.Outcome{}, false
}

// send sends the job to a home and waits for the reply.
func (d *delivery) send(ctx context.Context, home roster.Node) (*msgs.RunReply, error) {
	reply := &msgs.RunReply{}
	args := &msgs.Run{
		Key:        d.key.String(),
		Entry:      d.job.Entry.Name,
		Service:    d.job.Entry.Service,
		Epoch:      d.relay.View.Roster().Epoch(),
		Deadline:   msgs.Millis(d.job.Deadline),
		TimeLeft:   time.Until(d.deadline).Milliseconds(),
		LookupOnly: d.job.LookupOnly,
		Tasks:      d.job.Tasks,
	}
	d.relay.health.callStarted(home.Addr, time.Now())
	err := d.relay.Pool.Call(ctx, home.Addr, runMethod, args, reply)
	d.relay.health.callEnded(home.Addr, err == nil, time.Now())
	if err != nil && !errors.Is(err, peer.ErrNotSent) || err == nil && !reply.NotAccepted {
		d.maybeAccepted = true
	}
	return reply, err
}

// recordFailure records the reason of a call without a reply.
func (d *delivery) recordFailure(reason ledger.Reason) {
	d.lastFailure = reason
	d.relay.Stats.CountRetry(string(reason))
}

// failureOutcome returns the outcome of a job without a reply: NotRun if the key is
// generated here and no home can have accepted it, and otherwise Unknown.
func (d *delivery) failureOutcome(reason ledger.Reason) ledger.Outcome {
	state := ledger.Unknown
	if d.keyReplaceable() {
		state = ledger.NotRun
	}
	return ledger.Outcome{State: state, Reason: reason}
}

// chooseHome returns the home of the job's key, or false if there is none. If the key
// is replaceable, it generates keys until one has a home that is neither leaving nor
// suspected, preferably in the entry's failure domain.
func (d *delivery) chooseHome() (roster.Node, bool) {
	r := d.relay
	newest := r.View.Roster()
	if !d.keyReplaceable() {
		return newest.Owner(d.key.Shard(len(newest.Shards())))
	}
	var found roster.Node
	ok := false
	for i := range maxDrawnKeys {
		key := jobkey.New(r.Region, newest.Epoch(), d.job.Deadline)
		home, owned := newest.Owner(key.Shard(len(newest.Shards())))
		if !owned || home.Leaving || r.health.isSuspect(home.Addr) {
			continue
		}
		if ok && home.Domain != r.Domain {
			continue
		}
		d.key = key
		found = home
		ok = true
		if home.Domain == r.Domain || i >= sameDomainKeys {
			break
		}
	}
	return found, ok
}

// awaitEpoch waits until the roster has the given epoch, for at most retryPause.
func (r *Relay) awaitEpoch(ctx context.Context, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	r.View.WaitEpoch(ctx, epoch)
}

// countExtraMessage counts a message in addition to the single one that each job
// needs, for the given reason.
func (r *Relay) countExtraMessage(reason string) { r.Stats.Add("wasted."+reason, 1) }

func outcomeOf(reply *msgs.RunReply) ledger.Outcome {
	return ledger.Outcome{
		State: ledger.State(reply.State), Reason: ledger.Reason(reply.Reason), Answers: reply.Answers,
	}
}
