package home

import (
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"github.com/gypsumlanding/gypsumlanding/internal/core/starts"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 2000}) }

// TestOutcomeIsWholeOrAnHonestFailure gives a job's tasks any results in any
// order. Those after a failed one may be missing, as gather does not wait.
func TestOutcomeIsWholeOrAnHonestFailure(t *testing.T) {
	states := []ledger.State{ledger.Answered, ledger.Answered, ledger.NotRun, ledger.Failed, ledger.Unknown}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "tasks")
		all := make([]result, n)
		for i := range all {
			state := rapid.SampledFrom(states).Draw(t, "state")
			all[i] = result{task: i, Result: starts.Result{State: state, Reason: "why", Answer: []byte{byte(i)}}}
		}
		all = rapid.Permutation(all).Draw(t, "order")
		var got []result
		count := map[ledger.State]int{}
		for _, r := range all {
			got = append(got, r)
			count[r.State]++
			if r.State == ledger.Failed && rapid.Bool().Draw(t, "stop") {
				break
			}
		}
		checkOutcome(t, outcomeOf(got, n), count, n)
	})
}

func checkOutcome(t *rapid.T, o ledger.Outcome, count map[ledger.State]int, n int) {
	switch {
	case count[ledger.Answered] == n:
		if o.State != ledger.Answered || len(o.Answers) != n {
			t.Fatalf("got %+v of %d answers", o, n)
		}
		for i, a := range o.Answers {
			if len(a) != 1 || int(a[0]) != i {
				t.Fatalf("answer %d is %v", i, a)
			}
		}
	case o.State == ledger.Answered || len(o.Answers) > 0:
		t.Fatalf("got %+v, a part of the answer, of %v", o, count)
	case o.State == ledger.NotRun && count[ledger.NotRun] == 0,
		o.State == ledger.NotRun && count[ledger.Answered]+count[ledger.Failed]+count[ledger.Unknown] > 0:
		t.Fatalf("got notrun of %v", count)
	case count[ledger.Failed] > 0 && o.State != ledger.Failed:
		t.Fatalf("got %s of %v", o.State, count)
	case o.State == ledger.Failed && count[ledger.Failed]+count[ledger.Answered] == 0:
		t.Fatalf("got failed of %v", count)
	}
}
