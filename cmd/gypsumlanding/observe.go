package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes, since it may change without a signal.
const settingsPollInterval = 5 * time.Second

// addMetricsServer appends the server of metrics and status to servers, unless the
// metrics port is 0. If it can't listen on the port, it logs that, and the process
// runs without the server. The fields of r that describe the process are filled in. Placement
// queries are answered by where, which is nil at a node.
func (p process) addMetricsServer(servers []transport.Server, r report.Process, where *report.WhereHandler) []transport.Server {
	p.counters.Gauge("log.dropped", p.log.Dropped)
	if p.metricsPort == 0 {
		return servers
	}
	host, _, err := net.SplitHostPort(p.cfg.InternalAddr)
	if err != nil {
		host = ""
	}
	srv, err := life.NewGuardedHTTPServer(net.JoinHostPort(host, strconv.Itoa(p.metricsPort)), p.log, p.counters, p.ingress.Operators())
	if err != nil {
		p.log.Event("metrics_failed", "port", p.metricsPort, "err", err)
		return servers
	}
	r.Name, r.Address, r.Incarnation, r.Started, r.Dropped = p.cfg.Name, p.cfg.AdvertisedAddr, p.incarnation, p.startTime, p.log.Dropped
	srv.Handle(stats.TextPath, p.counters.TextHandler())
	srv.Handle(report.StatusPath, r)
	if where != nil {
		srv.Handle(report.WherePath, where)
	}
	return append(servers, srv)
}

// watchSettings reads the settings again at each SIGHUP and whenever the file has
// changed. It applies the seeds, and logs all changes and errors. Other settings take
// effect when the process restarts. It never returns.
func (p process) watchSettings(setSeeds func([]string)) {
	ticker := time.NewTicker(settingsPollInterval)
	lastModTime, current := modTime(p.settingsPath), p.cfg
	for {
		trigger := "signal"
		select {
		case <-p.hangups:
		case <-ticker.C:
			if modTime(p.settingsPath).Equal(lastModTime) {
				continue
			}
			trigger = "file"
		}
		lastModTime = modTime(p.settingsPath)
		cfg, err := readSettings(p.settingsPath, p.role, p.advertisedAddr)
		if err != nil {
			p.log.Event("settings_invalid", "after", trigger, "err", err)
			continue
		}
		setSeeds(cfg.Seeds)
		p.log.Event("settings_read", "after", trigger, "changed", strings.Join(cfg.ChangesFrom(current), "; "))
		current = cfg
	}
}

// modTime returns the modification time of a file, or the zero time if the file can't
// be examined.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
