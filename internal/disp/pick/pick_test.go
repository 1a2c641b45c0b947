package pick

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"pgregory.net/rapid"
)

func newGate(used int, speed float64) Gate {
	return Gate{Capacity: rsrc.Vector{CPU: 1000, Memory: 100}, Used: rsrc.Vector{CPU: used}, Speed: speed}
}

func TestBest(t *testing.T) {
	long := Task{Size: rsrc.Vector{CPU: 100}, RunTime: 900 * time.Millisecond}
	short := Task{Size: rsrc.Vector{CPU: 100}, RunTime: 60 * time.Millisecond}
	breakerOpen := newGate(0, 2)
	breakerOpen.BreakerOpen = true
	avoid := newGate(0, 2)
	avoid.Avoid = true
	queued := newGate(950, 1)
	queued.QueuedWork = 5000
	far := newGate(0, 1)
	far.RunTimeFactor = 3
	for _, tt := range []struct {
		name  string
		task  Task
		gates []Gate
		want  int
	}{
		{"no gates", long, nil, -1},
		{"gate too small", Task{Size: rsrc.Vector{CPU: 1001}}, []Gate{newGate(0, 1)}, -1},
		{"faster gate", long, []Gate{newGate(0, 1), newGate(0, 1.2)}, 1},
		{"less used of two equal gates", long, []Gate{newGate(500, 1), newGate(100, 1)}, 1},
		{"free gate before a full one", long, []Gate{newGate(950, 1), newGate(800, 1)}, 1},
		{"long task goes to a fast full gate rather than a slow one", long, []Gate{newGate(950, 1.2), newGate(0, 0.55)}, 0},
		{"short task leaves the last capacity of a fast gate", short, []Gate{newGate(900, 1.2), newGate(0, 0.6)}, 1},
		{"long task takes the last capacity of a fast gate", long, []Gate{newGate(900, 1.2), newGate(0, 0.55)}, 0},
		{"not the gate with a long queue", long, []Gate{queued, newGate(950, 1)}, 1},
		{"not the gate with an open breaker", long, []Gate{breakerOpen, newGate(950, 0.5), newGate(950, 0.4)}, 1},
		{"open breakers are ignored if most are open", long, []Gate{breakerOpen, breakerOpen, newGate(0, 1)}, 0},
		{"not the gate to avoid", long, []Gate{avoid, newGate(0, 0.5)}, 1},
		{"gate near the data", long, []Gate{far, newGate(0, 0.5)}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := Best(tt.gates, tt.task); got.Gate != tt.want {
				t.Errorf("got %+v, want gate %d", got, tt.want)
			}
		})
	}
}

func TestBestReturnsWait(t *testing.T) {
	task := Task{Size: rsrc.Vector{CPU: 100}, RunTime: 100 * time.Millisecond}
	if c := Best([]Gate{newGate(0, 2)}, task); c.Wait != 0 || c.Finish != 50*time.Millisecond {
		t.Errorf("free gate: got %+v", c)
	}
	if c := Best([]Gate{newGate(1000, 1)}, task); c.Wait <= 0 || c.Finish != c.Wait+100*time.Millisecond {
		t.Errorf("full gate: got %+v", c)
	}
}

// TestBestIsOptimal checks that the chosen gate has the capacity for the task, and that
// no other such gate is at least equal in rank and lower in cost.
func TestBestIsOptimal(t *testing.T) {
	gates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Gate {
		g := newGate(rapid.IntRange(0, 1000).Draw(t, "used"), rapid.Float64Range(0.1, 2).Draw(t, "speed"))
		g.Capacity.CPU = rapid.IntRange(1, 1000).Draw(t, "cpu")
		g.QueuedWork = int64(rapid.IntRange(0, 100).Draw(t, "queued"))
		g.BreakerOpen = rapid.Bool().Draw(t, "aside")
		g.Avoid = rapid.Bool().Draw(t, "avoid")
		return g
	}), 0, 20)
	rapid.Check(t, func(t *rapid.T) {
		all := gates.Draw(t, "gates")
		task := Task{Size: rsrc.Vector{CPU: rapid.IntRange(1, 1000).Draw(t, "size")}, RunTime: time.Second}
		c := Best(all, task)
		for i, g := range all {
			if !task.Size.Within(g.Capacity) {
				if c.Gate == i {
					t.Fatal("chose a gate without the capacity")
				}
				continue
			}
			if c.Gate < 0 {
				t.Fatal("chose no gate though one has the capacity")
			}
			best := all[c.Gate]
			_, finish := g.estimate(task)
			if g.rank(false) <= best.rank(false) && finish+g.usagePenalty() < c.Finish+best.usagePenalty() && !tooManyOpenBreakers(all) {
				t.Fatalf("gate %d is better than the chosen gate %d", i, c.Gate)
			}
		}
	})
}

func BenchmarkBest(b *testing.B) {
	gates := make([]Gate, 64)
	for i := range gates {
		gates[i] = newGate(i*10, 1)
	}
	for b.Loop() {
		Best(gates, Task{Size: rsrc.Vector{CPU: 100}, RunTime: time.Second})
	}
}

// TestBestInsistsIfMostBreakersAreOpen checks that circuit breakers are ignored if most
// are open, since then the tasks are more likely at fault than the targets, and that
// the chosen gate is told to ignore its own. An unavailable gate neither counts nor is
// chosen.
func TestBestInsistsIfMostBreakersAreOpen(t *testing.T) {
	task := Task{Size: rsrc.Vector{CPU: 100}, RunTime: 100 * time.Millisecond}
	breakerOpen, unavailable := newGate(0, 2), newGate(0, 3)
	breakerOpen.BreakerOpen = true
	unavailable.Unavailable = true
	for _, tt := range []struct {
		name   string
		gates  []Gate
		want   int
		insist bool
	}{
		{"half of the breakers open", []Gate{breakerOpen, newGate(500, 1)}, 1, false},
		{"most breakers open", []Gate{breakerOpen, breakerOpen, newGate(500, 1)}, 0, true},
		{"most breakers open, the other gate better", []Gate{breakerOpen, breakerOpen, newGate(0, 4)}, 2, false},
		{"unavailable gates don't count as closed", []Gate{breakerOpen, breakerOpen, newGate(500, 1), unavailable, unavailable}, 0, true},
		{"unavailable gates are not chosen", []Gate{breakerOpen, newGate(500, 1), unavailable, unavailable, unavailable}, 1, false},
		{"only an unavailable gate", []Gate{unavailable}, 0, false},
	} {
		got := Best(tt.gates, task)
		if got.Gate != tt.want || got.IgnoreBreaker != tt.insist {
			t.Errorf("%s: got gate %d, insist %t", tt.name, got.Gate, got.IgnoreBreaker)
		}
	}
}
