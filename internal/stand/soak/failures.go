package soak

import (
	"syscall"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/netem"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
)

// failure is one kind of failure, of one of several things.
type failure struct {
	kind   string
	prefix string // of the things' names: e entries, n nodes, t targets, s the store, f fronts
	among  int
	play   func(s *player, name string, i int, lasts time.Duration)
}

// failures are all kinds; the more frequent ones stand more than once.
var failures = []failure{
	{"kill", "e", entries, kill},
	{"kill", "n", nodes, kill},
	{"stop", "e", entries, term},
	{"stop", "n", nodes, term},
	{"pause", "e", entries, pause},
	{"pause", "n", nodes, pause},
	{"hup", "e", entries, hup},
	{"config", "c", 1, config},
	{"store down", "s", 1, storeDown},
	{"store cut", "e", entries, func(s *player, name string, _ int, lasts time.Duration) {
		cut(s, "store "+name, netem.Blackhole, lasts)
	}},
	{"store answers lost", "n", nodes, func(s *player, name string, _ int, lasts time.Duration) {
		cut(s, "store "+name, netem.DropReplies, lasts)
	}},
	{"callers cut", "e", entries, func(s *player, name string, _ int, lasts time.Duration) {
		cut(s, "front "+name, netem.Refuse, lasts)
	}},
	{"callers reset", "f", entries, func(s *player, _ string, i int, _ time.Duration) {
		s.yard.Proxy(front(i)).CloseConnections()
	}},
	{"target cut", "t", nodes, targetCut(netem.Blackhole)},
	{"target answers lost", "t", nodes, targetCut(netem.DropReplies)},
	{"target reset", "t", nodes, targetCut(netem.Refuse)},
	{"orders lost", "t", nodes, target(psim.Behaviour{UnansweredShare: 0.3})},
	{"target fails", "t", nodes, target(psim.Behaviour{FailTasks: true})},
	{"target crashes", "t", nodes, func(s *player, _ string, i int, _ time.Duration) { s.yard.CrashTarget(i) }},
	{"target leaves", "t", nodes, leave},
}

func front(i int) string { return "front e" + string(rune('0'+i)) }

func kill(s *player, name string, _ int, lasts time.Duration) {
	s.yard.Kill(name)
	time.Sleep(lasts / 2)
	s.launch(name)
}

// startTime is how long a process may take before it handles signals. One that
// is told to stop before ends by the signal itself; nothing is lost with it.
const startTime = 100 * time.Millisecond

func term(s *player, name string, _ int, _ time.Duration) {
	s.mu.Lock()
	young := time.Since(s.launched[name]) < startTime
	s.mu.Unlock()
	if err := s.yard.Stop(name); err != nil && !young {
		s.fault("%s ended with %v", name, err)
	}
	s.launch(name)
}

func (s *player) launch(name string) {
	s.mu.Lock()
	s.launched[name] = time.Now()
	s.mu.Unlock()
	if err := s.yard.Launch(name); err != nil {
		s.fault("%s does not start: %v", name, err)
	}
}

func pause(s *player, name string, _ int, lasts time.Duration) {
	s.signal(name, syscall.SIGSTOP)
	time.Sleep(lasts)
	s.signal(name, syscall.SIGCONT)
}

func hup(s *player, name string, _ int, _ time.Duration) { s.signal(name, syscall.SIGHUP) }

func (s *player) signal(name string, sig syscall.Signal) {
	if err := s.yard.Signal(name, sig); err != nil {
		s.fault("signal to %s: %v", name, err)
	}
}

func config(s *player, _ string, _ int, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.yard.WriteConfig(s.version)
}

func storeDown(s *player, _ string, _ int, lasts time.Duration) {
	s.yard.SetStoreDown(true)
	time.Sleep(lasts)
	s.yard.SetStoreDown(false)
}

func cut(s *player, name string, m netem.Mode, lasts time.Duration) {
	c := s.yard.Proxy(name)
	c.SetMode(m)
	time.Sleep(lasts)
	c.SetMode(netem.Forward)
}

func targetCut(m netem.Mode) func(*player, string, int, time.Duration) {
	return func(s *player, _ string, i int, lasts time.Duration) {
		cut(s, "target n"+string(rune('0'+i)), m, lasts)
	}
}

func target(m psim.Behaviour) func(*player, string, int, time.Duration) {
	return func(s *player, _ string, i int, lasts time.Duration) {
		s.yard.SetBehaviour(i, m)
		time.Sleep(lasts)
		s.yard.SetBehaviour(i, psim.Behaviour{})
	}
}

// leave has a target say that it leaves, serve on for a while, and come back as
// another life.
func leave(s *player, _ string, i int, lasts time.Duration) {
	s.yard.SetBehaviour(i, psim.Behaviour{Draining: true})
	time.Sleep(2*time.Second + lasts)
	s.yard.CrashTarget(i)
}
