package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	gossipEvery   = 500 * time.Millisecond
	gossipTimeout = 400 * time.Millisecond
	// gossipPeers is the number of entries that are asked each time.
	gossipPeers   = 2
	lookupTimeout = 500 * time.Millisecond
	forgetEvery   = 10 * time.Second
	// mostLinks is the number of nodes that an entry uses. Each entry draws its
	// own, so every node serves several, and an entry's calls, connections and
	// memory stay bounded whatever the size of the fleet.
	mostLinks = 64
)

// Entry is the process that takes jobs. Set the exported fields before Run. It
// is safe for concurrent use.
type Entry struct {
	Coord *coord.Coordinator
	Name  string
	Life  uint64
	Addr  string // that other processes call this entry at
	// Decode reads a configuration that another entry passed on.
	Decode func(raw []byte) (*route.Table, error)
	// Register notes this entry in the platform's table; nil does nothing.
	Register func(context.Context, memb.Member) error
	// Strike drops the row of a member that has gone; nil does nothing.
	Strike func(context.Context, memb.Member) error
	Event  func(event string, pairs ...any)

	Config route.Current

	members memb.Set
	pool    peer.Pool

	mu      sync.Mutex
	ctx     context.Context
	links   map[string]*line
	list    []*link.Link
	pending map[string]map[string]int // by entry and route
}

// line is a link and what ends it.
type line struct {
	link *link.Link
	stop context.CancelFunc
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
		e.Known(memb.Member{Role: memb.Entry, Addr: seed})
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
		if l.View(now).OK {
			return true
		}
	}
	return false
}

// Configure takes in a configuration and reports whether it is newer.
func (e *Entry) Configure(t *route.Table, from string) bool {
	if !e.Config.Offer(t) {
		return false
	}
	e.Event("config", "version", t.Version, "routes", len(t.Routes), "from", from)
	return true
}

// Links returns the ways to all nodes that are known.
func (e *Entry) Links() []*link.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

// Known notes that a member may be there.
func (e *Entry) Known(m memb.Member) {
	if m.Role == memb.Entry && m.Addr == e.Addr {
		return
	}
	if e.members.Add(m, boot.Now()) && m.Role == memb.Gate {
		e.choose()
	}
}

// choose connects to the nodes that this entry draws from those known, and
// gives up links to others once no task is there.
func (e *Entry) choose() {
	wanted := draw(e.Addr, e.members.All(memb.Gate), mostLinks)
	for _, addr := range wanted {
		e.connect(addr)
	}
	for _, l := range e.Links() {
		if !slices.Contains(wanted, l.Addr) && !l.Busy() {
			e.disconnect(l.Addr)
		}
	}
}

// draw returns the n of all that rank first by a hash of them and self, so that
// entries draw differently, and draw nearly the same again when some come or go.
func draw(self string, all []string, n int) []string {
	if len(all) <= n {
		return all
	}
	drawn := slices.Clone(all)
	slices.SortFunc(drawn, func(a, b string) int { return cmp.Compare(weight(self, a), weight(self, b)) })
	return drawn[:n]
}

func weight(self, addr string) uint64 { return xxhash.Sum64String(self + " " + addr) }

// Gone notes that a member's row was dropped.
func (e *Entry) Gone(m memb.Member) {
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
	peers := e.members.All(memb.Entry)
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

// gossip exchanges what is known with some other entries.
func (e *Entry) gossip(ctx context.Context) {
	peers := e.members.All(memb.Entry)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(gossipPeers, len(peers))] {
		go e.gossipWith(ctx, addr)
	}
}

func (e *Entry) gossipWith(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	m := &msgs.Gossip{Entry: e.Addr, Members: e.fresh(), Version: e.Config.Version()}
	reply := &msgs.GossipReply{}
	if err := e.pool.Call(ctx, addr, gossipMethod, m, reply); err != nil {
		e.pool.Drop(addr)
		return
	}
	e.hear(memb.Member{Role: memb.Entry, Addr: addr})
	e.takeMembers(reply.Members)
	e.takePending(addr, reply)
	if len(reply.Config) == 0 || reply.Version <= e.Config.Version() {
		return
	}
	t, err := e.Decode(reply.Config)
	if err != nil {
		e.Event("config_invalid", "from", addr, "err", err)
		return
	}
	e.Configure(t, addr)
}

// tell answers another entry that has the configuration of the given version.
func (e *Entry) tell(version int64) msgs.GossipReply {
	reply := msgs.GossipReply{Members: e.fresh(), Version: e.Config.Version()}
	if t := e.Config.Get(); t != nil && t.Version > version {
		reply.Config = t.Raw
	}
	for name, n := range e.Coord.Pending() {
		reply.Pending = append(reply.Pending, name)
		reply.Counts = append(reply.Counts, int64(n))
	}
	return reply
}

func (e *Entry) takePending(addr string, reply *msgs.GossipReply) {
	counts := map[string]int{}
	for i, name := range reply.Pending {
		if i < len(reply.Counts) {
			counts[name] = int(reply.Counts[i])
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending == nil {
		e.pending = map[string]map[string]int{}
	}
	e.pending[addr] = counts
}

func (e *Entry) fresh() []string {
	var names []string
	for _, m := range e.members.Fresh(boot.Now()) {
		names = append(names, m.String())
	}
	return names
}

func (e *Entry) takeMembers(names []string) {
	for _, name := range names {
		if m, ok := memb.Parse(name); ok {
			e.Known(m)
		}
	}
}

func (e *Entry) hear(m memb.Member) {
	e.Known(m)
	e.members.Heard(m, boot.Now())
}

// hearGates notes which nodes answered lately.
func (e *Entry) hearGates() {
	now := boot.Now()
	for _, l := range e.Links() {
		if heard := l.View(now).Heard; heard > 0 {
			e.members.Heard(memb.Member{Role: memb.Gate, Addr: l.Addr}, heard)
		}
	}
}

// forget drops the members that have not been heard of for long.
func (e *Entry) forget(ctx context.Context, now boot.Time) {
	for _, m := range e.members.Forget(now) {
		e.Event("member_forgotten", "member", m)
		e.Gone(m)
		if e.Strike == nil {
			continue
		}
		if err := e.Strike(ctx, m); err != nil {
			e.Event("strike_failed", "member", m, "err", err)
		}
	}
}

// connect opens a link to a node.
func (e *Entry) connect(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx == nil || e.links[addr] != nil {
		return
	}
	if e.links == nil {
		e.links = map[string]*line{}
	}
	ctx, stop := context.WithCancel(e.ctx)
	l := &link.Link{
		Addr: addr, Entry: e.Name, Life: e.Life,
		Call: e.pool.Call, Drop: e.pool.Drop, Event: e.Event,
	}
	e.links[addr] = &line{l, stop}
	e.relist()
	go l.Run(ctx)
}

func (e *Entry) disconnect(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.links[addr]; known != nil {
		known.stop()
		delete(e.links, addr)
		e.relist()
	}
}

// relist makes the list of links anew, so that readers need no copy.
func (e *Entry) relist() {
	list := make([]*link.Link, 0, len(e.links))
	for _, known := range e.links {
		list = append(list, known.link)
	}
	e.list = list
}
