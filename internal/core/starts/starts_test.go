package starts

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 3000}) }

var startTime = time.UnixMilli(1_700_000_000_000)

// TestTaskStartsAtMostOnce checks that a task starts at most once, and never after it
// was reported as not run. Starts and requests for results arrive in any order, late
// and repeatedly, while records expire.
func TestTaskStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		now := startTime
		started := map[int]int{}
		reportedNotRun := map[int]bool{}
		unfinished := map[int]*Record{}
		retainUntil := func(task int) time.Time { return startTime.Add(time.Duration(task+1) * time.Second) }
		id := func(task int) ID { return ID{Key: "k", Task: task} }
		task := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				i := task.Draw(t, "task")
				rec, fresh := table.Begin(id(i), retainUntil(i), now)
				if fresh {
					started[i]++
					unfinished[i] = rec
				} else {
					noteNotRun(rec, i, reportedNotRun)
				}
			},
			"ask": func(t *rapid.T) {
				i := task.Draw(t, "task")
				noteNotRun(table.Resolve(id(i), retainUntil(i), now), i, reportedNotRun)
			},
			"finish": func(t *rapid.T) {
				i := task.Draw(t, "task")
				if rec := unfinished[i]; rec != nil {
					table.Finish(rec, Result{State: ledger.Answered})
					delete(unfinished, i)
				}
			},
			"refuse": func(t *rapid.T) {
				i := task.Draw(t, "task")
				if rec := unfinished[i]; rec != nil {
					table.Refuse(id(i), rec, "busy")
					delete(unfinished, i)
					started[i]--
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "tenths")) * 100 * time.Millisecond)
				table.Expire(now)
			},
			"": func(t *rapid.T) {
				for i, n := range started {
					if n > 1 {
						t.Fatalf("task %d started %d times", i, n)
					}
					if n > 0 && reportedNotRun[i] {
						t.Fatalf("task %d started and was reported as not run", i)
					}
				}
			},
		})
	})
}

// noteNotRun notes that a record reported its task as not run. The reason Late doesn't
// count: it says that this message started nothing, but the record of an earlier start
// may have expired.
func noteNotRun(rec *Record, task int, reportedNotRun map[int]bool) {
	if rec.finished() && rec.Result().State == ledger.NotRun && rec.Result().Reason != Late {
		reportedNotRun[task] = true
	}
}

func BenchmarkBeginAndFinish(b *testing.B) {
	var table Table
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		rec, _ := table.Begin(ID{Key: "g1.steiermark.2a.lf0xk3m2.ABCDEFGHIJKLMNOP", Task: i}, startTime.Add(time.Second), startTime)
		table.Finish(rec, Result{State: ledger.Answered})
		if i++; i%10_000 == 0 {
			table.Expire(startTime.Add(time.Minute))
		}
	}
}
