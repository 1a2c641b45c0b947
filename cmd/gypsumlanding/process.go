package main

import (
	"context"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/giveup"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/interf"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/memb"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/proc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rotate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/stall"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/platform"
)

const (
	// configPollWait is how long a poll of the store waits for a new configuration. A
	// store that stops responding is noticed soon after that time.
	configPollWait = 1500 * time.Millisecond
	// membersPollWait is how long a poll waits for a change of the members. It is
	// longer because changes of the members are also learned in other ways.
	membersPollWait = 5 * time.Second
	// configWait is how long after its start an entry lets requests wait for the first
	// configuration. A store that answers delivers it sooner.
	configWait = 250 * time.Millisecond
)

// process is a running entry or node.
type process struct {
	cfg            platform.Settings
	settingsPath   string // path of the settings file
	role           string // roleEntry or roleNode
	advertisedAddr string // that replaces the one of the settings file; empty for none
	metricsPort    int    // 0 for no metrics server
	incarnation    uint64 // random ID of this execution of the process
	startTime      boot.Time
	hangups        <-chan os.Signal
	log            logs.Logger
	counters       *stats.Set
	ingress        *life.Ingress
}

// serve runs the process until it has stopped after a signal.
func (p process) serve(ctx context.Context) error {
	if p.role == roleEntry {
		return p.runEntry(ctx)
	}
	return p.runNode(ctx)
}

// runEntry runs an entry until it has stopped after a signal.
func (p process) runEntry(ctx context.Context) error {
	stalls := &stall.Detector{Event: p.log.Event}
	go stalls.Run(ctx)
	store := platform.NewStore(p.cfg.StoreAddr)
	e := &proc.Entry{
		Name: p.cfg.Name, Incarnation: p.incarnation, Addr: p.cfg.AdvertisedAddr,
		ParseConfig: platform.DecodeConfig, Register: store.Register, Deregister: store.Deregister, Event: p.log.Event,
		Started: p.startTime, Trace: p.log.Trace, Count: p.counters.Count,
		LastStall: stalls.LastEnd, Rotation: rotate.Monitor{ResubmitDelay: p.cfg.ResubmitDelay, Event: p.log.Event},
	}
	e.SetSeeds(p.cfg.Seeds)
	go p.watchSettings(e.SetSeeds)
	e.Coord = &coord.Coordinator{
		Links: e.Links, Entries: func() int { return len(e.Entries()) + 1 }, ResubmitDelay: p.cfg.ResubmitDelay, RemoteFactor: p.cfg.RemoteFactor,
		GiveUpElsewhere: e.GiveUpElsewhere, GiveUpIfKnown: e.GiveUpIfKnown, OthersOut: e.OthersOut, RunsElsewhere: e.RunsElsewhere, RevokeAt: e.RevokeAt, LastStall: stalls.LastEnd,
		Trace: p.log.Trace, Count: p.counters.Count, Observe: p.counters.Observe,
	}
	p.counters.Declare(append(cause.EntryCounters(), giveup.Counters()...))
	p.counters.Declare(append(interf.Counters(), coord.ApartCounter))
	p.counters.Gauge("jobs.running", func() int64 { return int64(e.Coord.Running()) })
	p.counters.Gauge("config.version", e.Config.Version)
	p.counters.Gauge("domains.evacuated", func() int64 { return int64(len(e.Orders.Evacuated())) })
	p.counters.Gauge("gates", func() int64 { return int64(len(e.Links())) })
	callers := &platform.CallerHandler{
		Config: &e.Config, Submit: e.Coord.Submit, HasLeft: life.CallerHasLeft, IsFirst: life.IsFirstRequest, State: e.State, Cancel: e.Cancel, Pending: e.Pending,
		Count: p.counters.Count, Trace: p.log.Trace, AwaitConfigUntil: p.startTime.Add(configWait),
	}
	rpcServer, err := peer.Listen(p.cfg.InternalAddr, map[string]any{proc.EntryServiceName: e.Service()})
	if err != nil {
		return err
	}
	rpcServer.SetLimits(peer.LimitsOf(p.ingress, p.ingress.Sizes.Bytes))
	clients := p.ingress.Clients()
	clients.MaxHeader = func() int {
		if t := e.Config.Get(); t != nil {
			return t.Limits.HeaderBytes
		}
		return 0
	}
	callerServer, err := life.NewGuardedHTTPServer(p.cfg.CallerAddr, p.log, p.counters, clients)
	if err != nil {
		return err
	}
	callerServer.HandlePrefix("/", callers)
	readyServer, err := life.NewGuardedHTTPServer(p.cfg.ReadyAddr, p.log, p.counters, p.ingress.Operators())
	if err != nil {
		return err
	}
	draining := make(chan struct{})
	readyServer.HandlePrefix("/", readinessHandler(e, draining))
	servers := p.addMetricsServer([]transport.Server{callerServer, readyServer}, report.Process{Entry: e}, p.whereHandler(e, callers))
	return life.Daemon{
		Name: "gypsumlanding-entry", Servers: servers, Last: rpcServer, Log: p.log,
		Started: func(ctx context.Context) {
			go e.Run(ctx)
			go p.followOperator(ctx, store, e)
			go p.followMembers(ctx, store, e)
		},
		Drain: func(ctx context.Context) {
			close(draining)
			p.drainEntry(ctx, e.Coord, callers, clients)
		},
	}.Run(ctx)
}

// whereHandler returns the handler of placement queries to e, whose jobs callers submits.
func (p process) whereHandler(e *proc.Entry, callers *platform.CallerHandler) *report.WhereHandler {
	return &report.WhereHandler{
		Entry: p.cfg.Name, Config: &e.Config, FindRoute: platform.FindRoute, MaxBodyBytes: platform.MaxBodyBytes,
		DecodeJob: platform.DecodeJob, Stopping: callers.Stopping, Where: e.Coord.Where,
	}
}

// runNode runs the gate of a target until it has stopped after a signal.
func (p process) runNode(ctx context.Context) error {
	store := platform.NewStore(p.cfg.StoreAddr)
	target := platform.NewTargetClient()
	g := &gate.Gate{
		IncarnationID: p.incarnation, Domain: p.cfg.FailureDomain, Start: target.Start, Stop: target.Stop, Poll: target.Poll, Steady: boot.Steady,
		StopTime: p.cfg.StopTime, Event: p.log.Event, Trace: p.log.Trace, Count: p.counters.Count, Observe: p.counters.Observe,
	}
	p.counters.Declare(slices.Concat(cause.NodeCounters(), gate.ProofCounters(), gate.CrashCounters(), []string{gate.RevokedCounter}))
	p.counters.Declare(interf.Counters())
	p.counters.Gauge("tasks.running", func() int64 { return int64(g.State().Running) })
	p.counters.Gauge("evacuated", func() int64 {
		if g.State().Evacuated {
			return 1
		}
		return 0
	})
	p.counters.Gauge("tasks.queued", func() int64 { return int64(g.State().Queued) })
	n := &proc.Node{
		Gate: g, Addr: p.cfg.AdvertisedAddr, Register: store.Register, Event: p.log.Event,
		Recall: platform.NewRecallKeeper(store, p.cfg, p.log.Event),
	}
	n.SetSeeds(p.cfg.Seeds)
	go p.watchSettings(n.SetSeeds)
	rpcServer, err := peer.Listen(p.cfg.InternalAddr, map[string]any{proc.GateServiceName: n.Service()})
	if err != nil {
		return err
	}
	rpcServer.SetLimits(peer.LimitsOf(p.ingress, p.ingress.Sizes.Bytes))
	heartbeatServer, err := life.NewGuardedHTTPServer(p.cfg.ControlAddr, p.log, p.counters, p.ingress.Targets())
	if err != nil {
		return err
	}
	heartbeatServer.HandlePrefix("/", &platform.HeartbeatHandler{
		Service: p.cfg.Service, OnHeartbeat: n.HandleHeartbeat, OnDeregister: n.HandleDeregistration,
		OnInvalid: func(id string, err error) { p.log.Event("heartbeat_refused", "target", id, "err", err) },
	})
	servers := p.addMetricsServer([]transport.Server{rpcServer, heartbeatServer}, report.Process{Gate: g}, nil)
	return life.Daemon{
		Name: "gypsumlanding-node", Servers: servers, Log: p.log,
		Started: func(ctx context.Context) { go n.Run(ctx) },
		Drain: func(ctx context.Context) {
			p.drainNode(ctx, g)
		},
	}.Run(ctx)
}

// followMembers passes changes of the members in the store to e until ctx ends.
func (p process) followMembers(ctx context.Context, store *platform.Store, e *proc.Entry) {
	onRow := func(r platform.Row) {
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
	store.Follow(ctx, platform.MembersTable(), membersPollWait, platform.Follower{OnRow: onRow, OnResult: p.logStoreResults("members")})
}

// logStoreResults returns a callback for the result of each read of the store. The
// callback counts failures, and logs the first of consecutive failures and the first
// success after them. The source names what is read.
func (p process) logStoreResults(source string) func(error) {
	failures := 0
	var firstFailure boot.Time
	return func(err error) {
		switch {
		case err != nil && failures == 0:
			firstFailure = boot.Now()
			p.log.Event("store_failed", "reading", source, "err", err)
		case err == nil && failures > 0:
			p.log.Event("store_answers", "reading", source, "failures", failures, "after", boot.Now().Sub(firstFailure))
		}
		if err == nil {
			failures = 0
			return
		}
		failures++
		p.counters.Count("store.failed")
	}
}

// readinessHandler answers the load balancer's readiness checks: with status 200 if e
// is ready, and with status 503 if it isn't or if draining is closed.
func readinessHandler(e *proc.Entry, draining <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		passed := e.Ready()
		select {
		case <-draining:
			passed = false
		default:
		}
		e.Rotation.Observe()
		if !passed {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
