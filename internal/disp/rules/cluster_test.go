package rules

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/evac"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const (
	oneWayDelay   = time.Millisecond        // latency between processes, one way
	brokenTimeout = 700 * time.Millisecond  // time after which a call without a reply fails as broken
	resubmitDelay = 1300 * time.Millisecond // from a lost answer to the next submission of the job
	heartbeatTime = 1500 * time.Millisecond // between heartbeats of a target
	bootInterval  = 40 * time.Minute        // between the boots of the machines of consecutive entries
)

// cluster is a set of entries and gates with one target for each gate, and the
// connections between them. It runs in virtual time, inside a synctest bubble.
type cluster struct {
	checker   *checker
	startedAt time.Time
	targets   []*target
	done      chan struct{} // closed by finish
	operator  operatorTable

	mu              sync.Mutex
	gates           []*gateProcess
	records         []*targ.Incarnation // of the targets, as the gates last recorded them; nil for none
	entries         []*entryProcess
	connections     map[[2]int]connState          // by indices of entry and gate
	lastIncarnation uint64                        // incarnations of gates and entries are numbered together
	abandonFuncs    map[string]context.CancelFunc // make the caller abandon a job, by job
	disconnects     map[string]context.CancelFunc // break the connection of a caller, by entry and job
	silences        map[string]func()             // let the connection of a caller go silent, by entry and job
	stalls          map[int]chan struct{}         // closed when the entry goes on, by the entries that stand still
	lastStalls      map[int]boot.Time             // end of the latest stall, by entry
	cuts            map[path]map[int]int          // how often a path is cut, by entry
	balanced        bool                          // a load balancer checks the entries
	callers         sync.WaitGroup
}

// connState is the state of the connection between an entry and a gate.
type connState int

const (
	connected    connState = iota // calls and replies are delivered
	dropsAll                      // neither calls nor replies are delivered
	dropsReplies                  // calls are delivered, replies are not
	dropsSyncs                    // Sync calls are not delivered, others and their replies are
)

// gateProcess is one incarnation of a gate.
type gateProcess struct {
	gate *gate.Gate
	ctx  context.Context
	kill context.CancelFunc
}

// entryProcess is one incarnation of an entry.
type entryProcess struct {
	coord    *coord.Coordinator
	ctx      context.Context
	kill     context.CancelFunc
	rotation rotate.Monitor
	others   rotate.Others
	members  memb.Set
	asker    giveup.Asker
	started  boot.Time // 0 for the first incarnation
	orders   evac.Set
	links    []*link.Link
	serves   atomic.Bool // it has a configuration, and so the orders that came with it
	stopping atomic.Bool // it was told to stop
}

// newCluster starts the given numbers of entries and gates, with one target for each
// gate, and a load balancer if it is balanced.
func newCluster(entries, gates int, balanced bool) *cluster {
	return newSeededCluster(0, entries, gates, balanced)
}

// newSeededCluster does the same. The behavior of the targets follows from the seed.
func newSeededCluster(seed, entries, gates int, balanced bool) *cluster {
	c := &cluster{
		balanced: balanced,
		checker:  newChecker(), startedAt: time.Now(), done: make(chan struct{}),
		connections: map[[2]int]connState{}, abandonFuncs: map[string]context.CancelFunc{}, disconnects: map[string]context.CancelFunc{}, silences: map[string]func(){},
		stalls: map[int]chan struct{}{}, lastStalls: map[int]boot.Time{}, cuts: map[path]map[int]int{callersPath: {}, peersPath: {}, gatesPath: {}, storePath: {}},
		gates: make([]*gateProcess, gates), records: make([]*targ.Incarnation, gates), entries: make([]*entryProcess, entries),
	}
	for i := range gates {
		t := newTarget(fmt.Sprintf("t%d", i), 0.985+0.015*float64(i), c.checker, seed)
		t.onReturn = func() { c.heartbeat(i, t.current()) }
		t.forbidden = func() string { return c.operator.forbids(i) }
		c.targets = append(c.targets, t)
		go t.run(c.done)
		c.startGate(i)
	}
	for i := range gates {
		go c.sendHeartbeats(i)
	}
	for i := range entries {
		c.startEntry(i)
	}
	go c.watchInformed()
	if balanced {
		go c.checkEntries()
	}
	return c
}

// now returns the boot time of the machines of all gates.
func (c *cluster) now() boot.Time { return boot.Time(time.Hour).Add(time.Since(c.startedAt)) }

// entryNow returns the boot time of the machine of entry i. The machines of the
// entries have booted at different times, so no decision may compare their clocks.
func (c *cluster) entryNow(i int) boot.Time { return c.now().Add(time.Duration(i) * bootInterval) }

// sendHeartbeats sends the heartbeats of target i until the cluster is finished.
func (c *cluster) sendHeartbeats(i int) {
	for {
		c.heartbeat(i, c.targets[i].current())
		select {
		case <-c.done:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// heartbeat sends a heartbeat of target i to its gate, which records the target unless
// it leaves.
func (c *cluster) heartbeat(i int, inc targ.Incarnation) {
	p := c.gateAt(i)
	if p.ctx.Err() != nil || !p.gate.HandleHeartbeat(inc) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records[i] = &inc
	if inc.Leaving {
		c.records[i] = nil
	}
}

// startGate replaces gate i by a new incarnation, which recalls the target that the
// previous one recorded.
func (c *cluster) startGate(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gates[i] != nil {
		c.gates[i].kill()
	}
	c.lastIncarnation++
	p := &gateProcess{}
	p.ctx, p.kill = context.WithCancel(context.Background())
	t := c.targets[i]
	p.gate = &gate.Gate{
		IncarnationID: c.lastIncarnation, Now: c.now, Domain: domainOf(i),
		Start: func(ctx context.Context, l targ.Incarnation, o targ.Order) (int64, error) {
			return callFrom(ctx, p, func(ctx context.Context) (int64, error) { return t.Start(ctx, l, o) })
		},
		Stop: func(ctx context.Context, l targ.Incarnation, o targ.Order) (int64, error) {
			return callFrom(ctx, p, func(ctx context.Context) (int64, error) { return t.Stop(ctx, l, o) })
		},
		Poll: func(ctx context.Context, l targ.Incarnation, r targ.Renewal) (targ.Listing, error) {
			return callFrom(ctx, p, func(ctx context.Context) (targ.Listing, error) { return t.Hold(ctx, l, r) })
		},
	}
	if record := c.records[i]; record != nil {
		p.gate.Recall(*record)
	}
	go p.gate.Run(p.ctx)
	c.gates[i] = p
}

// callFrom makes a call from a gate process. If the process is killed before the
// call or before its reply, callFrom waits until ctx is done and returns
// targ.ErrUnanswered.
func callFrom[T any](ctx context.Context, p *gateProcess, call func(context.Context) (T, error)) (T, error) {
	var zero T
	if p.ctx.Err() != nil {
		<-ctx.Done()
		return zero, targ.ErrUnanswered
	}
	answer, err := call(ctx)
	if p.ctx.Err() != nil {
		<-ctx.Done()
		return zero, targ.ErrUnanswered
	}
	return answer, err
}

// startEntry replaces entry i by a new incarnation, which has links to all gates.
func (c *cluster) startEntry(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &entryProcess{}
	if c.entries[i] != nil {
		c.entries[i].kill()
		p.started = c.entryNow(i)
	}
	c.lastIncarnation++
	p.ctx, p.kill = context.WithCancel(context.Background())
	now := func() boot.Time { return c.entryNow(i) }
	var links []*link.Link
	for g := range c.gates {
		l := &link.Link{
			Addr: fmt.Sprintf("g%d", g), Entry: fmt.Sprintf("e%d", i), Incarnation: c.lastIncarnation, Now: now, Drop: func(string) {}, Orders: &p.orders,
			Losses: func(losses []msgs.Loss) { p.coord.RecordLosses(losses) },
			Call: func(ctx context.Context, _, method string, args, reply any) error {
				return c.call(ctx, i, p, g, method, args, reply)
			},
		}
		links = append(links, l)
	}
	p.links = links
	c.prepareAsker(i, p, links)
	p.coord = &coord.Coordinator{
		Links: p.usableLinks, Now: now, ResubmitDelay: resubmitDelay,
		GiveUpElsewhere: func(ctx context.Context, job string, repeated bool) { c.giveUpElsewhere(ctx, i, p, job, repeated) },
		GiveUpIfKnown:   func(ctx context.Context, job string) { c.giveUpIfKnown(ctx, i, p, job) },
		OthersOut:       func() bool { return p.rotation.Out() || len(p.others.Out()) > 0 },
		RevokeAt:        func(ctx context.Context, gate, job string) bool { return p.asker.RevokeAt(ctx, gate, job) },
		RunsElsewhere:   func(ctx context.Context, job string) bool { return c.runsElsewhere(ctx, i, p, job) },
		LastStall:       func() boot.Time { return c.lastStall(i) },
	}
	for _, l := range links {
		go l.Run(p.ctx)
	}
	p.rotation.ResubmitDelay, p.rotation.Now, p.others.Now = resubmitDelay, now, now
	if c.balanced {
		p.rotation.Begin()
	}
	go c.watchRotation(i, p)
	go c.followStore(i, p)
	c.entries[i] = p
}

// usableLinks returns the links once the entry can serve.
func (p *entryProcess) usableLinks() []*link.Link {
	if !p.serves.Load() {
		return nil
	}
	return p.links
}

// connection returns the current incarnation of a gate and the state of an entry's
// connection to it.
func (c *cluster) connection(entry, g int) (*gateProcess, connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cuts[gatesPath][entry] > 0 {
		return c.gates[g], dropsAll
	}
	return c.gates[g], c.connections[[2]int{entry, g}]
}

// call makes a call from one incarnation of an entry to a gate, as the state of their
// connection allows.
func (c *cluster) call(ctx context.Context, entry int, from *entryProcess, g int, method string, args, reply any) error {
	c.awaitEntry(entry)
	time.Sleep(oneWayDelay)
	to, conn := c.connection(entry, g)
	switch {
	case from.ctx.Err() != nil || conn == dropsAll || conn == dropsSyncs && method == link.SyncMethod:
		return c.waitForTimeout(ctx)
	case to.ctx.Err() != nil:
		return peer.ErrRefused
	}
	err := deliver(to, method, args, reply)
	time.Sleep(oneWayDelay)
	c.awaitEntry(entry)
	if _, conn = c.connection(entry, g); conn == dropsAll || conn == dropsReplies || from.ctx.Err() != nil {
		return c.waitForTimeout(ctx)
	}
	if out, ok := reply.(*msgs.TaskReply); ok && err == nil && out.Result == msgs.Failed {
		if m, ok := args.(*msgs.Task); ok {
			c.checker.reportFailure(m.Name, entry)
		}
	}
	return err
}

// waitForTimeout waits until a call without a reply fails, and returns its error:
// peer.ErrDeadlinePassed if ctx is done, and peer.ErrBroken after brokenTimeout or once
// the cluster is finished.
func (c *cluster) waitForTimeout(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return peer.ErrDeadlinePassed
	case <-c.done:
	case <-time.After(brokenTimeout):
	}
	return peer.ErrBroken
}

// deliver lets an incarnation of a gate serve a call.
func deliver(to *gateProcess, method string, args, reply any) error {
	switch m := args.(type) {
	case *msgs.Sync:
		if out, ok := reply.(*msgs.Load); ok && method == link.SyncMethod {
			*out = to.gate.Sync(*m)
			return nil
		}
	case *msgs.Revoke:
		if out, ok := reply.(*msgs.RevokeReply); ok && method == giveup.RevokeMethod {
			*out = to.gate.Revoke(*m)
			return nil
		}
	case *msgs.Task:
		if out, ok := reply.(*msgs.TaskReply); ok && method == link.TakeMethod {
			answer := to.gate.Take(to.ctx, *m)
			if to.ctx.Err() != nil {
				return peer.ErrBroken
			}
			*out = answer
			return nil
		}
	}
	return peer.ErrNotSent
}

// finish makes all callers abandon their jobs, waits for them, and stops all targets,
// entries and gates.
func (c *cluster) finish() {
	c.mu.Lock()
	for _, abandon := range c.abandonFuncs {
		abandon()
	}
	c.mu.Unlock()
	c.callers.Wait()
	close(c.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.entries {
		p.kill()
	}
	for _, p := range c.gates {
		p.kill()
	}
}

// describe returns the state of gates and links and the records of the recovery jobs,
// for failure messages.
func (c *cluster) describe() string {
	text := ""
	for i := range c.gates {
		text += fmt.Sprintf("gate %d %+v; ", i, c.gateAt(i).gate.State())
	}
	for i := range c.entries {
		for _, l := range c.entryAt(i).coord.Links() {
			text += fmt.Sprintf("entry %d %s %+v; ", i, l.Addr, l.View(c.now()))
		}
	}
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	for id, job := range c.checker.jobs {
		if strings.HasPrefix(id, "recovery") {
			text += fmt.Sprintf("%s %+v; ", id, *job)
		}
	}
	return text
}
