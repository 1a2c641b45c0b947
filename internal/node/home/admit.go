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

// Reasons of the home.
const (
	UnknownKey   ledger.Reason = "unseen"    // the home holds no such key
	EntryRemoved ledger.Reason = "withdrawn" // the catalogue no longer has the entry
)

var errTaskCount = merry.Sentinel("a job must have 1 to 300 tasks")

// Run handles one message of an entry: it runs the job, or waits for it if the
// key is known, and answers by the job's deadline.
func (h *Home) Run(args *msgs.Run, reply *msgs.RunReply) error {
	key, err := jobkey.Parse(args.Key)
	if err != nil {
		return err
	}
	if !args.Look && (len(args.Tasks) == 0 || len(args.Tasks) > catlg.MaxTasks) {
		return errTaskCount
	}
	timeout := time.Duration(args.Left) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if h.waitForEpoch(ctx, max(args.Epoch, key.Birth())) {
		h.admit(ctx, key, args, reply)
	} else {
		reply.Untaken = true
		setOutcome(reply, unknownOutcome(ledger.StaleRoster))
	}
	reply.Epoch = h.View.Roster().Epoch()
	if reply.State != int(ledger.Answered) && reply.Reason != "" {
		h.Stats.Refused(reply.Reason)
	}
	return nil
}

// catchUp waits until the home's roster has the given epoch.
func (h *Home) waitForEpoch(ctx context.Context, epoch uint64) bool {
	if !h.View.WaitEpoch(ctx, epoch) {
		return false
	}
	h.UpdateRoster(h.View.Roster())
	return true
}

func (h *Home) admit(ctx context.Context, key jobkey.Key, args *msgs.Run, reply *msgs.RunReply) {
	inc := h.currentIncarnation()
	if args.Look {
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
			reply.Moved = true
		}
		reply.Untaken = true
		setOutcome(reply, admission.Outcome)
		return
	}
}

func (h *Home) lookUp(ctx context.Context, inc *incarnation, key jobkey.Key, reply *msgs.RunReply) {
	rec, ok := inc.ledger.Lookup(key)
	if !ok {
		setOutcome(reply, unknownOutcome(UnknownKey))
		return
	}
	setOutcome(reply, awaitOutcome(ctx, rec))
}

// await waits for a record's outcome until ctx ends.
func awaitOutcome(ctx context.Context, rec *ledger.Record) ledger.Outcome {
	if waitFor(ctx, rec.Done()) {
		return rec.Outcome()
	}
	return unknownOutcome(ledger.DeadlineReached)
}

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

// admitLimits takes room for the job within its entry's limits. The catalogue
// in force now decides, not the one the job came with.
func (h *Home) acquireLimits(args *msgs.Run, now time.Time) ledger.Reason {
	e, ok := h.View.Catalogue().Get(args.Entry)
	if !ok {
		return EntryRemoved
	}
	return h.limiter.Acquire(e, len(args.Tasks), now)
}
