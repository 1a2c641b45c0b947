package test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/load"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/proof"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
	"github.com/gypsumlanding/gypsumlanding/pkg/client"
	"github.com/rogpeppe/go-internal/testscript"
)

// loadRun is a load that runs in the background.
type loadRun struct {
	plan load.Plan
	jobs []*load.Job   // valid once done is closed
	done chan struct{} // closed when all jobs have their outcomes
}

// submissions are the jobs that a script has submitted with the command "submit".
type submissions struct {
	jobs []*load.Job
}

// startLoad implements "load rate=30 time=3s seed=1 resubmit=0.2 single=0.7 tasks=10
// giveup=0", which starts a load in the background.
func startLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	opts := parseOptions(ts, args)
	duration, err := time.ParseDuration(opts["time"])
	ts.Check(err)
	r := &loadRun{done: make(chan struct{}), plan: load.Plan{
		Entries: s.fleet.EntryURLs(), CatalogueEntry: "plan", ArrivalPeriod: duration,
		Rate: numberOption(ts, opts, "rate", 30), Seed: uint64(numberOption(ts, opts, "seed", 1)),
		ResubmitShare: numberOption(ts, opts, "resubmit", 0.2), SingleTaskShare: numberOption(ts, opts, "single", 0.7),
		MaxTasks: int(numberOption(ts, opts, "tasks", 10)), Speeds: []int{100}, Slots: 8,
		AbandonShare: numberOption(ts, opts, "giveup", 0),
	}}
	s.loads = append(s.loads, r)
	go func() {
		defer close(r.done)
		r.jobs = load.Run(context.Background(), r.plan)
	}()
}

// awaitStarts implements "during N", which waits until all targets together have
// received N starts.
func awaitStarts(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	s.withTimeout(ts, func(ctx context.Context) error {
		return fleet.Await(ctx, args[0]+" tasks started", func() bool {
			total := 0
			for _, name := range s.fleet.ProcNames("t") {
				var r targ.Report
				if s.fleet.Get(ctx, name+".http", "/starts", &r) == nil {
					total += len(r.Starts)
				}
			}
			return total >= n
		})
	})
}

// awaitLoads implements "settle", which waits until all jobs of all loads have their
// outcomes.
func awaitLoads(ts *testscript.TestScript, _ bool, _ []string) {
	for _, r := range scenarioOf(ts).loads {
		<-r.done
	}
}

// submitJob implements "submit via=e1 key=KEY tasks=N ms=N timeout=MS giveup=MS
// want=STATE", which submits one job and logs its outcome. With giveup, the caller
// disconnects after that time, and checkOutcomes ignores the job's outcome.
func submitJob(ts *testscript.TestScript, neg bool, args []string) {
	s := scenarioOf(ts)
	opts := parseOptions(ts, args)
	via := "e1"
	if name, ok := opts["via"]; ok {
		via = name
	}
	j := &load.Job{Arrival: time.Now()}
	job := client.Job{Entry: "plan", Timeout: time.Duration(numberOption(ts, opts, "timeout", 5000)) * time.Millisecond}
	for i := range int(numberOption(ts, opts, "tasks", 1)) {
		token := fmt.Sprintf("%s-%d-%d", opts["key"], len(s.submitted.jobs), i)
		if opts["key"] != "" {
			token = fmt.Sprintf("%s-%d", opts["key"], i)
		}
		work := targ.TaskBody{Token: token, RunTimeMS: int64(numberOption(ts, opts, "ms", 50))}
		body, err := json.Marshal(work)
		ts.Check(err)
		j.Tasks = append(j.Tasks, work)
		job.Tasks = append(job.Tasks, body)
	}
	c := &client.Client{Entries: s.fleet.EntryURLs()}
	ctx := context.Background()
	if giveUpAfter := numberOption(ts, opts, "giveup", 0); giveUpAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(giveUpAfter)*time.Millisecond)
		defer cancel()
		j.Abandoned = true
	}
	j.Outcome, j.Err = c.Once(ctx, "http://"+s.fleet.Addr(via+".http"), opts["key"], job)
	s.submitted.jobs = append(s.submitted.jobs, j)
	text, err := json.Marshal(j.Outcome)
	ts.Check(err)
	ts.Logf("%s %v", text, j.Err)
	if wantState := opts["want"]; wantState != "" && (string(j.Outcome.State) == wantState) == neg {
		ts.Fatalf("got state %q, reason %q, error %v", j.Outcome.State, j.Outcome.Reason, j.Err)
	}
}

// checkOutcomes implements "judge P1,P3 WHAT WAS TRIED". It compares the outcomes that all
// callers have received with the starts at all targets, and records whether the points of
// the brief held, for cmd/gypprove; each comparison counts for P9 as well. It fails if the
// points did not hold. With answered=all before the points, they hold only if every job
// was answered.
func checkOutcomes(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	wantAllAnswered := args[0] == "answered=all"
	if wantAllAnswered {
		args = args[1:]
	}
	var starts []targ.TaskStart
	s.withTimeout(ts, func(ctx context.Context) error {
		var err error
		starts, err = s.fleet.TaskStarts(ctx)
		return err
	})
	plan := load.Plan{Speeds: []int{100}, Slots: 8}
	jobs := s.submitted.jobs
	seed := uint64(0)
	for _, r := range s.loads {
		jobs = append(jobs, r.jobs...)
		seed = r.plan.Seed
	}
	v := load.Evaluate(plan, jobs, starts)
	text, err := json.Marshal(v)
	ts.Check(err)
	ts.Logf("%s", text)
	violations := v.Lost + v.Duplicated + v.WrongAnswers + v.FalseNotRun + v.Conflicting
	held := violations == 0 && (!wantAllAnswered || v.Answered == v.Jobs)
	for _, point := range append(strings.Split(args[0], ","), "P9") {
		ts.Check(proof.Record(proof.Result{
			Point: point, Held: held, Starts: v.Starts, Runs: v.Jobs, Seed: seed, Conditions: strings.Join(args[1:], " "),
		}))
	}
	if !held {
		ts.Fatalf("not held: %s", text)
	}
}
