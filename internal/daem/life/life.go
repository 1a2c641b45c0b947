package life

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10         // bytes
	stopTimeout       = 70 * time.Second // for closing one server
)

// stopSignals are the signals to stop.
var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}

// keepAlive makes a server notice within about a second that a client's connection was reset
// while the network lost the reset, once the network works again.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 10}

// Daemon is a program that serves until a signal to stop arrives.
type Daemon struct {
	Name    string // of the program, for the kratos library
	Servers []transport.Server
	// Last is a server that is closed once all Servers have answered the requests in progress;
	// nil for none. It answers others about these requests, who take a refused connection for
	// the end of the process.
	Last transport.Server
	Log  logs.Logger
	// Started is called once the servers have been started, with a context that ends
	// when Run returns; nil does nothing. It must not block.
	Started func(ctx context.Context)
	// Drain is called before the servers are closed, and finishes the work in
	// progress; nil does nothing.
	Drain func(ctx context.Context)
}

// Run serves until SIGTERM or SIGINT, then calls Drain and closes the servers. A signal that comes
// while the servers are being started counts as well. If a server fails or ctx ends first, the servers
// are closed without a call of Drain. Run returns the error of a server that failed to serve or to
// close, or nil.
func (d Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The library listens to signals only after the servers have begun to serve. Until then a signal
	// would end the process.
	early := make(chan os.Signal, 1)
	signal.Notify(early, stopSignals...)
	defer signal.Stop(early)
	started := make(chan struct{})
	var drained sync.Once
	app := kratos.New(
		kratos.Name(d.Name),
		kratos.Context(ctx),
		kratos.Server(d.servers()...),
		kratos.Signal(stopSignals...),
		kratos.StopTimeout(stopTimeout),
		kratos.AfterStart(func(context.Context) error {
			d.Log.Event("started")
			if d.Started != nil {
				d.Started(ctx)
			}
			close(started)
			return nil
		}),
		kratos.BeforeStop(func(context.Context) error {
			drained.Do(func() { d.drain(ctx) })
			return nil
		}),
	)
	go func() {
		select {
		case <-started:
		case <-ctx.Done():
			return
		}
		select {
		case <-early:
			_ = app.Stop() // fails only with a registry
		case <-ctx.Done():
		}
	}()
	err := app.Run()
	d.Log.Event("stopped")
	return err
}

// drain finishes the work in progress.
func (d Daemon) drain(ctx context.Context) {
	d.Log.Event("stopping")
	if d.Drain != nil {
		d.Drain(ctx)
	}
}

// ParseSettings parses args into set. It returns -1 if the program should go on, and
// otherwise the code to exit with: ExitUsage after printing each fault to out as a line,
// or ExitOK if only a check of the settings was requested.
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

// ExitCode returns ExitOK if err is nil; otherwise it prints err to out and returns
// ExitFailed.
func ExitCode(err error, out io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(out, err.Error())
	return ExitFailed
}
