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
	minTask    = 50 * time.Millisecond
	maxTask    = time.Second
	meanExtra  = 150 * time.Millisecond // mean of what a task takes above minTask
	maxIdle    = 512                    // connections kept to an entry
	patience   = 60 * time.Millisecond  // of callers that go away
	resubAfter = 100 * time.Millisecond // longest time before a job is sent again
)

// Plan describes the load. Entries, Entry, Rate and Time must be set.
type Plan struct {
	Entries         []string // base URLs
	CatalogueEntry  string   // catalogue entry
	Rate            float64  // jobs a second
	ArrivalPeriod   time.Duration
	Seed            uint64
	MaxTasks        int           // tasks of the largest job; 0 means 30
	SingleTaskShare float64       // share of jobs that have one task
	ResubmitShare   float64       // share of jobs submitted a second time through another entry
	Timeout         time.Duration // of each job; 0 means 5 s
	AbandonShare    float64       // share of jobs whose caller goes away soon
	EntryKeys       bool          // leave the keys of jobs submitted once to the entries
	Speeds          []int         // percent of each target, for the ideal
	Slots           int           // of each target, for the ideal
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

// Job is one job of a load and what its caller got.
type Job struct {
	Number        int // in order of arrival
	Tasks         []targ.TaskBody
	Arrival       time.Time
	ResubmitAfter time.Duration // after the arrival; 0 means never
	Abandoned     bool          // the caller goes away before the outcome

	Outcome         client.Outcome
	Err             error
	ResubmitOutcome client.Outcome // of the resubmission
	Resubmitted     bool
	ResponseTime    time.Duration // from the intended arrival to the outcome
}

// Run submits the load and returns its jobs once all have an outcome.
func Run(ctx context.Context, p Plan) []*Job {
	p = p.withDefaults()
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdle}
	defer transport.CloseIdleConnections()
	c := &client.Client{Entries: p.Entries, HTTP: &http.Client{Transport: transport}}
	jobs := p.draw()
	var wg sync.WaitGroup
	start := time.Now()
	for _, j := range jobs {
		j.Arrival = start.Add(j.Arrival.Sub(time.Time{}))
		if !sleepUntil(ctx, j.Arrival) {
			break
		}
		wg.Go(func() { j.run(ctx, c, p) })
	}
	wg.Wait()
	return jobs
}

// draw makes the jobs; their arrivals count from the zero time.
func (p Plan) draw() []*Job {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed))
	var jobs []*Job
	var at time.Duration
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at > p.ArrivalPeriod {
			return jobs
		}
		j := &Job{Number: n, Arrival: time.Time{}.Add(at)}
		tasks := 1
		if rng.Float64() >= p.SingleTaskShare {
			tasks = 1 + rng.IntN(p.MaxTasks)
		}
		for i := range tasks {
			extra := time.Duration(rng.ExpFloat64() * float64(meanExtra))
			took := min(minTask+extra, maxTask)
			j.Tasks = append(j.Tasks, targ.TaskBody{Token: fmt.Sprintf("%d-%d-%d", p.Seed, n, i), RunTimeMS: took.Milliseconds()})
		}
		if rng.Float64() < p.ResubmitShare {
			j.ResubmitAfter = 1 + time.Duration(rng.Int64N(int64(resubAfter)))
		}
		if rng.Float64() < p.AbandonShare {
			j.Abandoned = true
		}
		jobs = append(jobs, j)
	}
}

// run submits the job, and a second time where it is drawn to be.
func (j *Job) run(ctx context.Context, c *client.Client, p Plan) {
	if j.Abandoned {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, patience)
		defer cancel()
	}
	job := client.Job{Entry: p.CatalogueEntry, Timeout: p.Timeout}
	for _, t := range j.Tasks {
		body, err := json.Marshal(t)
		if err != nil {
			j.Err = err
			return
		}
		job.Tasks = append(job.Tasks, body)
	}
	if j.ResubmitAfter == 0 {
		j.submitOnce(ctx, c, p, job)
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
			out, err := c.Submit(ctx, key, job)
			j.ResubmitOutcome = out
			j.Resubmitted = err == nil
		}
	})
	j.Outcome, j.Err = c.Submit(ctx, key, job)
	j.ResponseTime = time.Since(j.Arrival)
	wg.Wait()
}

// submitOnce leaves the key to the client, or to an entry, and takes the outcome.
func (j *Job) submitOnce(ctx context.Context, c *client.Client, p Plan, job client.Job) {
	if p.EntryKeys {
		entry := p.Entries[j.Number%len(p.Entries)]
		j.Outcome, j.Err = c.Once(ctx, entry, "", job)
	} else {
		j.Outcome, j.Err = c.Do(ctx, job)
	}
	j.ResponseTime = time.Since(j.Arrival)
}

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
