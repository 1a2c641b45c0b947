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
	availRate  = 100 // jobs a second, of one task each
	availTime  = 10 * time.Second
	failAt     = 3 * time.Second
	outageLead = time.Second // the table goes down before the node
)

type availDoc struct {
	Jobs     int            `json:"jobs"`       // that arrived after the failure
	Whole    int            `json:"whole"`      // of these, answered
	NotRun   int            `json:"notrun"`     // refused truly
	Unknown  int            `json:"unknown"`    // lost to "unknown"
	Failed   int            `json:"failed"`     //
	InFlight int            `json:"inflight"`   // jobs that arrived before and were not answered
	Recovery float64        `json:"recovery_s"` // from the failure to the arrival of the last job not answered
	Doubled  int            `json:"doubled"`
	Reasons  map[string]int `json:"reasons"` // of those not answered
	Lost     int            `json:"lost"`
}

// failure brings one failure about and returns when.
type failure func(ctx context.Context, f *fleet.Fleet) (time.Time, error)

func killed(_ context.Context, f *fleet.Fleet) (time.Time, error) {
	p, _ := f.Proc("n3")
	at := time.Now()
	p.Kill()
	f.Remove("n3")
	return at, nil
}

func frozen(_ context.Context, f *fleet.Fleet) (time.Time, error) {
	p, _ := f.Proc("n3")
	return time.Now(), p.Signal(syscall.SIGSTOP)
}

func unreachable(_ context.Context, f *fleet.Fleet) (time.Time, error) {
	c, err := f.Proxy("n3")
	if err == nil {
		c.SetMode(netem.Blackhole)
	}
	return time.Now(), err
}

func stopped(_ context.Context, f *fleet.Fleet) (time.Time, error) {
	p, _ := f.Proc("n3")
	return time.Now(), p.Signal(syscall.SIGTERM)
}

func tableDown(ctx context.Context, f *fleet.Fleet) (time.Time, error) {
	return time.Now(), f.Send(ctx, http.MethodPost, "store.http", "/fault", map[string]string{"mode": "down"}, nil)
}

// inOutage brings a failure about a moment after the table went down.
func inOutage(fail failure) failure {
	return func(ctx context.Context, f *fleet.Fleet) (time.Time, error) {
		if _, err := tableDown(ctx, f); err != nil {
			return time.Time{}, err
		}
		time.Sleep(outageLead)
		return fail(ctx, f)
	}
}

// availability runs a steady load of fresh jobs on a fleet of today's size and
// counts what a failure costs those that arrive after it. Keys are made by the
// entries.
func availability(ctx context.Context, bin string, opts fleet.Options, fail failure) (any, error) {
	var doc availDoc
	err := withFleet(ctx, bin, opts, func(f *fleet.Fleet) error {
		plan := load.Plan{
			Entries: f.EntryURLs(), CatalogueEntry: "plan", Rate: availRate, ArrivalPeriod: availTime, Seed: 1, SingleTaskShare: 1,
			EntryKeys: true, Speeds: []int{100}, Slots: 8,
		}
		failed := make(chan time.Time, 1)
		go func() {
			time.Sleep(failAt)
			at, err := fail(ctx, f)
			if err != nil {
				at = time.Time{}
			}
			failed <- at
		}()
		jobs := load.Run(ctx, plan)
		starts, err := f.TaskStarts(ctx)
		if err != nil {
			return err
		}
		v := load.Evaluate(plan, jobs, starts)
		doc.Doubled = v.Duplicated
		doc.Lost = v.Lost
		doc.count(jobs, <-failed)
		return nil
	})
	return doc, err
}

func (d *availDoc) count(jobs []*load.Job, failed time.Time) {
	for _, j := range jobs {
		whole := j.Outcome.State == client.Answered
		if j.Arrival.Before(failed) {
			if !whole {
				d.InFlight++
			}
			continue
		}
		d.Jobs++
		switch j.Outcome.State {
		case client.Answered:
			d.Whole++
		case client.NotRun:
			d.NotRun++
		case client.Failed:
			d.Failed++
		default:
			d.Unknown++
		}
		if !whole {
			if d.Reasons == nil {
				d.Reasons = map[string]int{}
			}
			d.Reasons[j.Outcome.Reason]++
			d.Recovery = max(d.Recovery, j.Arrival.Sub(failed).Seconds())
		}
	}
}
