package coord

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/bulk"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/interf"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/pick"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// maxListedSteps is the number of steps for which a Plan lists the gates. A body of 256 KiB
// can hold thousands of steps, whose lists would exceed the memory of a small entry.
const maxListedSteps = 32

// Plan tells how a job would be admitted and placed if it were submitted now.
type Plan struct {
	Admission
	RefusedAfter time.Duration // from now until the job is refused if none of its tasks has started by then
	Steps        []StepPlan
}

// Admission is the decision whether a job, or one of its steps, is admitted.
type Admission struct {
	Refused string // reason of package cause; empty if it is admitted
	// RetryEarliest and RetryLatest are the bounds of the delay before the caller may retry;
	// 0 if it is admitted or a retry is useless.
	RetryEarliest, RetryLatest time.Duration
}

// StepPlan tells how a step would be admitted and its first task placed.
type StepPlan struct {
	Admission
	ExpectedRunTime time.Duration // of a task on a target of speed 1
	ExpectedWait    time.Duration // until the last task of the step starts
	MaxWait         time.Duration // longest ExpectedWait accepted if the step depends on no other
	Slack           time.Duration // time until the latest start with which the answer is in time
	DependsOn       []int         // indexes of the steps that must be done before; MaxWait does not apply if there are any
	Candidates      int           // number of gates that may run a task; without any, tasks wait for one
	Usable          int           // number of candidates that can start tasks
	Gates           []GatePlan    // by address, candidates first; empty from step maxListedSteps on
}

// GatePlan tells what speaks for and against a gate for the first task of a step.
type GatePlan struct {
	Addr          string
	Target        string        // ID of its incarnation; empty if there is none
	AnswerAge     time.Duration // time since the gate last answered; negative if it never has
	Capacity      rsrc.Vector
	Used          rsrc.Vector
	QueuedWork    int64   // as in pick.Gate
	Speed         float64 // as in pick.Gate
	Candidate     bool    // the gate may run the task
	Fits          bool    // the target is large enough; Wait, RunTime and Finish are set
	Chosen        bool
	IgnoreBreaker bool          // as in pick.Choice; only of the chosen gate
	Wait          time.Duration // expected time until the task starts
	RunTime       time.Duration // expected run time at this gate
	Finish        time.Duration // expected time until the task ends
	Against       []string      // what counts against the gate: a reason of package cause, with details after ": "
}

// Where returns how j would be admitted and placed if it were submitted now. It uses the
// decisions of Submit, and changes nothing that they depend on.
func (c *Coordinator) Where(j Job) Plan {
	e := newExecution(j)
	defer e.cancel()
	now := c.now()
	_, expectedRunTime := c.longestStep(e)
	p := Plan{RefusedAfter: c.refusedFrom(e, expectedRunTime).Sub(now)}
	known := c.snapshot(e.Route.Service)
	for i, s := range e.Steps {
		sp := c.planStep(e, i, s, known, now)
		if p.Refused == "" {
			p.Admission = sp.Admission
		}
		p.Steps = append(p.Steps, sp)
	}
	return p
}

// planStep returns the plan for one step at now. It records in known what the admission of
// the step would record.
func (c *Coordinator) planStep(e *execution, i int, s Step, known *snapshot, now boot.Time) StepPlan {
	cands := &candidates{remoteFactor: c.remoteFactor(), explanation: &explanation{}}
	cands.collect(c.Links(), e.Route.Service, s, now)
	cands.separate(known.guard, e.Route, s, now)
	cands.weigh(c.knownInterference(e.Route.Service)[interf.Kind(e.Route.Name, s.Image)])
	d := c.decide(e, s, cands, now)
	known.outageSince = outageStart(known.outageSince, cands.usableCapacity() > 0, now)
	sp := StepPlan{
		Admission: Admission{Refused: d.reason}, ExpectedRunTime: d.expectedRunTime, ExpectedWait: d.longestWait,
		MaxWait: d.maxWait, Slack: d.slack, DependsOn: s.DependsOn,
		Candidates: len(cands.gates), Usable: cands.usableGates(),
	}
	if d.retryable() {
		r := c.refusal(e, s, cands, d.longestWait, now, outageDuration(known.outageSince, now))
		sp.RetryEarliest, sp.RetryLatest = c.retries.Preview(r)
	}
	if i < maxListedSteps {
		choice := cands.choose(e, s, &taskState{stepIndex: i}, d.expectedRunTime)
		sp.Gates = cands.plans(s, d.expectedRunTime, choice, now)
	}
	return sp
}

// snapshot is a copy of what the admission of a step changes for the steps after it.
type snapshot struct {
	guard       *bulk.Guard
	outageSince boot.Time
}

// snapshot returns the present state, with the guard of the given service.
func (c *Coordinator) snapshot(service string) *snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &snapshot{c.guards[service].Clone(), c.outageSince}
}

// plans returns the plans of the candidates and of the gates that were left out, for a task
// with the given expected run time and the given choice.
func (cands *candidates) plans(s Step, expectedRunTime time.Duration, choice pick.Choice, now boot.Time) []GatePlan {
	var candidate, excluded []GatePlan
	for i, l := range cands.links {
		g := cands.gates[i]
		p := newGatePlan(l, cands.explanation.views[l], now)
		p.Candidate, p.Chosen = true, i == choice.Gate
		p.IgnoreBreaker = p.Chosen && choice.IgnoreBreaker
		// The choice among one gate is the estimate for that gate.
		alone := pick.Best([]pick.Gate{g}, pick.Task{Size: s.Size, RunTime: expectedRunTime})
		if p.Fits = alone.Gate == 0; p.Fits {
			p.Wait, p.RunTime, p.Finish = alone.Wait, alone.Finish-alone.Wait, alone.Finish
		}
		p.Against = objections(g, cands.explanation.views[l], s, p)
		candidate = append(candidate, p)
	}
	for _, x := range cands.explanation.excluded {
		p := newGatePlan(x.link, cands.explanation.views[x.link], now)
		p.Against = []string{x.reason}
		excluded = append(excluded, p)
	}
	byAddr := func(a, b GatePlan) int { return strings.Compare(a.Addr, b.Addr) }
	slices.SortFunc(candidate, byAddr)
	slices.SortFunc(excluded, byAddr)
	return append(candidate, excluded...)
}

// newGatePlan returns the plan of a gate with what does not depend on the job.
func newGatePlan(l *link.Link, v link.View, now boot.Time) GatePlan {
	p := GatePlan{
		Addr: l.Addr, Target: v.Load.TargetIncarnation, AnswerAge: -1,
		Capacity: rsrc.Vector{CPU: v.Load.CPU, Memory: v.Load.Memory, GPU: v.Load.GPU},
		Used:     v.Used, QueuedWork: v.Load.QueuedWork, Speed: v.Load.Speed,
	}
	if v.LastAnswer != 0 {
		p.AnswerAge = max(0, now.Sub(v.LastAnswer))
	}
	return p
}
