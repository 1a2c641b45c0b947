package coord

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/route"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// Step is a number of like tasks.
type Step struct {
	Count           int
	Size            rsrc.Vector // of each task
	DeclaredRunTime time.Duration
	After           []int  // steps that must be done first
	Label           string // that the target must have; empty for any
	PreferredLabel  string // label of the rack where the data is; empty for anywhere
	MaxPerTarget    int    // most tasks of the step on one target; 0 for any number
}

// Job is what a caller asks for.
type Job struct {
	ID            string
	Spec          string
	Route         route.Route
	ConfigVersion int64 // version of the configuration that has the route
	Steps         []Step
	Arrived       boot.Time
}

// State tells where a job stands, or how it ended.
type State int

const (
	// Waiting means that no task has started yet.
	Waiting State = iota
	// Working means that a task may have started.
	Working
	// Done means that all tasks have ended with success.
	Done
	// Failed means that a task has failed as often as the route allows.
	Failed
	// Refused means that no task has started, and none will.
	Refused
	// Abandoned means that the caller has left or cancelled the job.
	Abandoned
)

// Answer is how a job ended.
type Answer struct {
	State      State
	Reason     string
	RetryAfter time.Duration // of a refusal
}

// progress is a job that is being run.
type progress struct {
	Job
	ctx    context.Context // ends when the job does
	cancel context.CancelFunc
	steps  []chan struct{} // closed when the step is done
	away   sync.WaitGroup  // tasks that may be at a gate, also once the job has ended
	closed chan struct{}   // closed when the job has ended and none is

	mu        sync.Mutex
	flying    int  // tasks that are at a gate
	started   bool // a task has started, or may have
	left      int  // tasks that are not done
	answer    *Answer
	retries   int
	perTarget map[string]int // tasks at a target, by step and target
}

func newProgress(ctx context.Context, j Job) *progress {
	p := &progress{Job: j, perTarget: map[string]int{}, closed: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(ctx)
	for _, s := range j.Steps {
		p.left += s.Count
		p.steps = append(p.steps, make(chan struct{}))
	}
	return p
}

// end ends the job with a unless it has ended.
func (p *progress) end(a Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answer == nil {
		p.answer = &a
		p.cancel()
	}
}

// refuse ends the job with a refusal if nothing of it has started or may start.
func (p *progress) refuse(a Answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.started || p.flying > 0 || p.answer != nil {
		return false
	}
	p.answer = &a
	p.cancel()
	return true
}

// depart notes that a task is about to be sent. It reports false if the job
// has ended.
func (p *progress) depart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answer != nil || p.ctx.Err() != nil {
		return false
	}
	p.flying++
	p.away.Add(1)
	return true
}

// over tells whether the job has ended.
func (p *progress) over() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answer != nil
}

// landed notes that a task is at no gate any more, and whether it had started.
func (p *progress) landed(started bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flying--
	p.started = p.started || started
}

// begun tells whether a task has started.
func (p *progress) begun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started
}

// taskDone notes a task that is done and ends the job with the last one.
func (p *progress) taskDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left--
	if p.left == 0 && p.answer == nil {
		p.answer = &Answer{State: Done}
		p.cancel()
	}
}

// state tells where the job stands.
func (p *progress) state() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.answer != nil:
		return p.answer.State
	case p.started || p.flying > 0:
		return Working
	}
	return Waiting
}

// mayAdd tells whether a step has fewer than most tasks at a target; 0 stands
// for any number.
func (p *progress) mayAdd(key string, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return most == 0 || p.perTarget[key] < most
}

// reserve counts a task of a step at a target unless there are most already.
func (p *progress) reserve(key string, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if most > 0 && p.perTarget[key] >= most {
		return false
	}
	p.perTarget[key]++
	return true
}

// release takes back what reserve counted.
func (p *progress) release(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perTarget[key]--
}
