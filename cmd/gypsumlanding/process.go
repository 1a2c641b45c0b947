package main

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/proc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/platform"
)

const (
	// configWait is how long a call to the store waits for a configuration; a
	// connection that has gone silent is noticed a little later.
	configWait = 1500 * time.Millisecond
	// membersWait is the same for members, which other ways bring as well.
	membersWait = 5 * time.Second
	// drainMargin is what is left of the time to stop when the last requests are
	// given up.
	drainMargin = 300 * time.Millisecond
	drainPoll   = 50 * time.Millisecond
	// lameDuck is how long an entry that was told to stop goes on to take new
	// connections, so that the balancer can turn to others.
	lameDuck = 2500 * time.Millisecond
	// takeJobs is how long it goes on to take jobs on connections that are open.
	takeJobs = 2900 * time.Millisecond
)

// process is one role with its settings.
type process struct {
	cfg      platform.Settings
	path     string // of the settings
	role     string
	metrics  int // port; 0 for none
	life     uint64
	started  boot.Time
	log      logs.Logger
	counters *stats.Set
}

func (p process) serve(ctx context.Context) error {
	if p.role == roleEntry {
		return p.entry(ctx)
	}
	return p.node(ctx)
}

// entry takes jobs until it is told to stop.
func (p process) entry(ctx context.Context) error {
	store := platform.NewStore(p.cfg.StoreAddr)
	e := &proc.Entry{
		Name: p.cfg.Name, Incarnation: p.life, Addr: p.cfg.InternalAddr,
		ParseConfig: platform.DecodeConfig, Register: store.Register, Deregister: store.Deregister, Event: p.log.Event,
	}
	e.SetSeeds(p.cfg.Seeds)
	go p.reload(e.SetSeeds)
	e.Coord = &coord.Coordinator{Links: e.Links, Trace: p.log.Trace, Count: p.counters.Count, Observe: p.counters.Observe}
	p.counters.Declare(cause.EntryCounters())
	p.counters.Gauge("jobs.running", func() int64 { return int64(e.Coord.Running()) })
	p.counters.Gauge("config.version", e.Config.Version)
	p.counters.Gauge("gates", func() int64 { return int64(len(e.Links())) })
	front := &platform.CallerHandler{
		Config: &e.Config, Submit: e.Coord.Submit, State: e.State, Cancel: e.Cancel, Pending: e.Pending,
		Count: p.counters.Count, Trace: p.log.Trace,
	}
	rpc, err := peer.Listen(p.cfg.InternalAddr, map[string]any{proc.EntryServiceName: e.Service()})
	if err != nil {
		return err
	}
	callers, err := life.NewHTTPServer(p.cfg.CallerAddr, p.log, p.counters)
	if err != nil {
		return err
	}
	callers.HandlePrefix("/", front)
	ready, err := life.NewHTTPServer(p.cfg.ReadyAddr, p.log, p.counters)
	if err != nil {
		return err
	}
	leaving := make(chan struct{})
	ready.HandlePrefix("/", readiness(e, leaving))
	servers := p.observe([]transport.Server{rpc, callers, ready}, report.Process{Entry: e})
	return life.Daemon{
		Name: "gypsumlanding-entry", Servers: servers, Log: p.log,
		Started: func(ctx context.Context) {
			go e.Run(ctx)
			go p.followConfig(ctx, store, e)
			go p.followMembers(ctx, store, e)
		},
		Drain: func(context.Context) {
			close(leaving)
			front.Drain(boot.Now().Add(takeJobs))
			p.drain(e.Coord.Running)
		},
	}.Run(ctx)
}

// drain waits until no request is left, but not beyond the time to stop.
func (p process) drain(running func() int) {
	start := boot.Now()
	limit := time.Duration(p.cfg.DrainSeconds)*time.Second - drainMargin
	for boot.Now().Sub(start) < lameDuck || running() > 0 && boot.Now().Sub(start) < limit {
		time.Sleep(drainPoll)
	}
	p.log.Event("drained", "left", running(), "after", boot.Now().Sub(start))
}

// node is the gate of a target until it is told to stop.
func (p process) node(ctx context.Context) error {
	store := platform.NewStore(p.cfg.StoreAddr)
	target := platform.NewTargetClient()
	g := &gate.Gate{
		IncarnationID: p.life, Start: target.Start, Stop: target.Stop, Poll: target.Poll,
		Event: p.log.Event, Trace: p.log.Trace, Count: p.counters.Count, Observe: p.counters.Observe,
	}
	p.counters.Declare(cause.NodeCounters())
	p.counters.Gauge("tasks.running", func() int64 { return int64(g.State().Running) })
	p.counters.Gauge("tasks.queued", func() int64 { return int64(g.State().Queued) })
	n := &proc.Node{Gate: g, Addr: p.cfg.InternalAddr, Register: store.Register, Event: p.log.Event}
	n.SetSeeds(p.cfg.Seeds)
	go p.reload(n.SetSeeds)
	rpc, err := peer.Listen(p.cfg.InternalAddr, map[string]any{proc.GateServiceName: n.Service()})
	if err != nil {
		return err
	}
	beats, err := life.NewHTTPServer(p.cfg.ControlAddr, p.log, p.counters)
	if err != nil {
		return err
	}
	beats.HandlePrefix("/", &platform.HeartbeatHandler{
		Service: p.cfg.Service, OnHeartbeat: g.HandleHeartbeat, OnDeregister: g.HandleDeregistration,
		OnInvalid: func(id string, err error) { p.log.Event("heartbeat_refused", "target", id, "err", err) },
	})
	servers := p.observe([]transport.Server{rpc, beats}, report.Process{Gate: g})
	return life.Daemon{
		Name: "gypsumlanding-node", Servers: servers, Log: p.log,
		Started: func(ctx context.Context) { go n.Run(ctx) },
		Drain: func(ctx context.Context) {
			limit := time.Duration(p.cfg.DrainSeconds)*time.Second - drainMargin
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			g.Drain(ctx)
		},
	}.Run(ctx)
}

func (p process) followConfig(ctx context.Context, store *platform.Store, e *proc.Entry) {
	take := func(r platform.Row) {
		if !platform.IsConfig(r) {
			return
		}
		t, err := platform.DecodeConfig(r.Value)
		if err != nil {
			p.log.Event("config_invalid", "from", "store", "err", err)
			return
		}
		e.ApplyConfig(t, "store")
	}
	store.Follow(ctx, platform.OperatorTable, configWait, take, p.storeHeard("config"))
}

func (p process) followMembers(ctx context.Context, store *platform.Store, e *proc.Entry) {
	take := func(r platform.Row) {
		m, ok := memb.Parse(r.Key)
		switch {
		case !ok:
			p.log.Event("member_invalid", "key", r.Key)
		case r.Deleted:
			e.RemoveMember(m)
		default:
			e.AddMember(m)
		}
	}
	store.Follow(ctx, platform.MembersTable(), membersWait, take, p.storeHeard("members"))
}

// storeHeard counts each failure of the store, and logs the first and the end of
// a row of them.
func (p process) storeHeard(what string) func(error) {
	failures := 0
	var since boot.Time
	return func(err error) {
		switch {
		case err != nil && failures == 0:
			since = boot.Now()
			p.log.Event("store_failed", "reading", what, "err", err)
		case err == nil && failures > 0:
			p.log.Event("store_answers", "reading", what, "failures", failures, "after", boot.Now().Sub(since))
		}
		if err == nil {
			failures = 0
			return
		}
		failures++
		p.counters.Count("store.failed")
	}
}

// readiness answers the balancer's question.
func readiness(e *proc.Entry, leaving <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-leaving:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		default:
		}
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
