// Command gyptarget is a stand-in for a target, for tests and measurements
// only.
package main

import (
	"context"
	"os"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/node/target"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
)

const (
	defaultSlots       = 8
	defaultConnections = 64
	fullSpeed          = 100
	maxSpeed           = 10_000
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	t := &targ.Target{}
	set := conf.New("gyptarget", os.Stderr)
	set.Addr(&t.Announce.Addr, "http", "`address` to serve at, IP:port")
	set.Addr(&t.NodeAddr, "node", "`address` of the node beside it, IP:port")
	set.Name(&t.Announce.Service, "service", "", "service to announce")
	set.Name(&t.Announce.Domain, "domain", "", "failure domain to announce")
	set.Int(&t.Announce.Slots, "slots", defaultSlots, 1, target.MaxSlots, "tasks at a time")
	set.Int(&t.Announce.Connections, "connections", defaultConnections, 1, target.MaxConnections, "connections at a time")
	set.Int(&t.Speed, "speed", fullSpeed, 1, maxSpeed, "percent of full speed")
	if code := life.ParseSettings(set, args, os.Stderr); code >= 0 {
		return code
	}
	log := logs.New(os.Stderr, "gyptarget", t.Announce.Addr)
	srv, err := life.NewHTTPServer(t.Announce.Addr, log, &stats.Set{})
	if err != nil {
		return life.ExitCode(err, os.Stderr)
	}
	t.Serve(srv)
	daemon := life.Daemon{
		Name: "gyptarget", Log: log, Servers: []transport.Server{srv},
		Started: func(ctx context.Context) { go t.RunAnnouncer(ctx) },
	}
	return life.ExitCode(daemon.Run(context.Background()), os.Stderr)
}
