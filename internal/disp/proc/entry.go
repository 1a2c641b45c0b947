package proc

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	lookupTimeout  = 500 * time.Millisecond
	expiryInterval = 10 * time.Second
)

// Entry is the process that accepts jobs. Set the exported fields before Run. It
// is safe for concurrent use.
type Entry struct {
	Coord       *coord.Coordinator
	Name        string
	Incarnation uint64 // of this process
	Addr        string // at which other processes call this entry
	// ParseConfig parses a configuration received from another entry.
	ParseConfig func(raw []byte) (*route.Table, error)
	// Register writes this entry's row in the platform's table; nil does nothing.
	Register func(context.Context, memb.Member) error
	// Deregister deletes the row of an expired member; nil does nothing.
	Deregister func(context.Context, memb.Member) error
	// LastStall returns when the process last went on after it had stood still, or 0 if it
	// has not; nil means 0. See stall.Detector.
	LastStall func() boot.Time
	// Rotation tells whether the load balancer has this entry in rotation.
	Rotation rotate.Monitor
	// Started is when the process was started; 0 means that it has no former incarnation.
	Started boot.Time
	// Event logs an event with pairs of keys and values.
	Event func(event string, pairs ...any)
	// Trace logs a decision about a job; nil discards it.
	Trace func(event string, pairs ...any)
	// Count increments the named counter; nil discards it.
	Count func(name string)

	Config route.Current
	Orders evac.Set // evacuations of failure domains; changed by ApplyOrder

	members memb.Set
	pool    peer.Pool
	others  rotate.Others

	giveUp        giveup.Asker // returned by asker, which sets its fields
	giveUpOnce    sync.Once
	cancelRetries atomic.Int64 // cancellations that entries which have not answered are told again
	membersHeard  atomic.Int64 // boot.Time when another entry, or the table, first told of a gate; 0 before

	mu          sync.Mutex
	ctx         context.Context           // of Run; nil before Run
	links       map[string]*link.Link     // by the address of the node, retired ones included
	linkList    []*link.Link              // those that are not retired, for Links
	peerPending map[string]map[string]int // jobs not begun, by the address of another entry and route
	configSince boot.Time                 // since when the configuration has been active
}

// Service returns the net/rpc methods that other processes call.
func (e *Entry) Service() *EntryService { return &EntryService{e} }

// Run registers the entry, maintains its links to nodes and gossips with other
// entries until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	e.mu.Lock()
	e.ctx = ctx
	e.mu.Unlock()
	e.updateLinks()
	go register(ctx, e.Register, e.member(), e.Event)
	guard := e.rotationGuard()
	expire := boot.Now().Add(expiryInterval)
	e.Rotation.Begin()
	for first := true; ctx.Err() == nil; first = false {
		e.gossip(ctx, first)
		guard.Check(ctx)
		e.recordGateContacts()
		e.updateLinks()
		if now := boot.Now(); now >= expire {
			expire = now.Add(expiryInterval)
			go e.expire(ctx, now)
		}
		e.Rotation.Await(ctx, gossipInterval)
	}
}

// SetSeeds adds the addresses of other entries, which may be stale, to the known
// members.
func (e *Entry) SetSeeds(addrs []string) {
	for _, seed := range addrs {
		e.addMember(memb.Member{Role: memb.Entry, Addr: seed})
	}
}

// Ready reports whether jobs can be served: a configuration is active and at
// least one node accepts tasks.
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

// ApplyConfig makes t the active configuration if it is newer than the present
// one, and reports whether it is. It logs from as the source.
func (e *Entry) ApplyConfig(t *route.Table, from string) bool {
	if !e.Config.StoreIfNewer(t) {
		return false
	}
	e.mu.Lock()
	e.configSince = boot.Now()
	e.mu.Unlock()
	e.Event("config", "version", t.Version, "routes", len(t.Routes), "from", from)
	return true
}

// ActiveConfig returns the active configuration and the time since which it has
// been active. The configuration is nil before the first one.
func (e *Entry) ActiveConfig() (*route.Table, boot.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Config.Get(), e.configSince
}

// Entries returns the addresses of the other known entries, in order.
func (e *Entry) Entries() []string { return e.members.Addrs(memb.Entry) }

// Links returns the links to the nodes that this entry uses for placements. The caller
// must not change the slice.
func (e *Entry) Links() []*link.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.linkList
}

// AddMember adds a process that another entry or the platform's table has told of to the known
// members, and links to it if it is a node that this entry selects. The entry itself is ignored.
func (e *Entry) AddMember(m memb.Member) {
	if m.Role == memb.Gate {
		e.membersHeard.CompareAndSwap(0, int64(boot.Now()))
	}
	e.addMember(m)
}

// addMember is AddMember for a process that is known from elsewhere.
func (e *Entry) addMember(m memb.Member) {
	if m == e.member() {
		return
	}
	if e.members.Add(m, boot.Now()) && m.Role == memb.Gate {
		e.updateLinks()
	}
}

// RemoveMember removes a member, such as one whose row was deleted, and retires the link
// to it. An entry that was in contact lately stays, since it lives, and has to be asked about
// jobs, though the entry that deleted the row may not have reached it. This entry's own row is
// written again.
func (e *Entry) RemoveMember(m memb.Member) {
	if m == e.member() {
		e.restoreRow()
		return
	}
	if m.Role == memb.Entry && slices.Contains(e.members.Recent(boot.Now()), m) {
		return
	}
	e.members.Remove(m)
	if m.Role == memb.Gate {
		e.retire(m.Addr)
	}
}

// member returns this entry as a member.
func (e *Entry) member() memb.Member { return memb.Member{Role: memb.Entry, Addr: e.Addr} }

// restoreRow writes this entry's row again, without which others may not find it.
func (e *Entry) restoreRow() {
	e.mu.Lock()
	ctx := e.ctx
	e.mu.Unlock()
	if ctx != nil {
		go register(ctx, e.Register, e.member(), e.Event)
	}
}

// State returns the state of the job with this ID at whichever entry has it, or
// the empty string if none that answers has it.
func (e *Entry) State(ctx context.Context, job string) string {
	if s, ok := e.Coord.State(job); ok {
		return stateName(s)
	}
	return e.askPeers(ctx, msgs.Lookup{Job: job})
}

// Pending returns the number of jobs of a route that have not begun, here and at
// the other entries according to their last gossip replies.
func (e *Entry) Pending(routeName string) int {
	sum := e.Coord.Pending()[routeName]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, counts := range e.peerPending {
		sum += counts[routeName]
	}
	return sum
}

// askPeers asks all other entries about a job and returns the first state that
// one reports, or the empty string if none does in time.
func (e *Entry) askPeers(ctx context.Context, m msgs.Lookup) string {
	timeout := func(string) time.Duration { return lookupTimeout }
	return e.askPeersFor(ctx, m, timeout, func(state string) bool { return state != "" })
}

// askPeersFor is askPeers with a timeout for each entry, by its address, and returns the first state
// that counts. The empty one must not.
func (e *Entry) askPeersFor(ctx context.Context, m msgs.Lookup, timeout func(addr string) time.Duration, counts func(state string) bool) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := e.members.Addrs(memb.Entry)
	answers := make(chan string, len(peers))
	for _, addr := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout(addr))
			defer cancel()
			reply := &msgs.LookupReply{}
			if err := e.pool.Call(ctx, addr, lookupMethod, &m, reply); err != nil {
				answers <- ""
				return
			}
			answers <- reply.State
		}()
	}
	for range peers {
		if state := <-answers; counts(state) {
			return state
		}
	}
	return ""
}

// expire removes the members that have been without contact for too long, what
// is stored about them, and their rows in the platform's table.
func (e *Entry) expire(ctx context.Context, now boot.Time) {
	for _, m := range e.members.RemoveExpired(now) {
		e.removePeerState(m.Addr)
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
