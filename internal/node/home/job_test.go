package home

import (
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 2000}) }

// TestOutcomeIsWholeOrAnHonestFailure checks jobOutcome for tasks with any results
// in any order. Results after a failed one may be missing, since runAll does not
// wait for them.
func TestOutcomeIsWholeOrAnHonestFailure(t *testing.T) {
	states := []ledger.State{ledger.Answered, ledger.Answered, ledger.NotRun, ledger.Failed, ledger.Unknown}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "tasks")
		results := make([]taskResult, n)
		for i := range results {
			state := rapid.SampledFrom(states).Draw(t, "state")
			results[i] = taskResult{task: i, Result: starts.Result{State: state, Reason: "why", Answer: []byte{byte(i)}}}
		}
		results = rapid.Permutation(results).Draw(t, "order")
		var received []taskResult
		counts := map[ledger.State]int{}
		for _, r := range results {
			received = append(received, r)
			counts[r.State]++
			if r.State == ledger.Failed && rapid.Bool().Draw(t, "stop") {
				break
			}
		}
		checkOutcome(t, jobOutcome(received, n), counts, n)
	})
}

// checkOutcome checks the outcome of a job of n tasks against the number of results
// received in each state.
func checkOutcome(t *rapid.T, o ledger.Outcome, counts map[ledger.State]int, n int) {
	switch {
	case counts[ledger.Answered] == n:
		if o.State != ledger.Answered || len(o.Answers) != n {
			t.Fatalf("got outcome %+v for %d answers", o, n)
		}
		for i, a := range o.Answers {
			if len(a) != 1 || int(a[0]) != i {
				t.Fatalf("answer %d belongs to another task: %v", i, a)
			}
		}
	case o.State == ledger.Answered || len(o.Answers) > 0:
		t.Fatalf("got an incomplete answer %+v for the results %v", o, counts)
	case o.State == ledger.NotRun && counts[ledger.NotRun] == 0,
		o.State == ledger.NotRun && counts[ledger.Answered]+counts[ledger.Failed]+counts[ledger.Unknown] > 0:
		t.Fatalf("got notrun for the results %v", counts)
	case counts[ledger.Failed] > 0 && o.State != ledger.Failed:
		t.Fatalf("got %s for the results %v, want failed", o.State, counts)
	case o.State == ledger.Failed && counts[ledger.Failed]+counts[ledger.Answered] == 0:
		t.Fatalf("got failed for the results %v", counts)
	}
}
