// Command gypstore is a stand-in for the platform's table service and object
// store, for tests and measurements only.
package main

import (
	"context"
	"os"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/store"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var addr string
	set := conf.New("gypstore", os.Stderr)
	set.Addr(&addr, "http", "`address` to serve at, IP:port")
	if code := life.ParseSettings(set, args, os.Stderr); code >= 0 {
		return code
	}
	log := logs.New(os.Stderr, "gypstore", addr)
	srv, err := life.NewHTTPServer(addr, log, &stats.Set{})
	if err != nil {
		return life.ExitCode(err, os.Stderr)
	}
	var s store.Store
	s.Serve(srv)
	daemon := life.Daemon{Name: "gypstore", Log: log, Servers: []transport.Server{srv}}
	return life.ExitCode(daemon.Run(context.Background()), os.Stderr)
}
