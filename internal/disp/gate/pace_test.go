package gate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

// slowingGate is a gate with runs of 900 ms in progress at a target that is listed every paceInterval.
type slowingGate struct {
	*Gate
	now  boot.Time
	work float64 // done by each run in progress, ms
}

// newSlowingGate returns a gate that has listed ten runs often at a steady speed, and ten further runs
// that have just started.
func newSlowingGate(moved bool) *slowingGate {
	s := &slowingGate{now: boot.Time(time.Hour)}
	s.Gate = &Gate{
		Now:  func() boot.Time { return s.now },
		Stop: func(context.Context, targ.Incarnation, targ.Order) (int64, error) { return 0, nil },
		runs: map[string]*run{},
	}
	for range 5 {
		s.start(moved)
		for range 6 {
			s.list(1)
		}
	}
	s.start(moved)
	return s
}

// start replaces the runs by ten that have just started.
func (s *slowingGate) start(moved bool) {
	s.work = 0
	for i := range 10 {
		name := fmt.Sprint("t", i)
		s.runs[name] = &run{
			msg: msgs.Task{Name: name, ExpectedRunTime: 900, Moved: moved}, number: 1, phase: running,
			startedAt: s.now, progressedAt: s.now, finished: make(chan struct{}),
		}
	}
	s.list(1)
}

// list lets the target run for paceInterval at the given speed, and lists its runs.
func (s *slowingGate) list(speed float64) {
	s.now = s.now.Add(paceInterval)
	s.work += speed * float64(paceInterval.Milliseconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range s.runs {
		s.applyProgress(targ.Running{Task: name, Run: r.number, Percent: int(s.work / 9)}, s.now)
	}
	s.checkRuns(s.now)
}

// stopped returns the number of runs that are being stopped since they end sooner elsewhere.
func (s *slowingGate) stopped() int {
	n := 0
	for _, r := range s.runs {
		if r.stopWanted && r.stopReason == cause.Overtaken {
			n++
		}
	}
	return n
}

// A target that became five times slower kept its long tasks, which ended after 3 s and more.
func TestOvertakenRunIsStoppedOnce(t *testing.T) {
	s := newSlowingGate(false)
	for range 4 {
		s.list(0.2)
	}
	if n := s.stopped(); n != 10 {
		t.Errorf("%d of 10 runs are stopped at a target that has become five times slower", n)
	}
	s = newSlowingGate(true)
	for range 4 {
		s.list(0.2)
	}
	if n := s.stopped(); n != 0 {
		t.Errorf("%d runs are stopped that were moved before", n)
	}
}

// Runs must be left alone at a steady speed, when most of their work is done, and when a target is
// slower than before, but not by so much that a new start pays.
func TestRunThatEndsSoonIsNotMoved(t *testing.T) {
	s := newSlowingGate(false)
	for range 3 {
		s.list(1)
	}
	if n := s.stopped(); n != 0 {
		t.Errorf("%d runs are stopped at a steady speed", n)
	}
	for range 4 {
		s.list(0.6)
	}
	if n := s.stopped(); n != 0 {
		t.Errorf("%d runs are stopped that have little left", n)
	}
}

// Entries kept sending tasks to a target that had become slow until runs had ended there.
func TestLoadTellsSlowdownBeforeRunsEnd(t *testing.T) {
	s := newSlowingGate(true)
	before := s.currentSpeed()
	for range 3 {
		s.list(0.2)
	}
	if now := s.currentSpeed(); now > before/2 {
		t.Errorf("the speed is %.2f, before the slowdown %.2f", now, before)
	}
}
