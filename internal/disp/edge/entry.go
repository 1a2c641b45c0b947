package edge

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	lookupTimeout = 500 * time.Millisecond
	forgetEvery   = 10 * time.Second
)

// Entry is the process that takes jobs. Set the exported fields before Run. It
// is safe for concurrent use.
type Entry struct {
	Coord *coord.Coordinator
	Name  string
	Incarnation  uint64
	Addr  string // that other processes call this entry at
	// Decode reads a configuration that another entry passed on.
	ParseConfig func(raw []byte) (*route.Table, error)
	// Register notes this entry in the platform's table; nil does nothing.
	Register func(context.Context, memb.Member) error
	// Strike drops the row of a member that has gone; nil does nothing.
	Deregister func(context.Context, memb.Member) error
	Event  func(event string, pairs ...any)

	Config route.Current

	members memb.Set
	pool    peer.Pool

	mu      sync.Mutex
	ctx     context.Context
	links   map[string]*line
	list    []*link.Link
	pending map[string]map[string]int // by entry and route
	silent  map[string]bool           // other entries that don't answer
	inForce boot.Time                 // from when on the configuration has been
}

// Service returns the methods that other processes call.
func (e *Entry) Service() *EntryService { return &EntryService{e} }

// Run keeps the entry in touch with nodes and other entries until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	e.mu.Lock()
	e.ctx = ctx
	e.mu.Unlock()
	e.choose()
	go register(ctx, e.Register, memb.Member{Role: memb.Entry, Addr: e.Addr}, e.Event)
	forget := boot.Now().Add(forgetEvery)
	for ctx.Err() == nil {
		e.gossip(ctx)
		e.hearGates()
		e.choose()
		if now := boot.Now(); now >= forget {
			forget = now.Add(forgetEvery)
			e.forget(ctx, now)
		}
		boot.Sleep(ctx, gossipEvery)
	}
}

// SetSeeds gives the entry addresses of other entries, which may be stale.
func (e *Entry) SetSeeds(addrs []string) {
	for _, seed := range addrs {
		e.AddMember(memb.Member{Role: memb.Entry, Addr: seed})
	}
}

// Ready tells whether jobs can be served: there is a configuration, and a node
// that takes tasks.
func (e *Entry) Ready() bool {
	if e.Config.Get() == nil {
		return false
	}
	now := boot.Now()
	for _, l := range e.Links() {
		if l.View(now).Available {
			return true
		}
	}
	return false
}

// Configure takes in a configuration and reports whether it is newer.
func (e *Entry) ApplyConfig(t *route.Table, from string) bool {
	if !e.Config.StoreIfNewer(t) {
		return false
	}
	e.mu.Lock()
	e.inForce = boot.Now()
	e.mu.Unlock()
	e.Event("config", "version", t.Version, "routes", len(t.Routes), "from", from)
	return true
}

// InForce returns the configuration and the moment from which it has been in
// force, or nil before the first.
func (e *Entry) ActiveConfig() (*route.Table, boot.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Config.Get(), e.inForce
}

// Entries returns the addresses of the other entries that are known.
func (e *Entry) Entries() []string { return e.members.Addrs(memb.Entry) }

// Links returns the ways to all nodes that are known.
func (e *Entry) Links() []*link.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

// Known notes that a member may be there.
func (e *Entry) AddMember(m memb.Member) {
	if m.Role == memb.Entry && m.Addr == e.Addr {
		return
	}
	if e.members.Add(m, boot.Now()) && m.Role == memb.Gate {
		e.choose()
	}
}

// Gone notes that a member's row was dropped.
func (e *Entry) RemoveMember(m memb.Member) {
	e.members.Remove(m)
	if m.Role == memb.Gate {
		e.disconnect(m.Addr)
	}
}

// Cancel stops a job wherever it is and reports whether it was found.
func (e *Entry) Cancel(ctx context.Context, job string) bool {
	if e.Coord.Cancel(job) {
		return true
	}
	return e.ask(ctx, msgs.Lookup{Job: job, Cancel: true}) != ""
}

// State tells where a job stands, wherever it is; empty if it isn't known.
func (e *Entry) State(ctx context.Context, job string) string {
	if s, ok := e.Coord.State(job); ok {
		return stateName(s)
	}
	return e.ask(ctx, msgs.Lookup{Job: job})
}

// Pending returns how many jobs of a route have not begun, here and at other
// entries as they told last.
func (e *Entry) Pending(name string) int {
	sum := e.Coord.Pending()[name]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, counts := range e.pending {
		sum += counts[name]
	}
	return sum
}

// ask asks all other entries about a job and returns the first state told.
func (e *Entry) ask(ctx context.Context, m msgs.Lookup) string {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	peers := e.members.Addrs(memb.Entry)
	answers := make(chan string, len(peers))
	for _, addr := range peers {
		go func() {
			reply := &msgs.LookupReply{}
			if err := e.pool.Call(ctx, addr, lookupMethod, &m, reply); err != nil {
				answers <- ""
				return
			}
			answers <- reply.State
		}()
	}
	for range peers {
		if state := <-answers; state != "" {
			return state
		}
	}
	return ""
}

// forget drops the members that have not been heard of for long.
func (e *Entry) forget(ctx context.Context, now boot.Time) {
	for _, m := range e.members.RemoveExpired(now) {
		e.forgetPeer(m.Addr)
		e.Event("member_forgotten", "member", m)
		e.RemoveMember(m)
		if e.Deregister == nil {
			continue
		}
		if err := e.Deregister(ctx, m); err != nil {
			e.Event("strike_failed", "member", m, "err", err)
		}
	}
}
