package proc

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/recall"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	helloInterval = 500 * time.Millisecond // between announcements
	helloTimeout  = 400 * time.Millisecond
	// maxQuiet is the maximum time without a call from an entry before the node
	// announces itself again.
	maxQuiet = 1500 * time.Millisecond
)

// Node is the process that serves as the gate of one target. Set the exported
// fields before Run.
type Node struct {
	Gate *gate.Gate
	Addr string // at which entries call this node
	// Register writes this node's row in the platform's table; nil does nothing.
	Register func(context.Context, memb.Member) error
	// Recall keeps the record of the target over restarts of this process; nil keeps none.
	Recall *recall.Keeper
	// Event logs an event with pairs of keys and values.
	Event func(event string, pairs ...any)

	service GateService
	pool    peer.Pool
	seeds   atomic.Pointer[[]string]
}

// SetSeeds replaces the addresses of the entries to which the node announces
// itself. They may be stale.
func (n *Node) SetSeeds(addrs []string) { n.seeds.Store(&addrs) }

// Service returns the net/rpc methods that entries call.
func (n *Node) Service() *GateService {
	n.service.gate = n.Gate
	return &n.service
}

// Run runs the gate, registers the node, and announces it while no entry calls,
// until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.Gate.Run(ctx)
	if n.Recall != nil {
		go n.Recall.Run(ctx, n.Gate.Recall)
	}
	go register(ctx, n.Register, memb.Member{Role: memb.Gate, Addr: n.Addr}, n.Event)
	for ctx.Err() == nil {
		if n.service.sinceLastCall() > maxQuiet {
			n.announce(ctx)
		}
		boot.Sleep(ctx, helloInterval)
	}
}

// HandleHeartbeat processes a heartbeat of the target. It reports whether the heartbeat is
// the newest of the incarnation that is current afterwards.
func (n *Node) HandleHeartbeat(inc targ.Incarnation) bool {
	if !n.Gate.HandleHeartbeat(inc) {
		return false
	}
	if n.Recall != nil {
		n.Recall.Observe(inc)
	}
	return true
}

// HandleDeregistration processes the deregistration of the target incarnation with this ID.
func (n *Node) HandleDeregistration(id string) {
	n.Gate.HandleDeregistration(id)
	if n.Recall != nil && !n.Gate.State().TargetKnown {
		n.Recall.Forget()
	}
}

// announce sends this node's address to all seeds without waiting for replies.
func (n *Node) announce(ctx context.Context) {
	seeds := n.seeds.Load()
	if seeds == nil {
		return
	}
	for _, seed := range *seeds {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
			defer cancel()
			if err := n.pool.Call(callCtx, seed, helloMethod, &msgs.Hello{Addr: n.Addr}, &msgs.Empty{}); err != nil {
				n.pool.Drop(seed)
			}
		}()
	}
}

// register calls write for m with growing pauses until it succeeds or ctx ends.
func register(ctx context.Context, write func(context.Context, memb.Member) error, m memb.Member, event func(string, ...any)) {
	if write == nil {
		return
	}
	backoff := boot.Backoff{Min: minRegisterPause, Max: maxRegisterPause}
	for ctx.Err() == nil {
		err := write(ctx, m)
		if err == nil {
			event("registered", "member", m)
			return
		}
		event("register_failed", "member", m, "err", err)
		boot.Sleep(ctx, backoff.Next())
	}
}

const (
	minRegisterPause = 200 * time.Millisecond
	maxRegisterPause = 2 * time.Second
)
