// Command gypsumlanding runs one process of the dispatcher on the users' platform:
// "gypsumlanding entry" accepts jobs, and "gypsumlanding node" is the gate of the
// target on the same VM.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/logs"
	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/report"
	"github.com/gypsumlanding/gypsumlanding/platform"
	"github.com/peterbourgon/ff/v3"
)

const (
	roleEntry = "entry"
	roleNode  = "node"
	// defaultMetricsPort must match the port in deploy/system.toml.
	defaultMetricsPort = 9190
	// logFlushTimeout bounds the time that the process waits at its end for the last
	// log lines to be written.
	logFlushTimeout = 200 * time.Millisecond
	// memoryLimitPercent is the soft memory limit of the Go runtime, in percent of the
	// memory that the platform allows to the process.
	memoryLimitPercent = 60
	// gcPercent is the growth of the heap, in percent, that triggers a garbage
	// collection. It is below the default of 100 because heaps are only a few MB, and
	// memory costs more than the processor time of collecting garbage more often.
	gcPercent = 40
)

const usage = `usage: gypsumlanding entry|node [-settings FILE] [-advertise IP:PORT] [-metrics PORT] [-check]
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes the command with the given arguments and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else, since the signal would end the process
	merry.SetStackCaptureEnabled(false)
	if len(args) == 0 || args[0] != roleEntry && args[0] != roleNode {
		_, _ = fmt.Fprint(stderr, usage)
		return life.ExitUsage
	}
	role := args[0]
	flags := flag.NewFlagSet("gypsumlanding "+role, flag.ContinueOnError)
	flags.SetOutput(stderr)
	settingsPath := flags.String("settings", os.Getenv(platform.SettingsEnv), "the platform's settings `file`")
	advertisedAddr := flags.String("advertise", "", "`address` at which other processes call this one, IP:port, if it is not the one that it listens at")
	metricsPort := flags.Int("metrics", defaultMetricsPort, "`port` of "+stats.TextPath+" and "+report.StatusPath+"; 0 for none")
	checkOnly := flags.Bool("check", false, "check the settings, print what is wrong, and exit")
	if err := ff.Parse(flags, args[1:]); err != nil {
		return life.ExitUsage
	}
	cfg, err := readSettings(*settingsPath, role, *advertisedAddr)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return life.ExitUsage
	}
	if *checkOnly {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return life.ExitOK
	}
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	p := process{
		cfg: cfg, settingsPath: *settingsPath, role: role, advertisedAddr: *advertisedAddr, metricsPort: *metricsPort, incarnation: rand.Uint64(), startTime: boot.Now(),
		log: logs.New(stdout, "gypsumlanding", cfg.Name), counters: &stats.Set{}, hangups: hangups,
	}
	p.ingress = life.NewIngress(cfg.MemoryMB, cfg.MaxFDs, p.log, p.counters)
	err = p.serve(context.Background())
	p.log.Flush(logFlushTimeout)
	return life.ExitCode(err, stderr)
}

// readSettings reads the settings file of the role. The advertised address replaces that of the
// file unless it is empty.
func readSettings(path, role, advertisedAddr string) (platform.Settings, error) {
	cfg, err := platform.ReadSettings(path, role)
	if advertisedAddr == "" {
		return cfg, err
	}
	advertised, addrErr := cfg.WithAdvertisedAddr(advertisedAddr)
	return advertised, errors.Join(err, addrErr)
}
