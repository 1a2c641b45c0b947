package pick

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"pgregory.net/rapid"
)

func gate(used int, speed float64) Gate {
	return Gate{Capacity: rsrc.Vector{CPU: 1000, Memory: 100}, Used: rsrc.Vector{CPU: used}, Speed: speed}
}

func TestBest(t *testing.T) {
	long := Task{Size: rsrc.Vector{CPU: 100}, Expected: 900 * time.Millisecond}
	short := Task{Size: rsrc.Vector{CPU: 100}, Expected: 60 * time.Millisecond}
	aside := gate(0, 2)
	aside.Aside = true
	avoid := gate(0, 2)
	avoid.Avoid = true
	queued := gate(950, 1)
	queued.Queued = 5000
	far := gate(0, 1)
	far.RunTimeFactor = 3
	for _, tt := range []struct {
		name  string
		task  Task
		gates []Gate
		want  int
	}{
		{"none", long, nil, -1},
		{"too small", Task{Size: rsrc.Vector{CPU: 1001}}, []Gate{gate(0, 1)}, -1},
		{"faster", long, []Gate{gate(0, 1), gate(0, 1.2)}, 1},
		{"emptier of two alike", long, []Gate{gate(500, 1), gate(100, 1)}, 1},
		{"free before full", long, []Gate{gate(950, 1), gate(800, 1)}, 1},
		{"fast and full before slow for a long task", long, []Gate{gate(950, 1.2), gate(0, 0.55)}, 0},
		{"slow and free before the last room of a fast one for a short task", short, []Gate{gate(900, 1.2), gate(0, 0.6)}, 1},
		{"long task takes the last room of a fast one", long, []Gate{gate(900, 1.2), gate(0, 0.55)}, 0},
		{"not the long queue", long, []Gate{queued, gate(950, 1)}, 1},
		{"not set aside", long, []Gate{aside, gate(950, 0.5), gate(950, 0.4)}, 1},
		{"set aside counts for nothing where most are", long, []Gate{aside, aside, gate(0, 1)}, 0},
		{"not where it came back from", long, []Gate{avoid, gate(0, 0.5)}, 1},
		{"near its data", long, []Gate{far, gate(0, 0.5)}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := Best(tt.gates, tt.task); got.Gate != tt.want {
				t.Errorf("got %+v, want gate %d", got, tt.want)
			}
		})
	}
}

func TestBestTellsWait(t *testing.T) {
	task := Task{Size: rsrc.Vector{CPU: 100}, Expected: 100 * time.Millisecond}
	if c := Best([]Gate{gate(0, 2)}, task); c.Wait != 0 || c.Finish != 50*time.Millisecond {
		t.Errorf("free gate: got %+v", c)
	}
	if c := Best([]Gate{gate(1000, 1)}, task); c.Wait <= 0 || c.Finish != c.Wait+100*time.Millisecond {
		t.Errorf("full gate: got %+v", c)
	}
}

// The choice always has the capacity, and none is better in rank and time.
func TestBestIsBest(t *testing.T) {
	gates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Gate {
		g := gate(rapid.IntRange(0, 1000).Draw(t, "used"), rapid.Float64Range(0.1, 2).Draw(t, "speed"))
		g.Capacity.CPU = rapid.IntRange(1, 1000).Draw(t, "cpu")
		g.Queued = int64(rapid.IntRange(0, 100).Draw(t, "queued"))
		g.Aside = rapid.Bool().Draw(t, "aside")
		g.Avoid = rapid.Bool().Draw(t, "avoid")
		return g
	}), 0, 20)
	rapid.Check(t, func(t *rapid.T) {
		all := gates.Draw(t, "gates")
		task := Task{Size: rsrc.Vector{CPU: rapid.IntRange(1, 1000).Draw(t, "size")}, Expected: time.Second}
		c := Best(all, task)
		for i, g := range all {
			if !task.Size.Within(g.Capacity) {
				if c.Gate == i {
					t.Fatal("chose a gate that can't run the task")
				}
				continue
			}
			if c.Gate < 0 {
				t.Fatal("chose none though one can run the task")
			}
			best := all[c.Gate]
			_, finish := g.expect(task)
			if g.rank(false) <= best.rank(false) && finish+g.crowded() < c.Finish+best.crowded() && !tooManyAside(all) {
				t.Fatalf("gate %d is better than %d", i, c.Gate)
			}
		}
	})
}

func BenchmarkBest(b *testing.B) {
	gates := make([]Gate, 64)
	for i := range gates {
		gates[i] = gate(i*10, 1)
	}
	for b.Loop() {
		Best(gates, Task{Size: rsrc.Vector{CPU: 100}, Expected: time.Second})
	}
}

// Where most targets are set aside it is the tasks that fail, so being set aside
// counts for nothing, and the gate is told so. A gate that can start nothing
// neither counts nor is chosen.
func TestBestInsistsWhereMostAreAside(t *testing.T) {
	task := Task{Size: rsrc.Vector{CPU: 100}, Expected: 100 * time.Millisecond}
	aside, blocked := gate(0, 2), gate(0, 3)
	aside.Aside = true
	blocked.Unavailable = true
	for _, tt := range []struct {
		name   string
		gates  []Gate
		want   int
		insist bool
	}{
		{"half aside", []Gate{aside, gate(500, 1)}, 1, false},
		{"most aside", []Gate{aside, aside, gate(500, 1)}, 0, true},
		{"most aside, the other better", []Gate{aside, aside, gate(0, 4)}, 2, false},
		{"blocked ones don't count", []Gate{aside, aside, gate(500, 1), blocked, blocked}, 0, true},
		{"blocked ones are no help", []Gate{aside, gate(500, 1), blocked, blocked, blocked}, 1, false},
		{"nothing else", []Gate{blocked}, 0, false},
	} {
		got := Best(tt.gates, task)
		if got.Gate != tt.want || got.Insist != tt.insist {
			t.Errorf("%s: got %d, insist %t", tt.name, got.Gate, got.Insist)
		}
	}
}
