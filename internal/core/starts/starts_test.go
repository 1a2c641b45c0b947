package starts

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/seed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seed.Main(m, seed.Size{Checks: 3000}) }

var begin = time.UnixMilli(1_700_000_000_000)

// TestTaskStartsAtMostOnce sends starts and questions for a few tasks in any
// order, late and again, while the book forgets.
func TestTaskStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Table
		now := begin
		started := map[int]int{}
		said := map[int]bool{} // tasks said not to run
		open := map[int]*Record{}
		hold := func(task int) time.Time { return begin.Add(time.Duration(task+1) * time.Second) }
		id := func(task int) ID { return ID{Key: "k", Task: task} }
		task := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				i := task.Draw(t, "task")
				rec, fresh := b.Begin(id(i), hold(i), now)
				if fresh {
					started[i]++
					open[i] = rec
				} else {
					note(rec, i, said)
				}
			},
			"ask": func(t *rapid.T) {
				i := task.Draw(t, "task")
				note(b.Resolve(id(i), hold(i), now), i, said)
			},
			"finish": func(t *rapid.T) {
				i := task.Draw(t, "task")
				if rec := open[i]; rec != nil {
					b.Finish(rec, Result{State: ledger.Answered})
					delete(open, i)
				}
			},
			"refuse": func(t *rapid.T) {
				i := task.Draw(t, "task")
				if rec := open[i]; rec != nil {
					b.Refuse(id(i), rec, "busy")
					delete(open, i)
					started[i]--
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "tenths")) * 100 * time.Millisecond)
				b.Expire(now)
			},
			"": func(t *rapid.T) {
				for i, n := range started {
					if n > 1 {
						t.Fatalf("task %d started %d times", i, n)
					}
					if n > 0 && said[i] {
						t.Fatalf("task %d started and was said not to run", i)
					}
				}
			},
		})
	})
}

// note remembers that a settled record said "not run".
func note(rec *Record, task int, said map[int]bool) {
	if rec.settled() && rec.Result().State == ledger.NotRun && rec.Result().Reason != Late {
		said[task] = true
	}
}

func BenchmarkBeginAndFinish(b *testing.B) {
	var book Table
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		rec, _ := book.Begin(ID{Key: "g1.steiermark.2a.lf0xk3m2.ABCDEFGHIJKLMNOP", Task: i}, begin.Add(time.Second), begin)
		book.Finish(rec, Result{State: ledger.Answered})
		if i++; i%10_000 == 0 {
			book.Expire(begin.Add(time.Minute))
		}
	}
}
