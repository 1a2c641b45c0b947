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

// Reasons of the entry.
const (
	NoHome      ledger.Reason = "nohome"      // nobody owns the key's shard
	OtherRegion ledger.Reason = "otherregion" // the key belongs to another region
)

const (
	keyTries    = 32                    // fresh keys drawn for a reachable home
	nearTries   = 8                     // of these, drawn for a home in the same domain
	retryPause  = 30 * time.Millisecond // before a key is sent again
	replyMargin = 100 * time.Millisecond
	homeMethod  = "Home.Run"
)

// Job is what a caller asks for. A zero Key asks for a fresh one.
type Job struct {
	Key        jobkey.Key
	Entry      catlg.Entry
	Deadline   time.Time // cluster time
	LookupOnly bool      // only look the key up; start nothing
	Tasks      [][]byte
}

// Relay sends jobs to their homes. All exported fields must be set before use.
type Relay struct {
	Region string
	Domain string
	Clock  *clock.Clock
	View   *view.View
	Pool   *peer.Pool
	Stats  *stats.Set

	watch watch
}

// trip is the way of one job.
type trip struct {
	relay *Relay
	job   Job
	key   jobkey.Key
	until time.Time     // the job's deadline by the local clock
	taken bool          // a home may have taken the key
	last  ledger.Reason // why the last attempt brought no outcome
}

// ours tells whether the key was made here and no home has taken it, so that
// it may be replaced and the job is known not to have run.
func (t *trip) ours() bool { return t.job.Key.IsZero() && !t.taken }

// Do brings the job to its home and returns its key and outcome by the job's
// deadline.
func (r *Relay) Forward(job Job) (jobkey.Key, ledger.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Clock.Until(job.Deadline)+replyMargin)
	defer cancel()
	until := time.Now().Add(r.Clock.Until(job.Deadline))
	t := &trip{relay: r, job: job, key: job.Key, until: until, last: NoHome}
	outcome := t.run(ctx)
	if outcome.State != ledger.Answered {
		r.Stats.CountRefusal(string(outcome.Reason))
	}
	return t.key, outcome
}

func (t *trip) run(ctx context.Context) ledger.Outcome {
	r := t.relay
	if t.key.Region() != "" && t.key.Region() != r.Region {
		return ledger.Outcome{State: ledger.Unknown, Reason: OtherRegion}
	}
	if !r.View.WaitEpoch(ctx, max(1, t.key.Epoch())) {
		return t.failure(ledger.StaleRoster)
	}
	for ctx.Err() == nil {
		if outcome, done := t.attempt(ctx); done {
			return outcome
		}
	}
	return t.failure(t.last)
}

// attempt sends the job to the home of its key once. It reports whether that
// brought an outcome; if not, the job may be sent again.
func (t *trip) attempt(ctx context.Context) (ledger.Outcome, bool) {
	r := t.relay
	next := r.View.Roster().Epoch() + 1
	home, ok := t.home()
	if !ok {
		r.await(ctx, next)
		return ledger.Outcome{}, false
	}
	reply, err := t.send(ctx, home)
	switch {
	case errors.Is(err, peer.ErrDeadlinePassed):
		return t.failure(ledger.DeadlineReached), true
	case errors.Is(err, peer.ErrNotSent) && t.ours():
		t.failed(NoHome)
	case errors.Is(err, peer.ErrNotSent):
		t.failed(NoHome)
		r.await(ctx, next)
	case err != nil:
		t.failed(ledger.ConnectionBroken)
		r.waste("resent")
		r.await(ctx, next)
	case reply.NotOwner:
		t.last = ledger.NotOwner
		r.waste("redirected")
		r.await(ctx, reply.Epoch)
	case reply.NotAccepted && t.ours():
		t.last = ledger.Reason(reply.Reason)
		r.Stats.CountRetry(reply.Reason)
		r.waste("refused")
		r.await(ctx, next)
	default:
		return outcomeOf(reply), true
	}
	return ledger.Outcome{}, false
}

// send sends the job to a home and waits for its reply.
func (t *trip) send(ctx context.Context, home roster.Node) (*msgs.RunReply, error) {
	reply := &msgs.RunReply{}
	args := &msgs.Run{
		Key:        t.key.String(),
		Entry:      t.job.Entry.Name,
		Service:    t.job.Entry.Service,
		Epoch:      t.relay.View.Roster().Epoch(),
		Deadline:   msgs.Millis(t.job.Deadline),
		TimeLeft:   time.Until(t.until).Milliseconds(),
		LookupOnly: t.job.LookupOnly,
		Tasks:      t.job.Tasks,
	}
	t.relay.watch.calling(home.Addr, time.Now())
	err := t.relay.Pool.Call(ctx, home.Addr, homeMethod, args, reply)
	t.relay.watch.called(home.Addr, err == nil, time.Now())
	if err != nil && !errors.Is(err, peer.ErrNotSent) || err == nil && !reply.NotAccepted {
		t.taken = true
	}
	return reply, err
}

// failed takes note of a call that brought no reply.
func (t *trip) failed(reason ledger.Reason) {
	t.last = reason
	t.relay.Stats.CountRetry(string(reason))
}

// failure returns the honest failure of a job without a reply: notrun if the
// key was made here and no home took it, unknown else.
func (t *trip) failure(reason ledger.Reason) ledger.Outcome {
	state := ledger.Unknown
	if t.ours() {
		state = ledger.NotRun
	}
	return ledger.Outcome{State: state, Reason: reason}
}

// home returns the home of the job's key. For a key of the entry's own it draws
// keys until one has a home that can be reached, best in the same domain.
func (t *trip) home() (roster.Node, bool) {
	r := t.relay
	newest := r.View.Roster()
	if !t.ours() {
		return newest.Owner(t.key.Shard(len(newest.Shards())))
	}
	var found roster.Node
	ok := false
	for i := range keyTries {
		key := jobkey.New(r.Region, newest.Epoch(), t.job.Deadline)
		home, owned := newest.Owner(key.Shard(len(newest.Shards())))
		if !owned || home.Leaving || r.watch.suspected(home.Addr) {
			continue
		}
		if ok && home.Domain != r.Domain {
			continue
		}
		t.key = key
		found = home
		ok = true
		if home.Domain == r.Domain || i >= nearTries {
			break
		}
	}
	return found, ok
}

// await waits for the roster to reach epoch, for a moment at most.
func (r *Relay) await(ctx context.Context, epoch uint64) {
	ctx, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	r.View.WaitEpoch(ctx, epoch)
}

func (r *Relay) waste(reason string) { r.Stats.Add("wasted."+reason, 1) }

func outcomeOf(reply *msgs.RunReply) ledger.Outcome {
	return ledger.Outcome{
		State: ledger.State(reply.State), Reason: ledger.Reason(reply.Reason), Answers: reply.Answers,
	}
}
