// Command gypmeasure measures the system on loopback with stand-ins: the latency
// that it adds to a direct call, its throughput of empty tasks compared with a
// bare chain of HTTP, net/rpc and HTTP, the resources that idle daemons use, the
// time until an edit of the catalogue is active everywhere, and the effect of
// failures on new jobs. It prints one JSON object per measurement.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
)

const (
	readyTimeout = 60 * time.Second // for the start of a fleet, or one edit
	presentNodes = 11               // number of nodes that each customer runs at present
)

// measurements are all measurements, in the order in which they run. The function run gets
// the folder of the programs and returns the result, which is printed as JSON.
var measurements = []struct {
	name string
	run  func(ctx context.Context, bin string) (any, error)
}{
	{"overhead", measureOverhead},
	{"throughput", measureThroughput},
	{"idle", measureIdle(presentNodes)},
	{"idle50", measureIdle(50)},
	{"idle100", measureIdle(100)},
	{"spread", measurePropagation(presentNodes)},
	{"spread100", measurePropagation(100)},
	{"kill", measureFailure(fleet.Options{}, killNode)},
	{"freeze", measureFailure(fleet.Options{}, suspendNode)},
	{"cut", measureFailure(fleet.Options{Proxies: true}, isolateNode)},
	{"stop", measureFailure(fleet.Options{}, stopNode)},
	{"outage", measureFailure(fleet.Options{}, stopTable)},
	{"outagekill", measureFailure(fleet.Options{}, duringTableOutage(killNode))},
	{"outagefreeze", measureFailure(fleet.Options{}, duringTableOutage(suspendNode))},
	{"outagecut", measureFailure(fleet.Options{Proxies: true}, duringTableOutage(isolateNode))},
}

// measureFailure returns the measurement of how one failure affects new jobs.
func measureFailure(opts fleet.Options, fail failureFunc) func(ctx context.Context, bin string) (any, error) {
	return func(ctx context.Context, bin string) (any, error) { return measureAvailability(ctx, bin, opts, fail) }
}

func main() {
	role := flag.String("role", "", "serve as a process of the bare chain: front or back")
	addr := flag.String("addr", "", "`address` that this process serves at")
	next := flag.String("next", "", "`address` of the next process in the chain")
	only := flag.String("only", "", "name of the only measurement to run")
	flag.Parse()
	if *role != "" {
		os.Exit(life.ExitCode(serveChain(*role, *addr, *next), os.Stderr))
	}
	os.Exit(life.ExitCode(runMeasurements(context.Background(), *only), os.Stderr))
}

// runMeasurements runs the named measurement, or all if only is empty, and prints their
// results.
func runMeasurements(ctx context.Context, only string) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	for _, m := range measurements {
		if only != "" && m.name != only {
			continue
		}
		result, err := m.run(ctx, filepath.Dir(exe))
		if err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
		line, err := json.Marshal(map[string]any{m.name: result})
		if err != nil {
			return err
		}
		fmt.Println(string(line))
	}
	return nil
}

// withFleet starts a fleet with the catalogue entry "plan", calls f and kills the fleet.
func withFleet(ctx context.Context, bin string, opts fleet.Options, f func(*fleet.Fleet) error) error {
	dir, err := os.MkdirTemp("", "gypmeasure")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fl := fleet.New(bin, dir, opts)
	defer fl.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fl.Start(ready); err != nil {
		return err
	}
	if err := fl.PutPlan(ready); err != nil {
		return err
	}
	return f(fl)
}
