package life

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/url"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 16 << 10 // bytes
	closeTimeout  = 70 * time.Second
)

// Daemon is a program that serves until it is told to stop.
type Daemon struct {
	Name    string
	Servers []transport.Server
	Log     logs.Logger
	// Started is called once the servers accept; nil does nothing.
	Started func(ctx context.Context)
	// Drain finishes the work in progress before the servers close; nil does
	// nothing.
	Drain func(ctx context.Context)
}

// Run serves until SIGTERM or SIGINT, drains, and closes the servers.
func (d Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	app := kratos.New(
		kratos.Name(d.Name),
		kratos.Context(ctx),
		kratos.Server(d.Servers...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT),
		kratos.StopTimeout(closeTimeout),
		kratos.AfterStart(func(context.Context) error {
			d.Log.Event("started")
			if d.Started != nil {
				d.Started(ctx)
			}
			return nil
		}),
		kratos.BeforeStop(func(context.Context) error {
			d.Log.Event("stopping")
			if d.Drain != nil {
				d.Drain(ctx)
			}
			return nil
		}),
	)
	err := app.Run()
	d.Log.Event("stopped")
	return err
}

// HTTP binds addr and returns a server for it that bounds headers and slow
// clients, and shows the counters.
func NewHTTPServer(addr string, log logs.Logger, counters *stats.Set) (*khttp.Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	klog.SetLogger(log.Kratos())
	// The endpoint is given, since the library would look for it among the
	// machine's interfaces, which can't always be listed.
	endpoint := &url.URL{Scheme: "http", Host: ln.Addr().String()}
	srv := khttp.NewServer(khttp.Listener(ln), khttp.Endpoint(endpoint), khttp.Timeout(0))
	srv.ReadHeaderTimeout = headerTimeout
	srv.ReadTimeout = bodyTimeout
	srv.IdleTimeout = idleTimeout
	srv.MaxHeaderBytes = maxHeader
	srv.Handle(stats.JSONPath, counters)
	return srv, nil
}

// Settings parses args into set and returns the exit code to end with, or -1
// to go on. Faults go to out, a line each.
func ParseSettings(set *conf.Set, args []string, out io.Writer) int {
	if err := set.Parse(args); err != nil {
		for _, f := range set.Faults() {
			_, _ = fmt.Fprintln(out, f)
		}
		return ExitUsage
	}
	if set.CheckOnly() {
		_, _ = fmt.Fprintln(out, "settings are valid")
		return ExitOK
	}
	return -1
}

// Exit prints err, if any, and returns the exit code for it.
func ExitCode(err error, out io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(out, err.Error())
	return ExitFailed
}
