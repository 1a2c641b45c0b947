package pick

import (
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
)

// Guards against tasks that run at a target which is warming up while a warm one has capacity,
// and against tasks that wait for a warm one while it could start at once. Without a cold
// target, the choice is that of before.
func TestBestPrefersWarmTargetsWithCapacity(t *testing.T) {
	task := Task{Size: rsrc.Vector{CPU: 100}, RunTime: 900 * time.Millisecond}
	coldGate := func(used int, speed float64) Gate {
		g := newGate(used, speed)
		g.Cold = true
		return g
	}
	avoided, down := newGate(0, 1), newGate(0, 1)
	avoided.Avoid, down.Unavailable = true, true
	for _, tt := range []struct {
		name  string
		gates []Gate
		want  int
	}{
		{"a slow warm target rather than a cold one", []Gate{coldGate(0, 1), newGate(800, 0.5)}, 1},
		{"a cold target rather than a wait", []Gate{newGate(1000, 4), coldGate(0, 0.3)}, 1},
		{"the faster of two cold ones", []Gate{newGate(1000, 4), coldGate(0, 0.3), coldGate(0, 0.4)}, 2},
		{"the shortest wait if all are full", []Gate{newGate(1000, 1), coldGate(1000, 4)}, 1},
		{"a cold target rather than one to avoid", []Gate{avoided, coldGate(0, 0.5)}, 1},
		{"a cold target rather than one that is down", []Gate{down, coldGate(0, 0.5)}, 1},
		{"among warm ones a short wait, beside a cold one", []Gate{newGate(950, 1.2), newGate(0, 0.55), coldGate(0, 1)}, 0},
		{"the same without a cold one", []Gate{newGate(950, 1.2), newGate(0, 0.55)}, 0},
	} {
		if got := Best(tt.gates, task); got.Gate != tt.want {
			t.Errorf("%s: got %+v, want gate %d", tt.name, got, tt.want)
		}
	}
}
