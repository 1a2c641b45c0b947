package report

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/coord"
)

// ErrorDoc is the answer to a request that could not be served.
type ErrorDoc struct {
	Error string `json:"error"`
}

// AdmissionDoc is the decision whether a job, or one of its steps, is admitted.
type AdmissionDoc struct {
	Refused       string `json:"refused"`        // reason; empty if it is admitted
	RetryEarliest int64  `json:"retry-earliest"` // ms until the caller may retry, at least; 0 if it is admitted or a retry is useless
	RetryLatest   int64  `json:"retry-latest"`   // ms until the caller may retry, at most
}

// WhereDoc is the answer to a placement query.
type WhereDoc struct {
	Entry    string `json:"entry"`   // name of the entry that answers
	Version  int64  `json:"version"` // of the active configuration
	Route    string `json:"route"`
	Service  string `json:"service"`
	Priority int    `json:"priority"` // of the route; 0 is the highest
	AdmissionDoc
	RefusedAfter int64     `json:"refused-after"` // ms until the job is refused if none of its tasks has started
	Steps        []StepDoc `json:"steps"`         // empty if the job is refused before it is decided on its steps
}

// StepDoc tells how a step would be admitted and its first task placed. Times are in ms.
type StepDoc struct {
	AdmissionDoc
	ExpectedRunTime int64          `json:"run"`        // of a task at speed 100 %
	ExpectedWait    int64          `json:"wait"`       // until the last task starts
	MaxWait         int64          `json:"max-wait"`   // longest wait accepted if the step depends on no other
	Slack           int64          `json:"slack"`      // time until the latest start with which the answer is in time
	DependsOn       []int          `json:"after"`      // steps that must be done before
	Candidates      int            `json:"candidates"` // gates that may run a task; without any, tasks wait for one
	Usable          int            `json:"usable"`     // candidates that can start tasks
	Gates           []WhereGateDoc `json:"gates"`      // candidates first; empty for steps after the first 32
}

// WhereGateDoc tells what speaks for and against a gate. Times are in ms.
type WhereGateDoc struct {
	Address       string   `json:"address"`
	Target        string   `json:"target"` // ID; empty if the gate has none
	AnswerAge     int64    `json:"age"`    // since the gate last answered; -1 if never
	CPU           int      `json:"cpu"`    // of the target, thousandths of a core
	Used          int      `json:"used"`   // in use, thousandths of a core
	MemoryMB      int      `json:"mem-mb"` // of the target
	UsedMB        int      `json:"used-mb"`
	GPU           int      `json:"gpu"` // of the target
	UsedGPU       int      `json:"used-gpu"`
	Queued        int64    `json:"queued"`    // core-milliseconds of work in the gate's queue
	Speed         int      `json:"speed"`     // of the target, percent of the nominal speed
	Candidate     bool     `json:"candidate"` // the gate may run the task
	Fits          bool     `json:"fits"`      // the target is large enough; wait, run and end are set
	Chosen        bool     `json:"chosen"`
	IgnoreBreaker bool     `json:"insist"` // the open circuit breaker of the chosen gate's target is ignored, since too many are open
	Wait          int64    `json:"wait"`   // until the task starts
	RunTime       int64    `json:"run"`    // at this gate
	Finish        int64    `json:"end"`    // until the task ends
	Against       []string `json:"against"`
}

func (d *AdmissionDoc) setAdmission(a coord.Admission) {
	d.Refused, d.RetryEarliest, d.RetryLatest = a.Refused, a.RetryEarliest.Milliseconds(), a.RetryLatest.Milliseconds()
}

func (d *WhereDoc) setPlan(p coord.Plan) {
	d.setAdmission(p.Admission)
	d.RefusedAfter = p.RefusedAfter.Milliseconds()
	for _, s := range p.Steps {
		sd := StepDoc{
			ExpectedRunTime: s.ExpectedRunTime.Milliseconds(), ExpectedWait: s.ExpectedWait.Milliseconds(),
			MaxWait: s.MaxWait.Milliseconds(), Slack: s.Slack.Milliseconds(), DependsOn: append([]int{}, s.DependsOn...),
			Candidates: s.Candidates, Usable: s.Usable, Gates: []WhereGateDoc{},
		}
		sd.setAdmission(s.Admission)
		for _, g := range s.Gates {
			sd.Gates = append(sd.Gates, newWhereGateDoc(g))
		}
		d.Steps = append(d.Steps, sd)
	}
}

func newWhereGateDoc(g coord.GatePlan) WhereGateDoc {
	age := g.AnswerAge.Milliseconds()
	if g.AnswerAge < 0 {
		age = -1
	}
	return WhereGateDoc{
		Address: g.Addr, Target: g.Target, AnswerAge: age, CPU: g.Capacity.CPU, Used: g.Used.CPU, MemoryMB: g.Capacity.Memory, UsedMB: g.Used.Memory,
		GPU: g.Capacity.GPU, UsedGPU: g.Used.GPU, Queued: g.QueuedWork, Speed: toPercent(g.Speed),
		Candidate: g.Candidate, Fits: g.Fits, Chosen: g.Chosen, IgnoreBreaker: g.IgnoreBreaker,
		Wait: roundUpMillis(g.Wait), RunTime: g.RunTime.Milliseconds(), Finish: roundUpMillis(g.Finish), Against: append([]string{}, g.Against...),
	}
}

// roundUpMillis returns d in milliseconds, rounded up so that a short wait is not shown as
// none.
func roundUpMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
