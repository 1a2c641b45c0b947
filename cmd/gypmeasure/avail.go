package main

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/load"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/netem"
	"github.com/gypsumlanding/gypsumlanding/pkg/client"
)

const (
	freshJobRate = 100 // jobs per second, of one task each
	freshJobTime = 10 * time.Second
	failureDelay = 3 * time.Second // from the start of the load to the failure
	outageLead   = time.Second     // from the start of the table outage to the failure of the node
)

// availabilityDoc is the effect of a failure on the jobs that arrive after it.
type availabilityDoc struct {
	ArrivedJobs       int            `json:"jobs"`       // jobs that arrived after the failure
	AnsweredJobs      int            `json:"whole"`      // of ArrivedJobs, answered
	NotRun            int            `json:"notrun"`     // of ArrivedJobs, known not to have run
	Unknown           int            `json:"unknown"`    // of ArrivedJobs, without a known outcome
	Failed            int            `json:"failed"`     // of ArrivedJobs, failed
	EarlierUnanswered int            `json:"inflight"`   // jobs that arrived before the failure and were not answered
	RecoverySeconds   float64        `json:"recovery_s"` // from the failure to the arrival of the last job that was not answered
	Doubled           int            `json:"doubled"`    // as in load.Verdict
	Reasons           map[string]int `json:"reasons"`    // of ArrivedJobs that were not answered
	Lost              int            `json:"lost"`       // as in load.Verdict
}

// failureFunc causes one failure and returns the time at which it began.
type failureFunc func(ctx context.Context, f *fleet.Fleet) (time.Time, error)

// killNode kills one node.
func killNode(_ context.Context, f *fleet.Fleet) (time.Time, error) {
	p, _ := f.Proc("n3")
	at := time.Now()
	p.Kill()
	f.Remove("n3")
	return at, nil
}

// suspendNode suspends one node, whose connections stay open.
func suspendNode(_ context.Context, f *fleet.Fleet) (time.Time, error) {
	p, _ := f.Proc("n3")
	return time.Now(), p.Signal(syscall.SIGSTOP)
}

// isolateNode makes one node unreachable, while it can reach the others.
func isolateNode(_ context.Context, f *fleet.Fleet) (time.Time, error) {
	c, err := f.Proxy("n3")
	if err == nil {
		c.SetMode(netem.Blackhole)
	}
	return time.Now(), err
}

// stopNode asks one node to shut down.
func stopNode(_ context.Context, f *fleet.Fleet) (time.Time, error) {
	p, _ := f.Proc("n3")
	return time.Now(), p.Signal(syscall.SIGTERM)
}

// stopTable starts an outage of the table.
func stopTable(ctx context.Context, f *fleet.Fleet) (time.Time, error) {
	return time.Now(), f.Send(ctx, http.MethodPost, "store.http", "/fault", map[string]string{"mode": "down"}, nil)
}

// duringTableOutage returns a failureFunc that calls fail outageLead after the table has
// gone down.
func duringTableOutage(fail failureFunc) failureFunc {
	return func(ctx context.Context, f *fleet.Fleet) (time.Time, error) {
		if _, err := stopTable(ctx, f); err != nil {
			return time.Time{}, err
		}
		time.Sleep(outageLead)
		return fail(ctx, f)
	}
}

// measureAvailability runs a steady load of new jobs on a fleet, causes a failure during
// it, and counts the outcomes of the jobs that arrive after the failure. The entries
// generate the keys of the jobs.
func measureAvailability(ctx context.Context, bin string, opts fleet.Options, fail failureFunc) (any, error) {
	var doc availabilityDoc
	err := withFleet(ctx, bin, opts, func(f *fleet.Fleet) error {
		plan := load.Plan{
			Entries: f.EntryURLs(), CatalogueEntry: "plan", Rate: freshJobRate, ArrivalPeriod: freshJobTime, Seed: 1, SingleTaskShare: 1,
			EntryKeys: true, Speeds: []int{100}, Slots: 8,
		}
		failureTime := make(chan time.Time, 1)
		go func() {
			time.Sleep(failureDelay)
			at, err := fail(ctx, f)
			if err != nil {
				at = time.Time{}
			}
			failureTime <- at
		}()
		jobs := load.Run(ctx, plan)
		starts, err := f.TaskStarts(ctx)
		if err != nil {
			return err
		}
		v := load.Evaluate(plan, jobs, starts)
		doc.Doubled = v.Duplicated
		doc.Lost = v.Lost
		doc.addJobs(jobs, <-failureTime)
		return nil
	})
	return doc, err
}

// addJobs counts the outcomes of the jobs of a load with a failure at the given time.
func (d *availabilityDoc) addJobs(jobs []*load.Job, failureTime time.Time) {
	for _, j := range jobs {
		answered := j.Outcome.State == client.Answered
		if j.Arrival.Before(failureTime) {
			if !answered {
				d.EarlierUnanswered++
			}
			continue
		}
		d.ArrivedJobs++
		switch j.Outcome.State {
		case client.Answered:
			d.AnsweredJobs++
		case client.NotRun:
			d.NotRun++
		case client.Failed:
			d.Failed++
		default:
			d.Unknown++
		}
		if !answered {
			if d.Reasons == nil {
				d.Reasons = map[string]int{}
			}
			d.Reasons[j.Outcome.Reason]++
			d.RecoverySeconds = max(d.RecoverySeconds, j.Arrival.Sub(failureTime).Seconds())
		}
	}
}
