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
	reachTimeout  = 500 * time.Millisecond
)

var errUnreachable = merry.Sentinel("the node can't be reached at its address")

// Config is the settings of an entry.
type Config struct {
	ID         string
	Region     string
	Domain     string
	ListenAddr string   // for the system's own processes
	HTTPAddr   string   // for callers and operators
	PeerAddrs  []string // the other entries
	TableAddr  string
	Shards     int
}

// Declare adds the settings to set.
func (c *Config) Declare(set *conf.Set) {
	set.Name(&c.ID, "id", "", "name of this entry")
	set.Name(&c.Region, "region", "", "region of this entry")
	set.Name(&c.Domain, "domain", "", "failure domain of this entry")
	set.Addr(&c.ListenAddr, "listen", "`address` for the system's own processes, IP:port")
	set.Addr(&c.HTTPAddr, "http", "`address` for callers and operators, IP:port")
	set.Addrs(&c.PeerAddrs, "peers", true, "`addresses` of the other entries, IP:port")
	set.Addr(&c.TableAddr, "table", "`address` of the platform's table service, IP:port")
	set.Int(&c.Shards, "shards", defaultShards, 1, maxShards, "shards of a roster that is made anew")
}

// Run runs an entry until it is told to stop.
func Run(ctx context.Context, cfg Config, out io.Writer) error {
	log := logs.New(out, "gypentry", cfg.ID)
	counters := &stats.Set{}
	tab, err := table.New(ctx, cfg.TableAddr)
	if err != nil {
		return err
	}
	clk := &clock.Clock{}
	tab.OnTime = func(t time.Time) { clk.Adjust(t) }
	v := &view.View{Clock: clk}
	pool := &peer.Pool{}
	writer := &roll.Writer{Region: cfg.Region, Shards: cfg.Shards, Table: tab, View: v, Stats: counters, Log: log}
	writer.Init()
	follower := &follow.Follower{
		Region: cfg.Region, PeerAddrs: cfg.PeerAddrs, Table: tab, Clock: clk, View: v, Pool: pool, Stats: counters, Log: log,
	}
	follower.FetchInitial(ctx)
	srv, err := life.NewHTTPServer(cfg.HTTPAddr, log, counters)
	if err != nil {
		return err
	}
	rel := &relay.Relay{Region: cfg.Region, Domain: cfg.Domain, Clock: clk, View: v, Pool: pool, Stats: counters}
	jobs := &web.JobAPI{Region: cfg.Region, Clock: clk, View: v, Stats: counters, Relay: rel}
	jobs.Serve(srv)
	oper := &web.OperatorAPI{
		ID: cfg.ID, Region: cfg.Region, View: v, RosterWriter: writer,
		Editor: &edit.Editor{Table: tab, Clock: clk, Stats: counters, Log: log},
	}
	oper.Serve(srv)
	rpc, err := peer.Listen(cfg.ListenAddr, map[string]any{"Entry": &service{view: v, roll: writer, pool: pool, stats: counters}})
	if err != nil {
		return err
	}
	counters.Gauge("wire.bytes", func() int64 { return pool.Traffic() + rpc.Traffic() })
	daemon := life.Daemon{
		Name: "gypentry", Log: log,
		Servers: []transport.Server{srv, rpc},
		Started: func(ctx context.Context) {
			go writer.Run(ctx)
			go follower.Run(ctx)
			go rel.Run(ctx)
		},
	}
	return daemon.Run(ctx)
}

// service is what an entry does for the system's own processes.
type service struct {
	view  *view.View
	roll  *roll.Writer
	pool  *peer.Pool
	stats *stats.Set
}

// Watch answers with newer state once there is some.
func (s *service) Watch(args *msgs.Watch, reply *msgs.WatchReply) error {
	return s.view.Watch(args, reply)
}

// Change queues a change of the roster. A new incarnation must be reachable at
// its address: one that can't be reached would be given shards and tasks, be
// removed, and join again without end.
func (s *service) Change(args *msgs.RosterChange, _ *msgs.Empty) error {
	c := roster.Change{Kind: roster.ChangeKind(args.Kind), Node: args.Node}
	if _, listed := s.view.Roster().Find(c.Node.Ref); c.Kind == roster.Join && !listed && !s.reachable(c.Node) {
		s.stats.CountRefusal("unreachable")
		return errUnreachable
	}
	return s.roll.QueueChange(c)
}

// reachable tells whether the node answers at the address it gives.
func (s *service) reachable(n roster.Node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	var reply msgs.ProbeReply
	err := s.pool.Call(ctx, n.Addr, "Member.Probe", &msgs.Probe{}, &reply)
	return err == nil && reply.Incarnation == n.Inc
}
