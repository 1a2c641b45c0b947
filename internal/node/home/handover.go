package home

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

const (
	takeTimeout       = time.Second            // for one attempt to request a handover
	retryPause        = 50 * time.Millisecond  // between two attempts
	settleTimeout     = 500 * time.Millisecond // for one attempt to send an outcome
	maxSettleAttempts = 10
)

// takeOver requests the handover of a shard from its previous owner, until that
// incarnation has handed it over or no longer exists.
func (h *Home) takeOver(inc *incarnation, t ledger.Takeover) {
	for inc.ledger.HandoverPending(t.Shard, t.MoveEpoch) {
		reply, err := h.callTake(t)
		switch {
		case err == nil && reply.OK:
			inc.ledger.AcceptHandover(t.Shard, t.MoveEpoch, reply.Handover)
			h.Stats.Count("shards.taken")
			return
		case err == nil && reply.WrongIncarnation || errors.Is(err, peer.ErrRefused):
			h.abandonHandover(inc, t)
			return
		}
		h.Stats.CountRetry("take")
		if _, inRoster := h.View.Roster().Find(t.From.Ref); !inRoster {
			h.abandonHandover(inc, t)
			return
		}
		time.Sleep(retryPause)
	}
}

// callTake requests the handover once.
func (h *Home) callTake(t ledger.Takeover) (*msgs.TakeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	reply := &msgs.TakeReply{}
	args := &msgs.Take{Incarnation: t.From.Inc, Shard: t.Shard, MoveEpoch: t.MoveEpoch}
	return reply, h.Pool.Call(ctx, t.From.Addr, "Home.Take", args, reply)
}

// abandonHandover ends the wait for the handover, whose records are then lost.
func (h *Home) abandonHandover(inc *incarnation, t ledger.Takeover) {
	inc.ledger.AbandonHandover(t.Shard, t.MoveEpoch, h.Clock.Now())
	h.Stats.Count("shards.lost")
}

// Take is the net/rpc method by which the new owner of a shard requests its
// handover from the previous owner.
func (h *Home) Take(args *msgs.Take, reply *msgs.TakeReply) error {
	inc := h.currentIncarnation()
	if inc.ref.Inc != args.Incarnation {
		reply.WrongIncarnation = true
		return nil
	}
	reply.Handover, reply.OK = inc.ledger.Seal(args.Shard, args.MoveEpoch, h.Clock.Now())
	if reply.OK {
		h.Stats.Count("shards.handed")
	}
	return nil
}

// sendOutcome sends the outcome of a job to the present owner of its key, after
// the shard has moved away. If all attempts fail, the outcome is lost.
func (h *Home) sendOutcome(rec *ledger.Record, o ledger.Outcome) {
	args := &msgs.Settle{
		Key: rec.Key.String(), RetainUntil: msgs.Millis(rec.RetainUntil), State: int(o.State),
		Reason: string(o.Reason), Answers: o.Answers,
	}
	for range maxSettleAttempts {
		r := h.View.Roster()
		owner, ok := r.Owner(rec.Key.Shard(len(r.Shards())))
		if ok && h.callSettle(owner.Addr, args) == nil {
			return
		}
		time.Sleep(retryPause)
	}
	h.Stats.Count("settle.lost")
}

// callSettle sends the outcome of a job to the home at addr once.
func (h *Home) callSettle(addr string, args *msgs.Settle) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return h.Pool.Call(ctx, addr, "Home.Settle", args, &msgs.Empty{})
}

// Settle is the net/rpc method by which a previous owner of a shard sends the
// outcome of a job that ended after the shard had moved.
func (h *Home) Settle(args *msgs.Settle, _ *msgs.Empty) error {
	key, err := jobkey.Parse(args.Key)
	if err != nil {
		return err
	}
	h.currentIncarnation().ledger.RecordOutcome(key, msgs.Time(args.RetainUntil), ledger.Outcome{
		State: ledger.State(args.State), Reason: ledger.Reason(args.Reason), Answers: args.Answers,
	})
	return nil
}
