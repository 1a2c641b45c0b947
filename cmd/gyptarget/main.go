// Command gyptarget is a stand-in for a target. It is used only for tests and
// measurements.
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

// Defaults and limits of the settings.
const (
	defaultSlots       = 8
	defaultConnections = 64
	fullSpeedPercent   = 100
	maxSpeedPercent    = 10_000
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	t := &targ.Target{}
	settings := conf.New("gyptarget", os.Stderr)
	settings.Addr(&t.Announce.Addr, "http", "`address` to serve at, IP:port")
	settings.Addr(&t.NodeAddr, "node", "`address` of the node of this target, IP:port")
	settings.Name(&t.Announce.Service, "service", "", "service to announce")
	settings.Name(&t.Announce.Domain, "domain", "", "failure domain to announce")
	settings.Int(&t.Announce.Slots, "slots", defaultSlots, 1, target.MaxSlots, "maximum number of concurrent tasks")
	settings.Int(&t.Announce.Connections, "connections", defaultConnections, 1, target.MaxConnections, "maximum number of concurrent connections")
	settings.Int(&t.Speed, "speed", fullSpeedPercent, 1, maxSpeedPercent, "speed in percent of full speed")
	if code := life.ParseSettings(settings, args, os.Stderr); code >= 0 {
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
