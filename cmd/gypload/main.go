// Command gypload submits jobs to entries in an open loop and prints what their
// callers got as one JSON object. Starts at targets are judged only where the
// targets are stand-ins.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/life"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/load"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
	"github.com/peterbourgon/ff/v3"
)

const (
	defaultSlots = 8
	fullSpeed    = 100
)

func main() { os.Exit(life.ExitCode(run(os.Args[1:]), os.Stderr)) }

func run(args []string) error {
	var plan load.Plan
	fs := flag.NewFlagSet("gypload", flag.ExitOnError)
	entries := fs.String("entries", "http://127.0.0.1:8081", "base `URLs` of entries, with commas between")
	targets := fs.String("targets", "", "base `URLs` of stand-in targets to judge by, with commas between")
	fs.StringVar(&plan.CatalogueEntry, "entry", "plan", "catalogue entry")
	fs.Float64Var(&plan.Rate, "rate", 40, "jobs a second")
	fs.DurationVar(&plan.ArrivalPeriod, "time", 10*time.Second, "how long jobs arrive")
	fs.Uint64Var(&plan.Seed, "seed", 1, "seed of the arrivals and sizes")
	fs.IntVar(&plan.MaxTasks, "tasks", 30, "tasks of the largest job")
	fs.Float64Var(&plan.SingleTaskShare, "single", 0.7, "share of jobs with one task")
	fs.Float64Var(&plan.ResubmitShare, "resubmit", 0.05, "share of jobs submitted twice")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("GYPLOAD")); err != nil {
		return err
	}
	plan.Entries = strings.Split(*entries, ",")
	plan.Speeds = []int{fullSpeed}
	plan.Slots = defaultSlots
	jobs := load.Run(context.Background(), plan)
	starts, err := readStarts(*targets)
	if err != nil {
		return err
	}
	line, err := json.Marshal(load.Evaluate(plan, jobs, starts))
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}

func readStarts(targets string) ([]targ.TaskStart, error) {
	if targets == "" {
		return nil, nil
	}
	var starts []targ.TaskStart
	for base := range strings.SplitSeq(targets, ",") {
		resp, err := http.Get(base + "/starts")
		if err != nil {
			return nil, err
		}
		var report targ.Report
		err = json.NewDecoder(resp.Body).Decode(&report)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		starts = append(starts, report.Starts...)
	}
	return starts, nil
}
