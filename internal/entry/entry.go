package entry

import (
	"context"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gypsumlanding/gypsumlanding/internal/core/clock"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/edit"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/follow"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/relay"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/roll"
	"github.com/gypsumlanding/gypsumlanding/internal/entry/web"
	"github.com/gypsumlanding/gypsumlanding/internal/plat/table"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/view"
)

const (
	defaultShards = 512
	maxShards     = 65536
	probeTimeout  = 500 * time.Millisecond
)

var errUnreachable = merry.Sentinel("the node can't be reached at its address")

// Config holds the settings of an entry.
type Config struct {
	ID         string
	Region     string
	Domain     string
	ListenAddr string   // for other processes of the system
	HTTPAddr   string   // for callers and operators
	PeerAddrs  []string // of the other entries
	TableAddr  string   // of the platform's table service
	Shards     int      // number of shards of the region's first roster
	MemoryMB   int      // memory that the limits for clients are sized for, MB
	MaxFDs     int      // number of descriptors that they are sized for
}

// Declare declares the settings in set, with c as their destination.
func (c *Config) Declare(set *conf.Set) {
	set.Name(&c.ID, "id", "", "name of this entry")
	set.Name(&c.Region, "region", "", "region of this entry")
	set.Name(&c.Domain, "domain", "", "failure domain of this entry")
	set.Addr(&c.ListenAddr, "listen", "`address` for other processes of the system, IP:port")
	set.Addr(&c.HTTPAddr, "http", "`address` for callers and operators, IP:port")
	set.Addrs(&c.PeerAddrs, "peers", true, "`addresses` of the other entries, IP:port")
	set.Addr(&c.TableAddr, "table", "`address` of the platform's table service, IP:port")
	set.Int(&c.Shards, "shards", defaultShards, 1, maxShards, "number of shards of a new roster")
	life.DeclareIngress(set, &c.MemoryMB, &c.MaxFDs)
}

// Run runs an entry until the process is asked to stop or ctx ends. It returns an error
// if the entry can't start.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	log := logs.New(out, "gypentry", cfg.ID)
	counters := &stats.Set{}
	tableClient, err := table.New(ctx, cfg.TableAddr)
	if err != nil {
		return err
	}
	clusterClock := &clock.Clock{}
	tableClient.OnTime = func(t time.Time) { clusterClock.Adjust(t) }
	v := &view.View{Clock: clusterClock}
	pool := &peer.Pool{}
	writer := &roll.Writer{Region: cfg.Region, Shards: cfg.Shards, Table: tableClient, View: v, Stats: counters, Log: log}
	writer.Init()
	follower := &follow.Follower{
		Region: cfg.Region, PeerAddrs: cfg.PeerAddrs, Table: tableClient, Clock: clusterClock, View: v, Pool: pool, Stats: counters, Log: log,
	}
	follower.FetchInitial(ctx)
	ingress := life.NewIngress(cfg.MemoryMB, cfg.MaxFDs, log, counters)
	srv, err := life.NewGuardedHTTPServer(cfg.HTTPAddr, log, counters, ingress.Clients())
	if err != nil {
		return err
	}
	jobRelay := &relay.Relay{Region: cfg.Region, Domain: cfg.Domain, Clock: clusterClock, View: v, Pool: pool, Stats: counters}
	jobAPI := &web.JobAPI{Region: cfg.Region, Clock: clusterClock, View: v, Stats: counters, Relay: jobRelay}
	jobAPI.Serve(srv)
	operatorAPI := &web.OperatorAPI{
		ID: cfg.ID, Region: cfg.Region, View: v, RosterWriter: writer,
		Editor: &edit.Editor{Table: tableClient, Clock: clusterClock, Stats: counters, Log: log},
	}
	operatorAPI.Serve(srv)
	rpc, err := peer.Listen(cfg.ListenAddr, map[string]any{"Entry": &service{view: v, rosterWriter: writer, pool: pool, stats: counters}})
	if err != nil {
		return err
	}
	rpc.SetLimits(peer.LimitsOf(ingress, 0))
	counters.Gauge("wire.bytes", func() int64 { return pool.Traffic() + rpc.Traffic() })
	daemon := life.Daemon{
		Name: "gypentry", Log: log,
		Servers: []transport.Server{srv, rpc},
		Started: func(ctx context.Context) {
			go writer.Run(ctx)
			go follower.Run(ctx)
			go jobRelay.Run(ctx)
		},
	}
	return daemon.Run(ctx)
}

// service serves other processes of the system by net/rpc.
type service struct {
	view         *view.View
	rosterWriter *roll.Writer
	pool         *peer.Pool
	stats        *stats.Set
}

// Watch is the net/rpc method by which a node or another entry polls for newer state.
// It replies once there is any, or when the wait that args allow is over.
func (s *service) Watch(args *msgs.Watch, reply *msgs.WatchReply) error {
	return s.view.Watch(args, reply)
}

// Change is the net/rpc method by which a node requests a change of the roster. It
// queues the change. A new incarnation must be reachable at its address: one that
// can't be reached would receive shards and tasks, be removed, and join again, without
// end.
func (s *service) Change(args *msgs.RosterChange, _ *msgs.Empty) error {
	c := roster.Change{Kind: roster.ChangeKind(args.Kind), Node: args.Node}
	if _, inRoster := s.view.Roster().Find(c.Node.Ref); c.Kind == roster.Join && !inRoster && !s.reachable(c.Node) {
		s.stats.CountRefusal("unreachable")
		return errUnreachable
	}
	return s.rosterWriter.QueueChange(c)
}

// reachable reports whether the incarnation answers at its address.
func (s *service) reachable(n roster.Node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var reply msgs.ProbeReply
	err := s.pool.Call(ctx, n.Addr, "Member.Probe", &msgs.Probe{}, &reply)
	return err == nil && reply.Incarnation == n.Inc
}
