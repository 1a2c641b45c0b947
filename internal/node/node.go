package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/node/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/node/home"
	"github.com/gypsumlanding/gypsumlanding/internal/node/member"
	"github.com/gypsumlanding/gypsumlanding/internal/node/target"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
)

const (
	expireInterval = 500 * time.Millisecond
	defaultGrace   = 30 * time.Second
	maxGrace       = 10 * time.Minute
)

// Config is the settings of a node.
type Config struct {
	ID             string
	Region         string
	Domain         string
	ListenAddr     string   // for the system's own processes
	AdvertiseAddr  string   // where they reach the node; "" means at Listen
	HTTPAddr       string   // for the target beside the node
	EntryAddrs     []string // entries of the region
	DrainTimeout   time.Duration
	Retention      time.Duration
	PlainRetention time.Duration
}

// Declare adds the settings to set.
func (c *Config) Declare(set *conf.Set) {
	set.Name(&c.ID, "id", "", "name of this node")
	set.Name(&c.Region, "region", "", "region of this node")
	set.Name(&c.Domain, "domain", "", "failure domain of this node")
	set.Addr(&c.ListenAddr, "listen", "`address` for the system's own processes, IP:port")
	set.OptionalAddr(&c.AdvertiseAddr, "reach", "`address` where the system's own processes reach this node, IP:port (default listen)")
	set.Addr(&c.HTTPAddr, "http", "`address` for the target's announcements and the counters, IP:port")
	set.Addrs(&c.EntryAddrs, "entries", false, "`addresses` of the region's entries, IP:port")
	set.Millis(&c.DrainTimeout, "grace", defaultGrace, time.Second, maxGrace, "longest time that a planned stop may take")
	set.Millis(&c.Retention, "slack", ledger.DefaultSlack, time.Second, time.Minute, "how long past its deadline a key is remembered")
	set.Millis(&c.PlainRetention, "horizon", ledger.DefaultHorizon, time.Second, time.Hour, "how long a plain key is remembered")
}

// Node is the parts of one node process.
type Node struct {
	cfg    Config
	log    logs.Logger
	stats  *stats.Set
	view   *view.View
	pool   *peer.Pool
	gate   *gate.Gate
	home   *home.Home
	member *member.Member
}

// Run runs a node until it is told to stop.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	n := assemble(cfg, logs.New(out, "gypnode", cfg.ID))
	srv, err := life.NewHTTPServer(cfg.HTTPAddr, n.log, n.stats)
	if err != nil {
		return err
	}
	target.Serve(srv, n.gate.HandleAnnouncement)
	n.serveStatus(srv)
	rpc, err := peer.Listen(cfg.ListenAddr, map[string]any{
		"Home": n.home, "Gate": &gateService{n.gate}, "Member": n.member,
	})
	if err != nil {
		return err
	}
	n.stats.Gauge("wire.bytes", func() int64 { return n.pool.Traffic() + rpc.Traffic() })
	daemon := life.Daemon{
		Name: "gypnode", Log: n.log,
		Servers: []transport.Server{srv, rpc},
		Started: func(ctx context.Context) {
			go n.member.Run(ctx)
			go n.expire(ctx)
		},
		Drain: n.drain,
	}
	return daemon.Run(ctx)
}

func assemble(cfg Config, log logs.Logger) *Node {
	if cfg.AdvertiseAddr == "" {
		cfg.AdvertiseAddr = cfg.ListenAddr
	}
	clk := &clock.Clock{}
	n := &Node{cfg: cfg, log: log, stats: &stats.Set{}, view: &view.View{Clock: clk}, pool: &peer.Pool{}}
	pool := n.pool
	n.gate = &gate.Gate{Clock: clk, Stats: n.stats, Log: log, Retention: cfg.Retention}
	n.home = &home.Home{
		Clock: clk, View: n.view, Pool: pool, Stats: n.stats, Log: log, Domain: cfg.Domain,
		StartLocal: n.gate.Start, LocalLoad: n.gate.Load,
		LedgerOptions: ledger.Options{Retention: cfg.Retention, PlainRetention: cfg.PlainRetention},
	}
	n.member = &member.Member{
		ID: cfg.ID, Addr: cfg.AdvertiseAddr, Domain: cfg.Domain, EntryAddrs: cfg.EntryAddrs,
		Clock: clk, View: n.view, Pool: pool, Stats: n.stats, Log: log,
		ServiceAndSlots: n.gate.ServiceAndSlots,
		StartIncarnation: func(ref roster.Ref) {
			n.gate.StartIncarnation(ref.Inc)
			n.home.StartIncarnation(ref)
		},
		UpdateRoster:  n.update,
		ConfirmRoster: n.home.ConfirmRoster,
	}
	n.stats.Gauge("gate.running", func() int64 { return int64(n.gate.Load().Running) })
	n.stats.Gauge("gate.queued", func() int64 { return int64(n.gate.Load().Queued) })
	n.stats.Gauge("home.jobs", n.home.RunningJobs)
	n.stats.Gauge("home.records", func() int64 { return int64(n.home.RecordCount()) })
	n.member.Init()
	return n
}

// update takes a newer roster; a node that it lists as leaving takes no new
// work.
func (n *Node) update(r roster.Roster) {
	n.home.UpdateRoster(r)
	if node, ok := r.Find(n.member.Ref()); ok && node.Leaving {
		n.gate.Drain(true)
	}
}

// drain finishes the work in progress: the gate takes no new work at once, and
// the shards are handed over.
func (n *Node) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.DrainTimeout)
	defer cancel()
	n.gate.Drain(true)
	whole := n.member.Leave(ctx, func() bool { return n.gate.Idle() && n.home.Idle() })
	n.log.Event("left", "whole", whole)
}

func (n *Node) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.gate.Expire()
			n.home.Expire()
		}
	}
}

type statusDoc struct {
	ID        string `json:"id"`
	Inc       uint64 `json:"inc"`
	Epoch     uint64 `json:"epoch"`
	Catalogue uint64 `json:"catalogue"`
	Service   string `json:"service"`
	Slots     int    `json:"slots"`
	Running   int    `json:"running"`
	Queued    int    `json:"queued"`
	Leaving   bool   `json:"leaving"`
	Jobs      int64  `json:"jobs"`
}

func (n *Node) serveStatus(srv *khttp.Server) {
	srv.Route("/").GET("/v1/status", func(ctx khttp.Context) error {
		service, slots := n.gate.ServiceAndSlots()
		load := n.gate.Load()
		ref := n.member.Ref()
		return ctx.JSON(http.StatusOK, statusDoc{
			ID: ref.ID, Inc: ref.Inc, Epoch: n.view.Roster().Epoch(), Catalogue: n.view.Catalogue().Version(),
			Service: service, Slots: slots, Running: load.Running, Queued: load.Queued,
			Leaving: load.Leaving, Jobs: n.home.RunningJobs(),
		})
	})
}

// gateService is what a gate does for homes.
type gateService struct{ gate *gate.Gate }

// Start starts a task or tells its outcome.
func (s *gateService) Start(args *msgs.Start, reply *msgs.StartReply) error {
	s.gate.Start(args, reply)
	return nil
}
