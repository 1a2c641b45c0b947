package load

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
	"github.com/gypsumlanding/gypsumlanding/pkg/client"
)

const (
	maxRatio  = 1_000_000 // thousandths
	digits    = 3
	fullSpeed = 100
	p50       = 50
	p99       = 99
)

// Verdict is what callers got and targets saw.
type Verdict struct {
	Jobs           int     `json:"jobs"`
	Tasks          int     `json:"tasks"`
	Answered       int     `json:"answered"`
	Failed         int     `json:"failed"`
	NotRun         int     `json:"notrun"`
	Unknown        int     `json:"unknown"`
	Abandoned      int     `json:"gone"`        // jobs whose caller went away
	Lost           int     `json:"lost"`        // jobs without an outcome
	Duplicated     int     `json:"doubled"`     // tasks started more than once
	FalseNotRun    int     `json:"falsenotrun"` // jobs said not to have run that did
	WrongAnswers   int     `json:"wrong"`       // answers that are not whole or another's
	Conflicting    int     `json:"crossed"`     // resubmissions with another outcome than the first
	Starts         int     `json:"starts"`
	P50Slowdown    float64 `json:"p50"` // response over ideal
	P99Slowdown    float64 `json:"p99"`
	WastedMessages float64 `json:"waste"` // messages above need, a task
}

// Judge compares what the callers of jobs got with what the targets saw.
func Evaluate(p Plan, jobs []*Job, starts []targ.TaskStart) Verdict {
	v := Verdict{Jobs: len(jobs), Starts: len(starts)}
	started := map[string]int{}
	for _, s := range starts {
		started[s.Token]++
	}
	for _, n := range started {
		if n > 1 {
			v.Duplicated++
		}
	}
	ratios := hdrhistogram.New(1, maxRatio, digits)
	for _, j := range jobs {
		v.Tasks += len(j.Tasks)
		v.count(j, started)
		if j.Outcome.State == client.Answered {
			ratio := 1000 * float64(j.ResponseTime) / float64(p.IdealTime(j.Tasks))
			_ = ratios.RecordValue(min(int64(ratio), maxRatio))
		}
	}
	v.P50Slowdown = float64(ratios.ValueAtQuantile(p50)) / 1000
	v.P99Slowdown = float64(ratios.ValueAtQuantile(p99)) / 1000
	return v
}

func (v *Verdict) count(j *Job, started map[string]int) {
	if j.Abandoned {
		v.Abandoned++
		return
	}
	if j.Err != nil {
		v.Lost++
		return
	}
	switch j.Outcome.State {
	case client.Answered:
		v.Answered++
		if !j.whole(j.Outcome) {
			v.WrongAnswers++
		}
	case client.Failed:
		v.Failed++
	case client.NotRun:
		v.NotRun++
	default:
		v.Unknown++
	}
	if j.contradicts(j.Outcome, started) || j.Resubmitted && j.contradicts(j.ResubmitOutcome, started) {
		v.FalseNotRun++
	}
	if j.Resubmitted && j.crossed() {
		v.Conflicting++
	}
}

// whole tells whether the outcome has this job's answers, all and in order.
func (j *Job) whole(o client.Outcome) bool {
	if len(o.Answers) != len(j.Tasks) {
		return false
	}
	for i, raw := range o.Answers {
		var a targ.Answer
		if json.Unmarshal(raw, &a) != nil || a.Token != j.Tasks[i].Token {
			return false
		}
	}
	return true
}

// contradicts tells whether the outcome says "not run" of tasks that started.
func (j *Job) contradicts(o client.Outcome, started map[string]int) bool {
	return o.State == client.NotRun && slices.ContainsFunc(j.Tasks, func(t targ.TaskBody) bool {
		return started[t.Token] > 0
	})
}

// crossed tells whether the two copies of a job got answers that differ, or one
// an answer and the other a claim that it did not run.
func (j *Job) crossed() bool {
	states := [2]client.State{j.Outcome.State, j.ResubmitOutcome.State}
	if states[0] == client.Answered && states[1] == client.Answered {
		return !j.whole(j.ResubmitOutcome)
	}
	return slices.Contains(states[:], client.Answered) && slices.Contains(states[:], client.NotRun)
}

// Ideal returns what the job takes alone on the idle fleet when run times and
// speeds are known: the largest task first, each where it finishes first.
func (p Plan) IdealTime(tasks []targ.TaskBody) time.Duration {
	var free []time.Duration
	var speeds []int
	for _, s := range p.Speeds {
		for range p.Slots {
			free = append(free, 0)
			speeds = append(speeds, s)
		}
	}
	sorted := slices.Clone(tasks)
	slices.SortFunc(sorted, func(a, b targ.TaskBody) int { return int(b.RunTimeMS - a.RunTimeMS) })
	var end time.Duration
	for _, t := range sorted {
		best := 0
		finish := func(i int) time.Duration {
			return free[i] + time.Duration(t.RunTimeMS)*time.Millisecond*fullSpeed/time.Duration(speeds[i])
		}
		for i := range free {
			if finish(i) < finish(best) {
				best = i
			}
		}
		free[best] = finish(best)
		end = max(end, free[best])
	}
	return end
}
