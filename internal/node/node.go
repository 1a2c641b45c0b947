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
	expireInterval      = 500 * time.Millisecond
	defaultDrainTimeout = 30 * time.Second
	maxDrainTimeout     = 10 * time.Minute
)

// Config holds the settings of a node.
type Config struct {
	ID             string
	Region         string
	Domain         string
	ListenAddr     string        // for other processes of the system
	AdvertiseAddr  string        // at which they reach the node; empty means ListenAddr
	HTTPAddr       string        // for the target of the node
	EntryAddrs     []string      // of the entries of the region
	DrainTimeout   time.Duration // longest time of a planned stop
	Retention      time.Duration // of generated keys and their tasks, after the deadline
	PlainRetention time.Duration // of plain keys, after their admission
	MemoryMB       int           // memory that the limits for clients are sized for, MB
	MaxFDs         int           // number of descriptors that they are sized for
}

// Declare declares the settings in set, with c as their destination.
func (c *Config) Declare(set *conf.Set) {
	set.Name(&c.ID, "id", "", "name of this node")
	set.Name(&c.Region, "region", "", "region of this node")
	set.Name(&c.Domain, "domain", "", "failure domain of this node")
	set.Addr(&c.ListenAddr, "listen", "`address` for other processes of the system, IP:port")
	set.OptionalAddr(&c.AdvertiseAddr, "reach", "`address` at which other processes of the system reach this node, IP:port (default listen)")
	set.Addr(&c.HTTPAddr, "http", "`address` for the target's announcements and the counters, IP:port")
	set.Addrs(&c.EntryAddrs, "entries", false, "`addresses` of the region's entries, IP:port")
	set.Millis(&c.DrainTimeout, "grace", defaultDrainTimeout, time.Second, maxDrainTimeout, "longest time that a planned stop may take")
	set.Millis(&c.Retention, "slack", ledger.DefaultRetention, time.Second, time.Minute, "how long a key is retained after its deadline")
	set.Millis(&c.PlainRetention, "horizon", ledger.DefaultPlainRetention, time.Second, time.Hour, "how long a plain key is retained")
	life.DeclareIngress(set, &c.MemoryMB, &c.MaxFDs)
}

// Node holds the parts of a node process.
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

// Run runs a node until the process is asked to stop or ctx ends. It returns an error
// if the node can't start.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	n := newNode(cfg, logs.New(out, "gypnode", cfg.ID))
	ingress := life.NewIngress(cfg.MemoryMB, cfg.MaxFDs, n.log, n.stats)
	srv, err := life.NewGuardedHTTPServer(cfg.HTTPAddr, n.log, n.stats, ingress.Targets())
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
	rpc.SetLimits(peer.LimitsOf(ingress, 0))
	n.stats.Gauge("wire.bytes", func() int64 { return n.pool.Traffic() + rpc.Traffic() })
	daemon := life.Daemon{
		Name: "gypnode", Log: n.log,
		Servers: []transport.Server{srv, rpc},
		Started: func(ctx context.Context) {
			go n.member.Run(ctx)
			go n.expireLoop(ctx)
		},
		Drain: n.drain,
	}
	return daemon.Run(ctx)
}

// newNode makes the parts of a node and connects them.
func newNode(cfg Config, log logs.Logger) *Node {
	if cfg.AdvertiseAddr == "" {
		cfg.AdvertiseAddr = cfg.ListenAddr
	}
	clusterClock := &clock.Clock{}
	n := &Node{cfg: cfg, log: log, stats: &stats.Set{}, view: &view.View{Clock: clusterClock}, pool: &peer.Pool{}}
	pool := n.pool
	n.gate = &gate.Gate{Clock: clusterClock, Stats: n.stats, Log: log, Retention: cfg.Retention}
	n.home = &home.Home{
		Clock: clusterClock, View: n.view, Pool: pool, Stats: n.stats, Log: log, Domain: cfg.Domain,
		StartLocal: n.gate.Start, LocalLoad: n.gate.Load,
		LedgerOptions: ledger.Options{Retention: cfg.Retention, PlainRetention: cfg.PlainRetention},
	}
	n.member = &member.Member{
		ID: cfg.ID, Addr: cfg.AdvertiseAddr, Domain: cfg.Domain, EntryAddrs: cfg.EntryAddrs,
		Clock: clusterClock, View: n.view, Pool: pool, Stats: n.stats, Log: log,
		ServiceAndSlots: n.gate.ServiceAndSlots,
		StartIncarnation: func(ref roster.Ref) {
			n.gate.StartIncarnation(ref.Inc)
			n.home.StartIncarnation(ref)
		},
		UpdateRoster:  n.updateRoster,
		ConfirmRoster: n.home.ConfirmRoster,
	}
	n.stats.Gauge("gate.running", func() int64 { return int64(n.gate.Load().Running) })
	n.stats.Gauge("gate.queued", func() int64 { return int64(n.gate.Load().Queued) })
	n.stats.Gauge("home.jobs", n.home.RunningJobs)
	n.stats.Gauge("home.records", func() int64 { return int64(n.home.RecordCount()) })
	n.member.Init()
	return n
}

// updateRoster applies a roster. If the roster lists this node as leaving, the gate
// refuses new tasks from then on.
func (n *Node) updateRoster(r roster.Roster) {
	n.home.UpdateRoster(r)
	if node, ok := r.Find(n.member.Ref()); ok && node.Leaving {
		n.gate.Drain(true)
	}
}

// drain makes the gate refuse new tasks at once, and waits until the work in progress
// has ended and the shards are handed over, for at most DrainTimeout.
func (n *Node) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.DrainTimeout)
	defer cancel()
	n.gate.Drain(true)
	complete := n.member.Leave(ctx, func() bool { return n.gate.Idle() && n.home.Idle() })
	n.log.Event("left", "whole", complete)
}

// expireLoop deletes expired records of the gate and the home until ctx ends.
func (n *Node) expireLoop(ctx context.Context) {
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

// statusDoc is the JSON form of the state of a node.
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

// gateService serves the gate to homes by net/rpc.
type gateService struct{ gate *gate.Gate }

// Start is the net/rpc method by which a home starts a task or requests its result.
func (s *gateService) Start(args *msgs.Start, reply *msgs.StartReply) error {
	s.gate.Start(args, reply)
	return nil
}
