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

// running is a load in progress.
type running struct {
	plan load.Plan
	jobs []*load.Job
	done chan struct{}
}

// callers are the single submissions of a script.
type callers struct {
	jobs []*load.Job
}

// startLoad is "load rate=30 time=3s seed=1 resubmit=0.2 single=0.7 giveup=0":
// it starts a load and goes on.
func startLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	opts := options(ts, args)
	length, err := time.ParseDuration(opts["time"])
	ts.Check(err)
	r := &running{done: make(chan struct{}), plan: load.Plan{
		Entries: s.fleet.EntryURLs(), CatalogueEntry: "plan", ArrivalPeriod: length,
		Rate: number(ts, opts, "rate", 30), Seed: uint64(number(ts, opts, "seed", 1)),
		ResubmitShare: number(ts, opts, "resubmit", 0.2), SingleTaskShare: number(ts, opts, "single", 0.7),
		MaxTasks: int(number(ts, opts, "tasks", 10)), Speeds: []int{100}, Slots: 8,
		AbandonShare: number(ts, opts, "giveup", 0),
	}}
	s.loads = append(s.loads, r)
	go func() {
		defer close(r.done)
		r.jobs = load.Run(context.Background(), r.plan)
	}()
}

// duringLoad is "during N": it waits until the targets saw N starts in all.
func duringLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	s.within(ts, func(ctx context.Context) error {
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

// settle waits until all loads have their outcomes.
func settle(ts *testscript.TestScript, _ bool, _ []string) {
	for _, r := range sceneOf(ts).loads {
		<-r.done
	}
}

// submit is "submit via=e1 key=KEY tasks=N ms=N timeout=MS giveup=MS want=STATE":
// it submits one job and prints its outcome. With giveup the caller goes away
// after that time, and no outcome is judged.
func submit(ts *testscript.TestScript, neg bool, args []string) {
	s := sceneOf(ts)
	opts := options(ts, args)
	via := "e1"
	if name, ok := opts["via"]; ok {
		via = name
	}
	j := &load.Job{Arrival: time.Now()}
	job := client.Job{Entry: "plan", Timeout: time.Duration(number(ts, opts, "timeout", 5000)) * time.Millisecond}
	for i := range int(number(ts, opts, "tasks", 1)) {
		token := fmt.Sprintf("%s-%d-%d", opts["key"], len(s.single.jobs), i)
		if opts["key"] != "" {
			token = fmt.Sprintf("%s-%d", opts["key"], i)
		}
		work := targ.TaskBody{Token: token, RunTimeMS: int64(number(ts, opts, "ms", 50))}
		body, err := json.Marshal(work)
		ts.Check(err)
		j.Tasks = append(j.Tasks, work)
		job.Tasks = append(job.Tasks, body)
	}
	c := &client.Client{Entries: s.fleet.EntryURLs()}
	ctx := context.Background()
	if patience := number(ts, opts, "giveup", 0); patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(patience)*time.Millisecond)
		defer cancel()
		j.Abandoned = true
	}
	j.Outcome, j.Err = c.Once(ctx, "http://"+s.fleet.Addr(via+".http"), opts["key"], job)
	s.single.jobs = append(s.single.jobs, j)
	text, err := json.Marshal(j.Outcome)
	ts.Check(err)
	ts.Logf("%s %v", text, j.Err)
	if want := opts["want"]; want != "" && (string(j.Outcome.State) == want) == neg {
		ts.Fatalf("got state %q, reason %q, error %v", j.Outcome.State, j.Outcome.Reason, j.Err)
	}
}

// judge is "judge P1,P3 WHAT WAS TRIED": it compares what all callers got with
// what all targets saw, and notes the points as held or not. With
// answered=all before the points, every job must have been answered.
func judge(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	all := args[0] == "answered=all"
	if all {
		args = args[1:]
	}
	var starts []targ.TaskStart
	s.within(ts, func(ctx context.Context) error {
		var err error
		starts, err = s.fleet.TaskStarts(ctx)
		return err
	})
	plan := load.Plan{Speeds: []int{100}, Slots: 8}
	jobs := s.single.jobs
	seed := uint64(0)
	for _, r := range s.loads {
		jobs = append(jobs, r.jobs...)
		seed = r.plan.Seed
	}
	v := load.Evaluate(plan, jobs, starts)
	text, err := json.Marshal(v)
	ts.Check(err)
	ts.Logf("%s", text)
	bad := v.Lost + v.Duplicated + v.WrongAnswers + v.FalseNotRun + v.Conflicting
	held := bad == 0 && (!all || v.Answered == v.Jobs)
	for _, point := range append(strings.Split(args[0], ","), "P9") {
		ts.Check(proof.Record(proof.Result{
			Point: point, Held: held, Starts: v.Starts, Runs: v.Jobs, Seed: seed, Conditions: strings.Join(args[1:], " "),
		}))
	}
	if !held {
		ts.Fatalf("not held: %s", text)
	}
}
