// Command gypdemo runs the whole path on loopback: stand-ins, entries and nodes
// as processes, and a load of jobs through all entries. It prints a JSON object
// of what callers got and targets saw on the users' platform, and in its last
// line one of the same through the product's own interface.
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
	readyTimeout = 30 * time.Second
	loadTime     = 10 * time.Second
	slots        = 8
	wastedPrefix = "wasted."
)

// speeds are the percents of full speed of the eleven targets.
var speeds = []int{100, 60, 140, 100, 80, 120, 50, 100, 150, 90, 110}

func main() {
	rate := flag.Float64("rate", 40, "jobs a second")
	seed := flag.Uint64("seed", 1, "seed of the load")
	logs := flag.String("logs", "", "`folder` to keep the logs in; none keeps none")
	flag.Parse()
	os.Exit(life.ExitCode(inFolder(*logs, func(dir string) error {
		if err := runPlatform(dir); err != nil {
			return err
		}
		return run(context.Background(), dir, *rate, *seed)
	}), os.Stderr))
}

// inFolder calls f with the folder, or with a temporary one if it has no name.
func inFolder(dir string, f func(dir string) error) error {
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

func run(ctx context.Context, dir string, rate float64, seed uint64) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	f := fleet.New(filepath.Dir(exe), dir, fleet.Options{Speeds: speeds, Slots: slots})
	defer f.Close()
	if err := prepare(ctx, f); err != nil {
		return err
	}
	plan := load.Plan{
		Entries: f.EntryURLs(), CatalogueEntry: "plan", Rate: rate, ArrivalPeriod: loadTime, Seed: seed,
		SingleTaskShare: 0.7, ResubmitShare: 0.05, Speeds: speeds, Slots: slots,
	}
	fmt.Printf("running %.0f jobs a second for %s\n", rate, loadTime)
	jobs := load.Run(ctx, plan)
	starts, err := f.TaskStarts(ctx)
	if err != nil {
		return err
	}
	v := load.Evaluate(plan, jobs, starts)
	v.WastedMessages = wasted(f.Counters(ctx, "e", "n"), v.Starts)
	if err := stopAll(f); err != nil {
		return err
	}
	return report(v)
}

// prepare starts all processes and puts a catalogue entry.
func prepare(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	began := time.Now()
	if err := f.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("3 entries and 11 nodes ready after %s\n", time.Since(began).Round(time.Millisecond))
	return f.PutPlan(ctx)
}

// stopAll stops the processes in turn, as an operator would.
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

func report(v load.Verdict) error {
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

// wasted returns the wasted messages a task; each counted one has a reply.
func wasted(counters map[string]int64, tasks int) float64 {
	const messages = 2
	sum := int64(0)
	for name, n := range counters {
		if len(name) > len(wastedPrefix) && name[:len(wastedPrefix)] == wastedPrefix {
			sum += n
		}
	}
	return messages * float64(sum) / float64(max(tasks, 1))
}
