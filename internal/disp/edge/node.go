package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	helloEvery   = 500 * time.Millisecond // while no entry calls
	helloTimeout = 400 * time.Millisecond
	// unheard is how long a node may go without a call from an entry before it
	// announces itself again.
	unheard = 1500 * time.Millisecond
)

// Node is the process beside one target. Set the exported fields before Run.
type Node struct {
	Gate *gate.Gate
	Addr string // that entries call this node at
	// Register notes this node in the platform's table; nil does nothing.
	Register func(context.Context, memb.Member) error
	Event    func(event string, pairs ...any)

	service GateService
	pool    peer.Pool
	seeds   atomic.Pointer[[]string]
}

// SetSeeds gives the node addresses of entries to announce itself to, which may
// be stale, in place of those it had.
func (n *Node) SetSeeds(addrs []string) { n.seeds.Store(&addrs) }

// Service returns the methods that entries call.
func (n *Node) Service() *GateService {
	n.service.gate = n.Gate
	return &n.service
}

// Run serves the target and announces the node until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.Gate.Run(ctx)
	go register(ctx, n.Register, memb.Member{Role: memb.Gate, Addr: n.Addr}, n.Event)
	for ctx.Err() == nil {
		if n.service.quietFor() > unheard {
			n.announce(ctx)
		}
		boot.Sleep(ctx, helloEvery)
	}
}

// announce tells the seeds of this node.
func (n *Node) announce(ctx context.Context) {
	seeds := n.seeds.Load()
	if seeds == nil {
		return
	}
	for _, seed := range *seeds {
		go func() {
			call, cancel := context.WithTimeout(ctx, helloTimeout)
			defer cancel()
			if err := n.pool.Call(call, seed, helloMethod, &msgs.Hello{Addr: n.Addr}, &msgs.Empty{}); err != nil {
				n.pool.Drop(seed)
			}
		}()
	}
}

// register writes the member's row, again and again until it is there.
func register(ctx context.Context, write func(context.Context, memb.Member) error, m memb.Member, event func(string, ...any)) {
	if write == nil {
		return
	}
	for pause := registerFirst; ctx.Err() == nil; pause = min(2*pause, registerSlowest) {
		err := write(ctx, m)
		if err == nil {
			event("registered", "member", m)
			return
		}
		event("register_failed", "member", m, "err", err)
		boot.Sleep(ctx, pause)
	}
}

const (
	registerFirst   = 200 * time.Millisecond
	registerSlowest = 2 * time.Second
)
