package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
	"github.com/gypsumlanding/gypsumlanding/pkg/client"
)

const (
	minRunTime       = 50 * time.Millisecond
	maxRunTime       = time.Second
	meanExtraRunTime = 150 * time.Millisecond // mean of the exponential addition to minRunTime
	maxIdleConns     = 512                    // idle connections kept to an entry
	abandonDelay     = 60 * time.Millisecond  // after which a caller that abandons its job disconnects
	maxResubmitDelay = 100 * time.Millisecond // longest time until a job is submitted again
)

// Plan describes a load. Entries, CatalogueEntry, Rate and ArrivalPeriod must be
// set.
type Plan struct {
	Entries         []string      // base URLs
	CatalogueEntry  string        // name of the catalogue entry of all jobs
	Rate            float64       // mean number of jobs per second
	ArrivalPeriod   time.Duration // during which jobs arrive
	Seed            uint64
	MaxTasks        int           // tasks of the largest job; 0 means 30
	SingleTaskShare float64       // share of jobs with exactly one task; the others have 1 to MaxTasks
	ResubmitShare   float64       // share of jobs submitted a second time through another entry
	Timeout         time.Duration // of each job; 0 means 5 s
	AbandonShare    float64       // share of jobs whose caller disconnects after a short time
	EntryKeys       bool          // let the entries create the keys of jobs that are submitted once
	Speeds          []int         // of each target in percent of full speed, for IdealTime
	Slots           int           // of each target, for IdealTime
}

func (p Plan) withDefaults() Plan {
	if p.MaxTasks == 0 {
		p.MaxTasks = 30
	}
	if p.Timeout == 0 {
		p.Timeout = 5 * time.Second
	}
	return p
}

// Job is one job of a load, with the outcome that its caller got.
type Job struct {
	Number        int // in order of arrival, from 0
	Tasks         []targ.TaskBody
	Arrival       time.Time     // intended
	ResubmitAfter time.Duration // after the arrival; 0 means never
	Abandoned     bool          // the caller disconnects after abandonDelay

	Outcome         client.Outcome // of the first submission, if Err is nil
	Err             error
	ResubmitOutcome client.Outcome // of the resubmission, if Resubmitted is set
	Resubmitted     bool           // the resubmission was made and got an outcome
	ResponseTime    time.Duration  // of the first submission, from the intended arrival
}

// Run submits the jobs of a plan at their arrival times, and returns them once all
// have an outcome or an error. If ctx ends, the remaining jobs are not submitted.
func Run(ctx context.Context, p Plan) []*Job {
	p = p.withDefaults()
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	defer transport.CloseIdleConnections()
	c := &client.Client{Entries: p.Entries, HTTP: &http.Client{Transport: transport}}
	jobs := p.drawJobs()
	var wg sync.WaitGroup
	start := time.Now()
	for _, j := range jobs {
		j.Arrival = start.Add(j.Arrival.Sub(time.Time{}))
		if !sleepUntil(ctx, j.Arrival) {
			break
		}
		wg.Go(func() { j.submit(ctx, c, p) })
	}
	wg.Wait()
	return jobs
}

// drawJobs draws the jobs of a plan. Their arrivals are relative to the zero time.
func (p Plan) drawJobs() []*Job {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var jobs []*Job
	var arrival time.Duration
	for number := 0; ; number++ {
		arrival += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if arrival > p.ArrivalPeriod {
			return jobs
		}
		j := &Job{Number: number, Arrival: time.Time{}.Add(arrival)}
		tasks := 1
		if rng.Float64() >= p.SingleTaskShare {
			tasks = 1 + rng.IntN(p.MaxTasks)
		}
		for i := range tasks {
			extra := time.Duration(rng.ExpFloat64() * float64(meanExtraRunTime))
			runTime := min(minRunTime+extra, maxRunTime)
			j.Tasks = append(j.Tasks, targ.TaskBody{Token: fmt.Sprintf("%d-%d-%d", p.Seed, number, i), RunTimeMS: runTime.Milliseconds()})
		}
		if rng.Float64() < p.ResubmitShare {
			j.ResubmitAfter = 1 + time.Duration(rng.Int64N(int64(maxResubmitDelay)))
		}
		if rng.Float64() < p.AbandonShare {
			j.Abandoned = true
		}
		jobs = append(jobs, j)
	}
}

// submit submits the job, and again with the same key if it is to be resubmitted, and
// records the outcomes.
func (j *Job) submit(ctx context.Context, c *client.Client, p Plan) {
	if j.Abandoned {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, abandonDelay)
		defer cancel()
	}
	request := client.Job{Entry: p.CatalogueEntry, Timeout: p.Timeout}
	for _, task := range j.Tasks {
		body, err := json.Marshal(task)
		if err != nil {
			j.Err = err
			return
		}
		request.Tasks = append(request.Tasks, body)
	}
	if j.ResubmitAfter == 0 {
		j.submitOnce(ctx, c, p, request)
		return
	}
	key, err := c.Key(ctx, p.Timeout)
	if err != nil {
		j.Err = err
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if sleepUntil(ctx, j.Arrival.Add(j.ResubmitAfter)) {
			outcome, err := c.Submit(ctx, key, request)
			j.ResubmitOutcome = outcome
			j.Resubmitted = err == nil
		}
	})
	j.Outcome, j.Err = c.Submit(ctx, key, request)
	j.ResponseTime = time.Since(j.Arrival)
	wg.Wait()
}

// submitOnce submits a job that is not resubmitted and records the outcome. The key
// is created by the client, or by an entry if the plan asks for it.
func (j *Job) submitOnce(ctx context.Context, c *client.Client, p Plan, request client.Job) {
	if p.EntryKeys {
		entry := p.Entries[j.Number%len(p.Entries)]
		j.Outcome, j.Err = c.Once(ctx, entry, "", request)
	} else {
		j.Outcome, j.Err = c.Do(ctx, request)
	}
	j.ResponseTime = time.Since(j.Arrival)
}

// sleepUntil sleeps until t. It reports false if ctx ended before.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
