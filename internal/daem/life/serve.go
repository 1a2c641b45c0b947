package life

import (
	"context"
	"net"
	"net/url"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/conf"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/guard"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
)

const (
	// reserveTimeout is longer than a sender may pause within a message.
	reserveTimeout  = 6 * time.Second
	reserveInterval = 10 * time.Millisecond
)

// Defaults and bounds of the settings that the limits for clients are sized for.
const (
	defaultMemoryMB = 512
	defaultMaxFDs   = 4096
	minMemoryMB     = 16
	minMaxFDs       = 64
	maxSetting      = 1 << 24
)

// DeclareIngress declares the settings that the limits for clients are sized for.
func DeclareIngress(set *conf.Set, memoryMB, maxFDs *int) {
	set.Int(memoryMB, "memory-mb", defaultMemoryMB, minMemoryMB, maxSetting, "memory that the limits for clients are sized for, MB")
	set.Int(maxFDs, "max-fds", defaultMaxFDs, minMaxFDs, maxSetting, "number of descriptors that the limits for clients are sized for")
}

// NewHTTPServer is like NewGuardedHTTPServer without limits on connections and bodies.
func NewHTTPServer(addr string, log logs.Logger, counters *stats.Set) (*khttp.Server, error) {
	return NewGuardedHTTPServer(addr, log, counters, &guard.Guard{})
}

// NewGuardedHTTPServer listens on addr and returns an HTTP server for it that limits the size
// of headers and the time of slow clients, and what g limits. The server shows the counters at
// stats.JSONPath. NewGuardedHTTPServer also makes the kratos library log to log.
func NewGuardedHTTPServer(addr string, log logs.Logger, counters *stats.Set, g *guard.Guard) (*khttp.Server, error) {
	ln, err := (&net.ListenConfig{KeepAliveConfig: keepAlive}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	klog.SetLogger(log.Kratos())
	// Without an endpoint, the library would search the network interfaces for one, and
	// they can't always be listed.
	endpoint := &url.URL{Scheme: "http", Host: ln.Addr().String()}
	srv := khttp.NewServer(khttp.Listener(g.Listener(ln)), khttp.Endpoint(endpoint), khttp.Timeout(0))
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return guard.WithConn(withConnection(ctx, conn), conn)
	}
	srv.ConnState = guard.ConnState
	srv.ReadHeaderTimeout = readHeaderTimeout
	srv.ReadTimeout = readTimeout
	srv.IdleTimeout = idleTimeout
	srv.MaxHeaderBytes = maxHeaderBytes
	if g.MaxHeader != nil {
		srv.MaxHeaderBytes = guard.MaxHeaderBytes
	}
	srv.Handler = g.Handler(srv.Handler)
	srv.Handle(stats.JSONPath, counters)
	return srv, nil
}

// Ingress makes the guards of a process and holds what they share. Make one with NewIngress.
type Ingress struct {
	Sizes    guard.Sizes
	reporter *guard.Reporter
	clients  *guard.Budget // of callers, and of what reaches the ports for operators
	targets  *guard.Budget // of heartbeats
	messages *guard.Budget // of other processes
}

// NewIngress returns the limits of a process that may use the given memory and number of
// descriptors; 0 means unknown.
func NewIngress(memoryMB, maxFDs int, log logs.Logger, counters *stats.Set) *Ingress {
	sizes := guard.SizesFor(memoryMB, maxFDs)
	in := &Ingress{
		Sizes: sizes, reporter: &guard.Reporter{Count: counters.Count, Event: log.Event},
		clients: &guard.Budget{Total: sizes.Bytes}, targets: &guard.Budget{Total: sizes.Bytes}, messages: &guard.Budget{Total: sizes.Bytes},
	}
	for _, c := range guard.Causes() {
		counters.Declare([]string{guard.CounterPrefix + c})
	}
	counters.Gauge(guard.CounterPrefix+"bytes", in.clients.Used)
	return in
}

// Clients returns the guard of a port for callers. One address may make all connections, that
// of a load balancer.
func (in *Ingress) Clients() *guard.Guard {
	return &guard.Guard{Table: guard.Table{Max: in.Sizes.ClientConns}, Bodies: in.clients, Report: in.reporter.Report}
}

// Targets returns the guard of a port for heartbeats.
func (in *Ingress) Targets() *guard.Guard {
	n := in.Sizes.ClientConns
	return &guard.Guard{Table: guard.Table{Max: n, MaxPerAddr: n / 2}, Bodies: in.targets, Report: in.reporter.Report}
}

// Operators returns the guard of a port for metrics or readiness checks.
func (in *Ingress) Operators() *guard.Guard {
	return &guard.Guard{Table: guard.Table{Max: in.Sizes.AuxConns}, Bodies: in.clients, Report: in.reporter.Report}
}

// PeerListener returns a listener for calls between processes that limits the connections of ln.
func (in *Ingress) PeerListener(ln net.Listener) net.Listener {
	n := in.Sizes.PeerConns
	g := &guard.Guard{Table: guard.Table{Max: n, MaxPerAddr: n / 2}, Report: in.reporter.Report, NoHTTP: true}
	return g.Listener(ln)
}

// MaxCalls returns the number of calls of other processes that may be in progress.
func (in *Ingress) MaxCalls() int { return in.Sizes.Calls }

// ReserveMessage reserves bytes for a message between processes, beside those that are held for it.
// It waits for them, as to break the connection would also end the calls in progress on it.
func (in *Ingress) ReserveMessage(bytes, held int64) bool {
	for end := time.Now().Add(reserveTimeout); !in.messages.Reserve(bytes, held); time.Sleep(reserveInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// ReleaseMessage returns bytes that ReserveMessage has reserved.
func (in *Ingress) ReleaseMessage(bytes int64) { in.messages.Release(bytes) }

// ReportMessage reports that a message between processes broke the limits.
func (in *Ingress) ReportMessage() { in.reporter.Report(guard.CauseMessage) }

// ReportUnread reports that another process did not read replies.
func (in *Ingress) ReportUnread() { in.reporter.Report(guard.CauseUnread) }
