// Command gypmeasure measures the system on loopback with stand-ins: what it
// adds to a direct call, how many empty tasks it takes a second against a bare
// chain of HTTP, net/rpc and HTTP, what idle daemons use, and what failures cost
// new jobs. It prints one JSON object a measurement.
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
	readyTimeout = 60 * time.Second
	today        = 11 // nodes of each firm
)

// measurements are the parts of a full run, in order.
var measurements = []struct {
	name string
	run  func(ctx context.Context, bin string) (any, error)
}{
	{"overhead", overhead},
	{"throughput", throughput},
	{"idle", idle(today)},
	{"idle50", idle(50)},
	{"idle100", idle(100)},
	{"spread", spread(today)},
	{"spread100", spread(100)},
	{"kill", failing(fleet.Options{}, killed)},
	{"freeze", failing(fleet.Options{}, frozen)},
	{"cut", failing(fleet.Options{Proxies: true}, unreachable)},
	{"stop", failing(fleet.Options{}, stopped)},
	{"outage", failing(fleet.Options{}, tableDown)},
	{"outagekill", failing(fleet.Options{}, inOutage(killed))},
	{"outagefreeze", failing(fleet.Options{}, inOutage(frozen))},
	{"outagecut", failing(fleet.Options{Proxies: true}, inOutage(unreachable))},
}

// failing returns the measurement of what one failure costs.
func failing(opts fleet.Options, fail failure) func(ctx context.Context, bin string) (any, error) {
	return func(ctx context.Context, bin string) (any, error) { return availability(ctx, bin, opts, fail) }
}

func main() {
	role := flag.String("role", "", "serve as part of the bare chain: front or back")
	addr := flag.String("addr", "", "`address` of that part")
	next := flag.String("next", "", "`address` of the next part")
	only := flag.String("only", "", "name of the only measurement to run")
	flag.Parse()
	if *role != "" {
		os.Exit(life.ExitCode(serveChain(*role, *addr, *next), os.Stderr))
	}
	os.Exit(life.ExitCode(measure(context.Background(), *only), os.Stderr))
}

func measure(ctx context.Context, only string) error {
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

// withFleet starts a fleet with the entry "plan", calls f and ends the fleet.
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
