// Command gypsumlanding runs a role of the dispatcher on the users' platform:
// "gypsumlanding entry" takes jobs, "gypsumlanding node" is the gate of the
// target on its VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime/debug"
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
	// defaultMetrics is the port that deploy/system.toml names.
	defaultMetrics = 9190
	// flushLimit is how long the last log lines may take to be written.
	flushLimit = 200 * time.Millisecond
	// heapShare is the part of a process's memory, in percent, that the garbage
	// collector keeps the heap under.
	heapShare = 60
	// heapGrowth is the growth of the heap, in percent, at which garbage is
	// collected. Heaps are a few MB, and memory costs more than the processor
	// time of collecting it.
	heapGrowth = 40
)

const usage = `usage: gypsumlanding entry|node [-settings FILE] [-metrics PORT] [-check]
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	merry.SetStackCaptureEnabled(false)
	if len(args) == 0 || args[0] != roleEntry && args[0] != roleNode {
		_, _ = fmt.Fprint(errOut, usage)
		return life.ExitUsage
	}
	role := args[0]
	set := flag.NewFlagSet("gypsumlanding "+role, flag.ContinueOnError)
	set.SetOutput(errOut)
	path := set.String("settings", os.Getenv(platform.SettingsEnv), "the platform's settings `file`")
	metrics := set.Int("metrics", defaultMetrics, "`port` of "+stats.TextPath+" and "+report.StatusPath+"; 0 for none")
	check := set.Bool("check", false, "read the settings, tell what is wrong, and end")
	if err := ff.Parse(set, args[1:]); err != nil {
		return life.ExitUsage
	}
	cfg, err := platform.ReadSettings(*path, role)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return life.ExitUsage
	}
	if *check {
		_, _ = fmt.Fprintln(out, "settings are valid")
		return life.ExitOK
	}
	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * heapShare / 100)
	p := process{
		cfg: cfg, path: *path, role: role, metrics: *metrics, life: rand.Uint64(), started: boot.Now(),
		log: logs.New(out, "gypsumlanding", cfg.Name), counters: &stats.Set{},
	}
	err = p.serve(context.Background())
	p.log.Flush(flushLimit)
	return life.ExitCode(err, errOut)
}
