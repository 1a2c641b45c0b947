package home

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Reasons given by a home for not running a job.
const (
	UnknownKey   ledger.Reason = "unseen"    // the home has no record of the key
	EntryRemoved ledger.Reason = "withdrawn" // the catalogue no longer has the entry of the job
)

var errTaskCount = merry.Sentinel("a job must have 1 to 300 tasks")

// Run is the net/rpc method by which an entry submits a job or looks up a key.
// It runs the job, or waits for its outcome if the key is already known, and
// replies by the deadline of the job. It returns an error if the request is
// malformed.
func (h *Home) Run(args *msgs.Run, reply *msgs.RunReply) error {
	key, err := jobkey.Parse(args.Key)
	if err != nil {
		return err
	}
	if !args.LookupOnly && (len(args.Tasks) == 0 || len(args.Tasks) > catlg.MaxTasks) {
		return errTaskCount
	}
	timeout := time.Duration(args.TimeLeft) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if h.waitForEpoch(ctx, max(args.Epoch, key.Epoch())) {
		h.admit(ctx, key, args, reply)
	} else {
		reply.NotAccepted = true
		setOutcome(reply, unknownOutcome(ledger.StaleRoster))
	}
	reply.Epoch = h.View.Roster().Epoch()
	if reply.State != int(ledger.Answered) && reply.Reason != "" {
		h.Stats.CountRefusal(reply.Reason)
	}
	return nil
}

// waitForEpoch waits until the home has a roster of the given epoch or a newer
// one, and applies it. It returns false if ctx ends first.
func (h *Home) waitForEpoch(ctx context.Context, epoch uint64) bool {
	if !h.View.WaitEpoch(ctx, epoch) {
		return false
	}
	h.UpdateRoster(h.View.Roster())
	return true
}

// admit runs the job, waits for its outcome, or refuses it, as the ledger decides.
func (h *Home) admit(ctx context.Context, key jobkey.Key, args *msgs.Run, reply *msgs.RunReply) {
	inc := h.currentIncarnation()
	if args.LookupOnly {
		h.lookUp(ctx, inc, key, reply)
		return
	}
	for {
		admission := inc.ledger.Admit(key, h.Clock.Now())
		switch admission.Decision {
		case ledger.Run:
			h.Stats.Count("jobs")
			h.startJob(ctx, inc, admission.Record, args)
			setOutcome(reply, awaitOutcome(ctx, admission.Record))
			return
		case ledger.Join:
			h.Stats.Count("joined")
			setOutcome(reply, awaitOutcome(ctx, admission.Record))
			return
		case ledger.AwaitHandover:
			if waitFor(ctx, admission.HandoverDone) {
				continue
			}
			admission.Outcome = unknownOutcome(ledger.OwnerLost)
		case ledger.RefreshRoster:
			admission.Outcome = unknownOutcome(ledger.StaleRoster)
		case ledger.Redirect:
			reply.NotOwner = true
		}
		reply.NotAccepted = true
		setOutcome(reply, admission.Outcome)
		return
	}
}

// lookUp waits for the outcome of a key that has a record, and starts nothing.
func (h *Home) lookUp(ctx context.Context, inc *incarnation, key jobkey.Key, reply *msgs.RunReply) {
	rec, ok := inc.ledger.Lookup(key)
	if !ok {
		setOutcome(reply, unknownOutcome(UnknownKey))
		return
	}
	setOutcome(reply, awaitOutcome(ctx, rec))
}

// awaitOutcome returns the outcome of a record once it is set. If ctx ends first,
// it returns an unknown outcome with the reason ledger.DeadlineReached.
func awaitOutcome(ctx context.Context, rec *ledger.Record) ledger.Outcome {
	if waitFor(ctx, rec.Done()) {
		return rec.Outcome()
	}
	return unknownOutcome(ledger.DeadlineReached)
}

// waitFor waits until done is closed. It returns false if ctx ends first.
func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func setOutcome(reply *msgs.RunReply, o ledger.Outcome) {
	reply.State = int(o.State)
	reply.Reason = string(o.Reason)
	reply.Answers = o.Answers
}

func unknownOutcome(reason ledger.Reason) ledger.Outcome {
	return ledger.Outcome{State: ledger.Unknown, Reason: reason}
}

func notRunOutcome(reason ledger.Reason) ledger.Outcome {
	return ledger.Outcome{State: ledger.NotRun, Reason: reason}
}

// acquireLimits reserves capacity for all tasks of the job within the limits of
// its entry. It uses the limits in the home's present catalogue, which may be
// newer than the one that the entry process used. It returns the reason if the
// job is refused, and otherwise the empty string.
func (h *Home) acquireLimits(args *msgs.Run, now time.Time) ledger.Reason {
	e, ok := h.View.Catalogue().Get(args.Entry)
	if !ok {
		return EntryRemoved
	}
	return h.limiter.Acquire(e, len(args.Tasks), now)
}
