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

var errTasks = merry.Sentinel("a job must have 1 to 300 tasks")

// Run handles one message of an entry: it runs the job, or waits for it if the
// key is known, and answers by the job's deadline.
func (h *Home) Run(args *msgs.Run, reply *msgs.RunReply) error {
	key, err := jobkey.Parse(args.Key)
	if err != nil {
		return err
	}
	if !args.LookupOnly && (len(args.Tasks) == 0 || len(args.Tasks) > catlg.MaxTasks) {
		return errTasks
	}
	left := time.Duration(args.TimeLeft) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if h.catchUp(ctx, max(args.Epoch, key.Epoch())) {
		h.serve(ctx, key, args, reply)
	} else {
		reply.NotAccepted = true
		fill(reply, unknown(ledger.StaleRoster))
	}
	reply.Epoch = h.View.Roster().Epoch()
	if reply.State != int(ledger.Answered) && reply.Reason != "" {
		h.Stats.CountRefusal(reply.Reason)
	}
	return nil
}

// catchUp waits until the home's roster has the given epoch.
func (h *Home) catchUp(ctx context.Context, epoch uint64) bool {
	if !h.View.WaitEpoch(ctx, epoch) {
		return false
	}
	h.UpdateRoster(h.View.Roster())
	return true
}

func (h *Home) serve(ctx context.Context, key jobkey.Key, args *msgs.Run, reply *msgs.RunReply) {
	l := h.present()
	if args.LookupOnly {
		h.look(ctx, l, key, reply)
		return
	}
	for {
		v := l.ledger.Admit(key, h.Clock.Now())
		switch v.Decision {
		case ledger.Run:
			h.Stats.Count("jobs")
			h.begin(ctx, l, v.Record, args)
			fill(reply, await(ctx, v.Record))
			return
		case ledger.Join:
			h.Stats.Count("joined")
			fill(reply, await(ctx, v.Record))
			return
		case ledger.AwaitHandover:
			if waitFor(ctx, v.HandoverDone) {
				continue
			}
			v.Outcome = unknown(ledger.OwnerLost)
		case ledger.RefreshRoster:
			v.Outcome = unknown(ledger.StaleRoster)
		case ledger.Redirect:
			reply.NotOwner = true
		}
		reply.NotAccepted = true
		fill(reply, v.Outcome)
		return
	}
}

func (h *Home) look(ctx context.Context, l *life, key jobkey.Key, reply *msgs.RunReply) {
	rec, ok := l.ledger.Lookup(key)
	if !ok {
		fill(reply, unknown(UnknownKey))
		return
	}
	fill(reply, await(ctx, rec))
}

// await waits for a record's outcome until ctx ends.
func await(ctx context.Context, rec *ledger.Record) ledger.Outcome {
	if waitFor(ctx, rec.Done()) {
		return rec.Outcome()
	}
	return unknown(ledger.DeadlineReached)
}

func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func fill(reply *msgs.RunReply, o ledger.Outcome) {
	reply.State = int(o.State)
	reply.Reason = string(o.Reason)
	reply.Answers = o.Answers
}

func unknown(reason ledger.Reason) ledger.Outcome {
	return ledger.Outcome{State: ledger.Unknown, Reason: reason}
}

func notRun(reason ledger.Reason) ledger.Outcome {
	return ledger.Outcome{State: ledger.NotRun, Reason: reason}
}

// admitLimits takes room for the job within its entry's limits. The catalogue
// in force now decides, not the one the job came with.
func (h *Home) admitLimits(args *msgs.Run, now time.Time) ledger.Reason {
	e, ok := h.View.Catalogue().Get(args.Entry)
	if !ok {
		return EntryRemoved
	}
	return h.limiter.Acquire(e, len(args.Tasks), now)
}
