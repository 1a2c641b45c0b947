package coord

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"pgregory.net/rapid"
)

// drawLoad draws the load of a gate.
func drawLoad(t *rapid.T) msgs.Load {
	blocked := []string{"", "", "", "", cause.TargetCrashed, cause.Silent, cause.NoTarget, cause.TargetFailing, cause.Unhealthy}
	return msgs.Load{
		Incarnation: 1, Service: rapid.SampledFrom([]string{"s", "s", "s", "s", "other", ""}).Draw(t, "service"),
		Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0, TargetIncarnation: "t",
		CPU: rapid.IntRange(500, 4000).Draw(t, "cpu"), Memory: 1000, UsedCPU: rapid.IntRange(0, 4000).Draw(t, "used"),
		QueuedWork: int64(rapid.SampledFrom([]int{0, 0, 0, 50, 900}).Draw(t, "queued")), Speed: rapid.Float64Range(0.1, 2).Draw(t, "speed"),
		BlockedReason: rapid.SampledFrom(blocked).Draw(t, "blocked"),
		Labels:        rapid.SampledFrom([][]string{nil, {"ssd"}, {"rack"}, {"ssd", "rack"}}).Draw(t, "labels"),
	}
}

// drawJob draws a job that arrives at now.
func drawJob(t *rapid.T, now boot.Time) Job {
	j := newTestJob(1, 100)
	j.Arrived, j.Route.Priority = now, rapid.IntRange(0, 2).Draw(t, "priority")
	if rapid.Bool().Draw(t, "waits") {
		j.WaitsUntil = now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "wait")) * time.Millisecond)
	}
	j.Steps = nil
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		s := Step{
			Count: rapid.IntRange(1, 8).Draw(t, "count"), Size: rsrc.Vector{CPU: rapid.IntRange(1, 4500).Draw(t, "size"), Memory: 64},
			DeclaredRunTime: time.Duration(rapid.IntRange(0, 900).Draw(t, "run time")) * time.Millisecond,
			RequiredLabel:   rapid.SampledFrom([]string{"", "", "ssd"}).Draw(t, "required"),
			PreferredLabel:  rapid.SampledFrom([]string{"", "rack"}).Draw(t, "preferred"),
			MaxPerTarget:    rapid.IntRange(0, 1).Draw(t, "per target"),
		}
		if i > 0 && rapid.Bool().Draw(t, "depends") {
			s.DependsOn = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// chosenGate returns the chosen gate of a step's plan, or nil.
func (sp StepPlan) chosenGate() *GatePlan {
	for i := range sp.Gates {
		if sp.Gates[i].Chosen {
			return &sp.Gates[i]
		}
	}
	return nil
}

// The query must not give another answer than the admission and placement of the same job
// just after it, over jobs that raise bulkheads, begin outages and get promises, and must
// change nothing.
func TestWhereIsWhatSubmissionDoes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		loads := rapid.SliceOfN(rapid.Custom(drawLoad), 0, 6).Draw(rt, "loads")
		f := newGatesWithLoads(t, loads...)
		c, now := f.frozenCoordinator()
		c.ResubmitDelay = 500 * time.Millisecond
		if rapid.Bool().Draw(rt, "separated") {
			raiseBulkheads(c, "a", "b")
		}
		if rapid.Bool().Draw(rt, "outage") {
			c.outageSince = now.Add(-4 * time.Second)
		}
		for range rapid.IntRange(1, 5).Draw(rt, "jobs") {
			j := drawJob(rt, *now)
			p := queryQuietly(rt, f, c, j)
			checkAdmission(rt, c, p, j)
			checkPlacements(rt, c, p, j)
			*now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
		}
	})
}

// checkAdmission admits j and compares the answer with the plan.
func checkAdmission(t *rapid.T, c *Coordinator, p Plan, j Job) {
	e := newExecution(j)
	defer e.cancel()
	a := c.admit(e)
	if a.Reason != p.Refused || a.RetryAfter < p.RetryEarliest || a.RetryAfter > p.RetryLatest {
		t.Fatalf("got the answer %+v, the query said %+v", a, p.Admission)
	}
}

// checkPlacements places the first task of each step of j and compares the gates with the
// plan.
func checkPlacements(t *rapid.T, c *Coordinator, p Plan, j Job) {
	e := newExecution(j)
	defer e.cancel()
	for i, s := range j.Steps {
		var wait, finish time.Duration
		c.Trace = func(event string, pairs ...any) {
			if event == "task_placed" {
				wait, _ = pairs[slices.Index(pairs, any("wait"))+1].(time.Duration)
				finish, _ = pairs[slices.Index(pairs, any("finish"))+1].(time.Duration)
			}
		}
		l, _, m, ok := c.place(e, s, &taskState{stepIndex: i})
		c.Trace = nil
		g := p.Steps[i].chosenGate()
		switch {
		case ok != (g != nil):
			t.Fatalf("step %d: placed is %t, the query said %+v", i, ok, p.Steps[i])
		case ok && (g.Addr != l.Addr || g.IgnoreBreaker != m.IgnoreBreaker || g.Wait != wait || g.Finish != finish):
			t.Fatalf("step %d: placed at %s, waits %v, ends after %v; the query said %+v", i, l.Addr, wait, finish, g)
		}
	}
}
