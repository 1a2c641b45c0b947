// Command gypdemo runs the whole system on loopback: stand-ins, entries and nodes
// as processes, and a load of jobs through all entries. It prints a JSON object
// with the outcomes of a load on a stand-in of the users' platform, and in its
// last line one with those of a load through the interface of the system itself.
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
	"github.com/gypsumlanding/gypsumlanding/internal/stand/load"
)

const (
	readyTimeout        = 30 * time.Second // for the start of all processes
	loadDuration        = 10 * time.Second
	slotsPerTarget      = 8
	wastedCounterPrefix = "wasted." // of the counters of calls beyond one per task
)

// targetSpeeds are the speeds of the eleven targets, in percent of full speed.
var targetSpeeds = []int{100, 60, 140, 100, 80, 120, 50, 100, 150, 90, 110}

func main() {
	rate := flag.Float64("rate", 40, "jobs per second")
	seed := flag.Uint64("seed", 1, "seed of the load")
	logs := flag.String("logs", "", "`folder` to keep the logs in; empty keeps none")
	flag.Parse()
	os.Exit(life.ExitCode(withFolder(*logs, func(dir string) error {
		if err := runPlatform(dir); err != nil {
			return err
		}
		return runFleet(context.Background(), dir, *rate, *seed)
	}), os.Stderr))
}

// withFolder calls f with dir, or with a temporary folder if dir is empty, which is
// removed afterwards.
func withFolder(dir string, f func(dir string) error) error {
	if dir != "" {
		return f(dir)
	}
	dir, err := os.MkdirTemp("", "gypdemo")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return f(dir)
}

// runFleet submits a load to a fleet of processes and prints its outcomes. It returns an
// error if one of the system's guarantees was violated.
func runFleet(ctx context.Context, dir string, rate float64, seed uint64) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	f := fleet.New(filepath.Dir(exe), dir, fleet.Options{Speeds: targetSpeeds, Slots: slotsPerTarget})
	defer f.Close()
	if err := startFleet(ctx, f); err != nil {
		return err
	}
	plan := load.Plan{
		Entries: f.EntryURLs(), CatalogueEntry: "plan", Rate: rate, ArrivalPeriod: loadDuration, Seed: seed,
		SingleTaskShare: 0.7, ResubmitShare: 0.05, Speeds: targetSpeeds, Slots: slotsPerTarget,
	}
	fmt.Printf("running %.0f jobs a second for %s\n", rate, loadDuration)
	jobs := load.Run(ctx, plan)
	starts, err := f.TaskStarts(ctx)
	if err != nil {
		return err
	}
	v := load.Evaluate(plan, jobs, starts)
	v.WastedMessages = wastedMessages(f.Counters(ctx, "e", "n"), v.Starts)
	if err := stopAll(f); err != nil {
		return err
	}
	return printVerdict(v)
}

// startFleet starts all processes and puts the catalogue entry of the load.
func startFleet(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	started := time.Now()
	if err := f.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("3 entries and 11 nodes ready after %s\n", time.Since(started).Round(time.Millisecond))
	return f.PutPlan(ctx)
}

// stopAll shuts the processes down one by one, as an operator would: the nodes, the
// targets, the entries and the store.
func stopAll(f *fleet.Fleet) error {
	for _, kind := range []string{"n", "t", "e", "s"} {
		for _, name := range f.ProcNames(kind) {
			p, _ := f.Proc(name)
			if err := p.Stop(); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			f.Remove(name)
		}
	}
	fmt.Println("all processes stopped")
	return nil
}

// printVerdict prints the verdict as JSON, and returns an error if it has a violation.
func printVerdict(v load.Verdict) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if v.Lost+v.Duplicated+v.WrongAnswers+v.FalseNotRun+v.Conflicting > 0 {
		return fmt.Errorf("lost %d, doubled %d, wrong %d, false notrun %d, crossed %d",
			v.Lost, v.Duplicated, v.WrongAnswers, v.FalseNotRun, v.Conflicting)
	}
	return nil
}

// wastedMessages returns the number of messages per task beyond the necessary ones, from
// the counters whose names start with wastedCounterPrefix. A counted call is two messages,
// the request and its reply.
func wastedMessages(counters map[string]int64, tasks int) float64 {
	const messagesPerCall = 2
	calls := int64(0)
	for name, n := range counters {
		if len(name) > len(wastedCounterPrefix) && name[:len(wastedCounterPrefix)] == wastedCounterPrefix {
			calls += n
		}
	}
	return messagesPerCall * float64(calls) / float64(max(tasks, 1))
}
