package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/start"
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
func newSlowingGate() *slowingGate {
	s := &slowingGate{now: boot.Time(time.Hour)}
	s.Gate = &Gate{
		Now:  func() boot.Time { return s.now },
		runs: map[string]*run{},
	}
	for range 5 {
		s.start()
		for range 6 {
			s.list(1)
		}
	}
	s.start()
	return s
}

// start replaces the runs by ten that have just started.
func (s *slowingGate) start() {
	s.work = 0
	for i := range 10 {
		name := fmt.Sprint("t", i)
		s.runs[name] = &run{
			msg: msgs.Task{Name: name, ExpectedRunTime: 900}, number: 1, state: start.State{}.See(0, 0),
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
		s.applyProgress(poll{}, targ.Running{Task: name, Run: r.number, Percent: int(s.work / 9)}, s.now)
	}
}

// Entries kept sending tasks to a target that had become slow until runs had ended there.
func TestLoadTellsSlowdownBeforeRunsEnd(t *testing.T) {
	s := newSlowingGate()
	before := s.currentSpeed()
	for range 3 {
		s.list(0.2)
	}
	if now := s.currentSpeed(); now > before/2 {
		t.Errorf("the speed is %.2f, before the slowdown %.2f", now, before)
	}
}
