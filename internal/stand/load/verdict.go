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
	maxSlowdown       = 1_000_000 // largest slowdown recorded, in thousandths
	significantDigits = 3
	fullSpeedPercent  = 100
	p50               = 50
	p99               = 99
)

// Verdict summarises the jobs of a load.
type Verdict struct {
	Jobs           int     `json:"jobs"`
	Tasks          int     `json:"tasks"`
	Answered       int     `json:"answered"`    // jobs with outcome client.Answered
	Failed         int     `json:"failed"`      // jobs with outcome client.Failed
	NotRun         int     `json:"notrun"`      // jobs with outcome client.NotRun
	Unknown        int     `json:"unknown"`     // jobs with any other outcome
	Abandoned      int     `json:"gone"`        // jobs whose caller disconnected; not counted by outcome
	Lost           int     `json:"lost"`        // jobs without an outcome
	Duplicated     int     `json:"doubled"`     // tasks started more than once
	FalseNotRun    int     `json:"falsenotrun"` // jobs reported as not run of which a task started
	WrongAnswers   int     `json:"wrong"`       // jobs with missing answers or those of other tasks
	Conflicting    int     `json:"crossed"`     // jobs whose two submissions contradict each other
	Starts         int     `json:"starts"`      // task starts at all targets
	P50Slowdown    float64 `json:"p50"`         // median of response time over ideal time, of answered jobs
	P99Slowdown    float64 `json:"p99"`         // 99th percentile of the same
	WastedMessages float64 `json:"waste"`       // unnecessary messages per task; not set by Evaluate
}

// Evaluate compares the outcomes that the callers of jobs got with the task starts
// that the targets recorded.
func Evaluate(p Plan, jobs []*Job, starts []targ.TaskStart) Verdict {
	v := Verdict{Jobs: len(jobs), Starts: len(starts)}
	started := map[string]int{}
	for _, s := range starts {
		started[s.Token]++
	}
	for _, count := range started {
		if count > 1 {
			v.Duplicated++
		}
	}
	slowdowns := hdrhistogram.New(1, maxSlowdown, significantDigits)
	for _, j := range jobs {
		v.Tasks += len(j.Tasks)
		v.add(j, started)
		if j.Outcome.State == client.Answered {
			slowdown := 1000 * float64(j.ResponseTime) / float64(p.IdealTime(j.Tasks))
			_ = slowdowns.RecordValue(min(int64(slowdown), maxSlowdown))
		}
	}
	v.P50Slowdown = float64(slowdowns.ValueAtQuantile(p50)) / 1000
	v.P99Slowdown = float64(slowdowns.ValueAtQuantile(p99)) / 1000
	return v
}

// add counts one job. The map started holds the number of starts by task token.
func (v *Verdict) add(j *Job, started map[string]int) {
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
		if !j.hasAllAnswers(j.Outcome) {
			v.WrongAnswers++
		}
	case client.Failed:
		v.Failed++
	case client.NotRun:
		v.NotRun++
	default:
		v.Unknown++
	}
	if j.falselyNotRun(j.Outcome, started) || j.Resubmitted && j.falselyNotRun(j.ResubmitOutcome, started) {
		v.FalseNotRun++
	}
	if j.Resubmitted && j.hasConflictingOutcomes() {
		v.Conflicting++
	}
}

// hasAllAnswers reports whether the outcome has the answers of all tasks of this job,
// in order.
func (j *Job) hasAllAnswers(o client.Outcome) bool {
	if len(o.Answers) != len(j.Tasks) {
		return false
	}
	for i, raw := range o.Answers {
		var answer targ.Answer
		if json.Unmarshal(raw, &answer) != nil || answer.Token != j.Tasks[i].Token {
			return false
		}
	}
	return true
}

// falselyNotRun reports whether the outcome is NotRun although a task has started.
func (j *Job) falselyNotRun(o client.Outcome, started map[string]int) bool {
	return o.State == client.NotRun && slices.ContainsFunc(j.Tasks, func(t targ.TaskBody) bool {
		return started[t.Token] > 0
	})
}

// hasConflictingOutcomes reports whether both submissions of a job were answered, but
// the second not with this job's answers, or one was answered and the other reported
// as not run.
func (j *Job) hasConflictingOutcomes() bool {
	states := [2]client.State{j.Outcome.State, j.ResubmitOutcome.State}
	if states[0] == client.Answered && states[1] == client.Answered {
		return !j.hasAllAnswers(j.ResubmitOutcome)
	}
	return slices.Contains(states[:], client.Answered) && slices.Contains(states[:], client.NotRun)
}

// IdealTime returns the time that the tasks of a job take on otherwise idle targets
// when run times and speeds are known. Tasks are assigned in order of decreasing run
// time, each to the slot on which it finishes first.
func (p Plan) IdealTime(tasks []targ.TaskBody) time.Duration {
	var freeAt []time.Duration
	var slotSpeeds []int
	for _, s := range p.Speeds {
		for range p.Slots {
			freeAt = append(freeAt, 0)
			slotSpeeds = append(slotSpeeds, s)
		}
	}
	sorted := slices.Clone(tasks)
	slices.SortFunc(sorted, func(a, b targ.TaskBody) int { return int(b.RunTimeMS - a.RunTimeMS) })
	var finishTime time.Duration
	for _, t := range sorted {
		bestSlot := 0
		finishOn := func(i int) time.Duration {
			return freeAt[i] + time.Duration(t.RunTimeMS)*time.Millisecond*fullSpeedPercent/time.Duration(slotSpeeds[i])
		}
		for i := range freeAt {
			if finishOn(i) < finishOn(bestSlot) {
				bestSlot = i
			}
		}
		freeAt[bestSlot] = finishOn(bestSlot)
		finishTime = max(finishTime, freeAt[bestSlot])
	}
	return finishTime
}
