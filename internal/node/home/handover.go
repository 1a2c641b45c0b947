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
	takeTimeout   = time.Second            // for one try to fetch a shard
	takePause     = 50 * time.Millisecond  // between two tries
	settleTimeout = 500 * time.Millisecond // for one try to tell an outcome
	settleTries   = 10
)

// takeOver fetches a shard from its former owner, until that has handed it
// over or is gone.
func (h *Home) takeOver(l *life, t ledger.Takeover) {
	for l.ledger.HandoverPending(t.Shard, t.MoveEpoch) {
		reply, err := h.take(t)
		switch {
		case err == nil && reply.OK:
			l.ledger.AcceptHandover(t.Shard, t.MoveEpoch, reply.Handover)
			h.Stats.Count("shards.taken")
			return
		case err == nil && reply.WrongIncarnation || errors.Is(err, peer.ErrRefused):
			h.giveUp(l, t)
			return
		}
		h.Stats.CountRetry("take")
		if _, listed := h.View.Roster().Find(t.From.Ref); !listed {
			h.giveUp(l, t)
			return
		}
		time.Sleep(takePause)
	}
}

func (h *Home) take(t ledger.Takeover) (*msgs.TakeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	reply := &msgs.TakeReply{}
	args := &msgs.Take{Incarnation: t.From.Inc, Shard: t.Shard, MoveEpoch: t.MoveEpoch}
	return reply, h.Pool.Call(ctx, t.From.Addr, "Home.Take", args, reply)
}

func (h *Home) giveUp(l *life, t ledger.Takeover) {
	l.ledger.AbandonHandover(t.Shard, t.MoveEpoch, h.Clock.Now())
	h.Stats.Count("shards.lost")
}

// Take hands a shard over to its new owner.
func (h *Home) Take(args *msgs.Take, reply *msgs.TakeReply) error {
	l := h.present()
	if l.ref.Inc != args.Incarnation {
		reply.WrongIncarnation = true
		return nil
	}
	reply.Handover, reply.OK = l.ledger.Seal(args.Shard, args.MoveEpoch, h.Clock.Now())
	if reply.OK {
		h.Stats.Count("shards.handed")
	}
	return nil
}

// settleElsewhere tells the new owner of a key the outcome of its job.
func (h *Home) settleElsewhere(rec *ledger.Record, o ledger.Outcome) {
	args := &msgs.Settle{
		Key: rec.Key.String(), RetainUntil: msgs.Millis(rec.RetainUntil), State: int(o.State),
		Reason: string(o.Reason), Answers: o.Answers,
	}
	for range settleTries {
		r := h.View.Roster()
		owner, ok := r.Owner(rec.Key.Shard(len(r.Shards())))
		if ok && h.settle(owner.Addr, args) == nil {
			return
		}
		time.Sleep(takePause)
	}
	h.Stats.Count("settle.lost")
}

func (h *Home) settle(addr string, args *msgs.Settle) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	return h.Pool.Call(ctx, addr, "Home.Settle", args, &msgs.Empty{})
}

// Settle takes the outcome of a job that a former owner ran to its end.
func (h *Home) Settle(args *msgs.Settle, _ *msgs.Empty) error {
	key, err := jobkey.Parse(args.Key)
	if err != nil {
		return err
	}
	h.present().ledger.RecordOutcome(key, msgs.Time(args.RetainUntil), ledger.Outcome{
		State: ledger.State(args.State), Reason: ledger.Reason(args.Reason), Answers: args.Answers,
	})
	return nil
}
