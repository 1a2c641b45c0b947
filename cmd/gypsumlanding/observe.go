package main

import (
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
	"github.com/gypsumlanding/gypsumlanding/platform"
)

// settingsEvery is how often the settings file is looked at, since it may change
// without a signal.
const settingsEvery = 5 * time.Second

// observe adds the server of metrics and status. A process whose port is taken
// serves without it.
func (p process) observe(servers []transport.Server, r report.Process) []transport.Server {
	p.counters.Gauge("log.dropped", p.log.Dropped)
	if p.metrics == 0 {
		return servers
	}
	host, _, err := net.SplitHostPort(p.cfg.InternalAddr)
	if err != nil {
		host = ""
	}
	srv, err := life.NewHTTPServer(net.JoinHostPort(host, strconv.Itoa(p.metrics)), p.log, p.counters)
	if err != nil {
		p.log.Event("metrics_failed", "port", p.metrics, "err", err)
		return servers
	}
	r.Name, r.Address, r.Incarnation, r.Started, r.Dropped = p.cfg.Name, p.cfg.InternalAddr, p.life, p.started, p.log.Dropped
	srv.Handle(stats.TextPath, p.counters.TextHandler())
	srv.Handle(report.StatusPath, r)
	return append(servers, srv)
}

// reload reads the settings again at each SIGHUP, and when the file has changed,
// takes over the seeds, and tells what changed or is wrong. Addresses and limits
// of a process don't change in its life.
func (p process) reload(setSeeds func([]string)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	look := time.NewTicker(settingsEvery)
	written, known := modified(p.path), p.cfg
	for {
		why := "signal"
		select {
		case <-signals:
		case <-look.C:
			if modified(p.path).Equal(written) {
				continue
			}
			why = "file"
		}
		written = modified(p.path)
		cfg, err := platform.ReadSettings(p.path, p.role)
		if err != nil {
			p.log.Event("settings_invalid", "after", why, "err", err)
			continue
		}
		setSeeds(cfg.Seeds)
		p.log.Event("settings_read", "after", why, "changed", strings.Join(cfg.ChangesFrom(known), "; "))
		known = cfg
	}
}

// modified returns when a file was written last; a file that can't be read
// counts as never written.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
