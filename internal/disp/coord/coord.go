package coord

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/estim"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
)

const (
	// mostWait is how long a job that was admitted waits for room with nothing
	// started before it is refused, in percent of its allowance. An answer that
	// late is of little use to its caller.
	mostWait = 200
	// retryAfter is when a refused caller may come back: about the time in which
	// running tasks make room.
	retryAfter = time.Second
)

// Coordinator runs the jobs of one entry. Set the exported fields before use.
// It is safe for concurrent use.
type Coordinator struct {
	// Links returns the ways to all gates that are known.
	Links func() []*link.Link
	// Now reads the clock; nil means boot.Now.
	Now func() boot.Time
	// Trace logs a decision about a job; nil drops it.
	Trace func(event string, pairs ...any)
	// Count counts by reason; nil drops it.
	Count func(name string)
	// Time notes how long something took; nil drops it.
	Time func(name string, d time.Duration)

	times  estim.RunTimes
	nextID atomic.Uint64

	mu   sync.Mutex
	jobs map[string]*progress
}

// Submit runs a job and returns how it ended. It returns early only if ctx
// ends, which stops the job.
func (c *Coordinator) Submit(ctx context.Context, j Job) Answer {
	p := newProgress(ctx, j)
	defer p.cancel()
	if a := c.admit(p); a.State == Refused {
		c.report(p, a)
		return a
	}
	if !c.enter(p) {
		c.count("jobs.twin")
		c.trace("job_twin", "job", p.ID, "route", p.Route.Name)
		return Answer{State: Abandoned, Reason: cause.Duplicate}
	}
	defer func() { go c.leave(p) }()
	for i, s := range j.Steps {
		go c.runStep(p, i, s)
	}
	<-p.ctx.Done()
	p.end(Answer{State: Abandoned, Reason: cause.CallerDisconnected})
	c.report(p, *p.answer)
	return *p.answer
}

// Cancel stops the job with this ID and reports whether it was here.
func (c *Coordinator) Cancel(id string) bool {
	p := c.current(id)
	if p == nil {
		return false
	}
	p.end(Answer{State: Abandoned, Reason: cause.Cancelled})
	return true
}

// State tells where the job with this ID stands, and whether it is here.
func (c *Coordinator) State(id string) (State, bool) {
	p := c.current(id)
	if p == nil {
		return 0, false
	}
	return p.state(), true
}

// current returns the job with this ID if it has not ended, or nil.
func (c *Coordinator) current(id string) *progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.jobs[id]; p != nil && !p.over() {
		return p
	}
	return nil
}

// Pending returns the number of jobs of each route that have not begun.
func (c *Coordinator) Pending() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, p := range c.jobs {
		if p.state() == Waiting {
			counts[p.Route.Name]++
		}
	}
	return counts
}

// Running returns the number of jobs that have not ended.
func (c *Coordinator) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.jobs {
		if !p.over() {
			n++
		}
	}
	return n
}

// enter notes a job. It reports false if the job is here already. A caller whose
// connection broke may ask again at once; the job is then taken up again when
// nothing of the former try can run any more.
func (c *Coordinator) enter(p *progress) bool {
	for {
		former := c.put(p)
		switch {
		case former == nil:
			return true
		case !former.over():
			return false
		}
		select {
		case <-former.closed:
		case <-p.ctx.Done():
			return false
		}
	}
}

// put notes a job unless there is one with its ID, which it returns.
func (c *Coordinator) put(p *progress) *progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs == nil {
		c.jobs = map[string]*progress{}
	}
	if former := c.jobs[p.ID]; former != nil {
		return former
	}
	c.jobs[p.ID] = p
	return nil
}

// leave forgets a job that has ended once none of its tasks can run any more.
func (c *Coordinator) leave(p *progress) {
	p.away.Wait()
	c.mu.Lock()
	delete(c.jobs, p.ID)
	c.mu.Unlock()
	close(p.closed)
}

// report logs how a job ended.
func (c *Coordinator) report(p *progress, a Answer) {
	names := [...]string{"waiting", "working", "done", "failed", "refused", "abandoned"}
	c.count("jobs." + names[a.State])
	if a.State == Refused {
		c.count(cause.Refused + a.Reason)
	}
	took := c.now().Sub(p.Arrived)
	if c.Time != nil {
		c.Time("job."+names[a.State]+".ms", took)
	}
	p.mu.Lock()
	retries := p.retries
	p.mu.Unlock()
	c.trace("job", "job", p.ID, "route", p.Route.Name, "state", names[a.State], "reason", a.Reason,
		"ms", took.Milliseconds(), "retries", retries)
}

func (c *Coordinator) now() boot.Time {
	if c.Now != nil {
		return c.Now()
	}
	return boot.Now()
}

func (c *Coordinator) trace(event string, pairs ...any) {
	if c.Trace != nil {
		c.Trace(event, pairs...)
	}
}

func (c *Coordinator) count(name string) {
	if c.Count != nil {
		c.Count(name)
	}
}
