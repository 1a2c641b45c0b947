package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
)

const (
	entries  = 3
	nodes    = 6
	jobEvery = 30 * time.Millisecond
	jobTasks = 3
	jobMS    = 80   // run time of a task
	jobCPU   = 600  // thousandths of a core, of a task
	most     = 4    // failures at a time
	pauseMS  = 700  // between failures, the longest
	lastsMS  = 2500 // the longest that one lasts
	// calmFor is how long all is well before the last jobs come.
	calmFor  = 8 * time.Second
	calmJobs = 20
	// waitLimit is how long a condition at the end may take.
	waitLimit = 20 * time.Second
	watchGap  = 100 * time.Millisecond
)

// Plan says what is played.
type Config struct {
	Seed          uint64
	FailurePeriod time.Duration // failures begin during this time
	Dir           string        // for the processes' files
	Program       string        // path of gypsumlanding
	// Log tells what is done; nil drops it.
	Log func(text string)
}

// Result is what was seen.
type Result struct {
	Seed     uint64         `json:"seed"`
	Failures map[string]int `json:"failures"` // by kind
	Verdict  psim.Verdict   `json:"verdict"`
}

// player is a soak that is being played.
type player struct {
	Config
	yard   *psim.Platform
	random *rand.Rand

	mu       sync.Mutex
	busy     map[string]bool // processes and targets that something is done to
	counts   map[string]int
	launched map[string]time.Time // when a process was started again
	faults   []string
	version  int
}

// Run plays a soak and returns what was seen.
func Run(p Config) (Result, error) {
	y, err := psim.New(p.Dir, p.Program, psim.Options{Entries: entries, Nodes: nodes, Proxies: true})
	if err != nil {
		return Result{}, err
	}
	defer y.Close()
	s := &player{
		Config: p, yard: y, random: rand.New(rand.NewPCG(p.Seed, 0)), version: 1,
		busy: map[string]bool{}, counts: map[string]int{}, launched: map[string]time.Time{},
	}
	for i := range nodes {
		y.SetClockRate(i+1, 0.98+0.04*s.random.Float64())
	}
	s.await("all entries to be ready", s.ready)
	ctx, stop := context.WithCancel(context.Background())
	var watch, jobs sync.WaitGroup
	watch.Go(func() { s.watchVersions(ctx) })
	jobs.Go(func() { s.callers(ctx, &jobs) })
	s.fail()
	stop()
	watch.Wait()
	jobs.Wait()
	s.calm()
	v := y.Verdict()
	v.Violations = append(v.Violations, s.faults...)
	return Result{Seed: p.Seed, Failures: s.counts, Verdict: v}, nil
}

// callers submits jobs until ctx ends.
func (s *player) callers(ctx context.Context, jobs *sync.WaitGroup) {
	for i := 0; ctx.Err() == nil; i++ {
		jobs.Go(func() {
			s.yard.SubmitJob(fmt.Sprintf("%012x%04x", s.Seed&0xffffffff, i), entries, jobTasks, jobMS, jobCPU)
		})
		time.Sleep(jobEvery)
	}
}

// fail has failures begin one after the other, and waits for their ends.
func (s *player) fail() {
	var ends sync.WaitGroup
	turns := make(chan struct{}, most)
	for limit := time.Now().Add(s.FailurePeriod); time.Now().Before(limit); {
		f := failures[s.random.IntN(len(failures))]
		i, lasts := s.random.IntN(f.among), time.Duration(s.random.IntN(lastsMS))*time.Millisecond
		pause := time.Duration(s.random.IntN(pauseMS)) * time.Millisecond
		name := fmt.Sprintf("%s%d", f.prefix, i+1)
		turns <- struct{}{}
		if s.take(name) {
			s.log("%s %s for %v", f.kind, name, lasts)
			s.counts[f.kind]++
			ends.Go(func() {
				defer s.free(name)
				f.play(s, name, i+1, lasts)
				<-turns
			})
		} else {
			<-turns
		}
		time.Sleep(pause)
	}
	ends.Wait()
}

// take reserves a process or target for one failure.
func (s *player) take(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return false
	}
	s.busy[name] = true
	return true
}

func (s *player) free(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

// calm checks that all is served again, and that the newest configuration is in
// force everywhere.
func (s *player) calm() {
	time.Sleep(calmFor)
	s.await("all entries to be ready", s.ready)
	var jobs sync.WaitGroup
	for i := range calmJobs {
		jobs.Go(func() {
			id := fmt.Sprintf("ca%014x", i)
			if got := s.yard.SubmitJob(id, entries, 1, jobMS, jobCPU); got != "done" {
				s.fault("on the calm day afterwards %s was %s", id, got)
			}
		})
		time.Sleep(jobEvery)
	}
	jobs.Wait()
	s.await(fmt.Sprintf("version %d in force everywhere", s.version), func() bool {
		for i := range entries {
			if _, version, ok := s.yard.ConfigVersion(i + 1); !ok || version != int64(s.version) {
				return false
			}
		}
		return true
	})
}

// watchVersions checks that no process goes back to an older configuration, until
// ctx ends.
func (s *player) watchVersions(ctx context.Context) {
	newest := map[string]int64{} // by life
	for ctx.Err() == nil {
		for i := range entries {
			life, version, ok := s.yard.ConfigVersion(i + 1)
			if !ok {
				continue
			}
			if version < newest[life] {
				s.fault("e%d goes back from version %d to %d", i+1, newest[life], version)
			}
			newest[life] = version
		}
		time.Sleep(watchGap)
	}
}

func (s *player) ready() bool {
	for i := range entries {
		if !s.yard.EntryReady(i + 1) {
			return false
		}
	}
	return true
}

// await waits for a condition, and notes a fault if it does not come.
func (s *player) await(what string, ok func() bool) {
	for limit := time.Now().Add(waitLimit); !ok(); time.Sleep(watchGap) {
		if time.Now().After(limit) {
			s.fault("waited in vain for %s", what)
			return
		}
	}
}

func (s *player) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

func (s *player) log(format string, args ...any) {
	if s.Log != nil {
		s.Log(fmt.Sprintf(format, args...))
	}
}

// String returns the result in one line a fault.
func (r Result) String() string {
	return fmt.Sprintf("seed %d: %d done, %d failed, %d refused, %d without an answer; %s",
		r.Seed, r.Verdict.Done, r.Verdict.Failed, r.Verdict.Refused, r.Verdict.Unknown, strings.Join(r.Verdict.Violations, "; "))
}
