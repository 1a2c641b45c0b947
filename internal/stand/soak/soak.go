package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
)

const (
	defaultEntries = 3
	defaultNodes   = 6
	tasksPerJob    = 3
	taskRunMS      = 80  // run time of a task of the jobs that check recovery
	taskMilliCPU   = 600 // thousandths of a core, of a task
	// The load and the rate of failures are those of a platform of the default size. They rise
	// with the number of nodes.
	jobInterval   = 40 * time.Millisecond
	defaultAtOnce = 4    // failures in progress at the same time
	maxPauseMS    = 700  // exclusive upper bound of the pause between two failures
	maxDurationMS = 2500 // exclusive upper bound of a failure's duration
	// recoveryTime is the time without failures before the jobs that check recovery.
	recoveryTime = 8 * time.Second
	recoveryJobs = 20
	// waitTimeout is how long a condition may take to hold.
	waitTimeout   = 20 * time.Second
	checkInterval = 100 * time.Millisecond
)

// runTimesMS are the run times of tasks, of which each job draws one. The long ones are
// still running when a failure that began with them has been noticed, the longest also when
// what an entry lost sight of is placed again.
var runTimesMS = []int{80, 80, 80, 80, 80, 80, 80, 80, 80, 80, 300, 900, 2500}

// Config describes a soak test.
type Config struct {
	Seed          uint64
	FailurePeriod time.Duration // during which failures begin
	Dir           string        // settings and logs of the processes
	Program       string        // path of gypsumlanding
	Entries       int           // 0 means 3
	Nodes         int           // 0 means 6
	AtOnce        int           // failures in progress at the same time; 0 means 4 for each 6 nodes
	// Log logs each failure as it begins; nil discards it.
	Log func(text string)
}

// Result is the result of a soak test.
type Result struct {
	Seed     uint64         `json:"seed"`
	Failures map[string]int `json:"failures"` // by kind
	Verdict  psim.Verdict   `json:"verdict"`
}

// runner is a soak test in progress.
type runner struct {
	Config
	platform *psim.Platform
	rng      *rand.Rand

	crash      atomic.Value // psim.Crash of some of the jobs that are submitted
	cancelling atomic.Bool  // some of the jobs that are submitted are cancelled

	mu            sync.Mutex
	busy          map[string]bool      // components with a failure in progress
	failureCounts map[string]int       // by kind; not guarded by mu
	launchedAt    map[string]time.Time // when a process was last relaunched
	violations    []string             // in addition to those that the platform records
	configVersion int                  // newest version written
}

// Run runs a soak test: it starts the platform, submits jobs while it injects
// failures, and checks that the system recovers afterwards. An error means that the
// platform did not start; broken guarantees are listed in the result.
func Run(cfg Config) (Result, error) {
	cfg.Entries, cfg.Nodes = cmp.Or(cfg.Entries, defaultEntries), cmp.Or(cfg.Nodes, defaultNodes)
	cfg.AtOnce = cmp.Or(cfg.AtOnce, max(1, defaultAtOnce*cfg.Nodes/defaultNodes))
	platform, err := psim.New(cfg.Dir, cfg.Program, psim.Options{Entries: cfg.Entries, Nodes: cfg.Nodes, Proxies: true, Seed: cfg.Seed})
	if err != nil {
		return Result{}, err
	}
	defer platform.Close()
	r := &runner{
		Config: cfg, platform: platform, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), configVersion: 1,
		busy: map[string]bool{}, failureCounts: map[string]int{}, launchedAt: map[string]time.Time{},
	}
	platform.SetEvacuationLimit(evacuationLimit)
	for i := range cfg.Nodes {
		platform.SetClockRate(i+1, 0.98+0.04*r.rng.Float64())
	}
	r.await("all entries to be ready", r.platform.EntriesReady)
	ctx, cancel := context.WithCancel(context.Background())
	var checks, jobs sync.WaitGroup
	checks.Go(func() { r.checkVersions(ctx) })
	jobs.Go(func() { r.submitJobs(ctx, &jobs) })
	r.injectFailures()
	cancel()
	checks.Wait()
	jobs.Wait()
	r.checkRecovery()
	v := platform.Verdict()
	v.Violations = append(v.Violations, r.violations...)
	return Result{Seed: cfg.Seed, Failures: r.failureCounts, Verdict: v}, nil
}

// submitJobs submits a job every jobInterval until ctx ends, without waiting for the
// answers.
func (r *runner) submitJobs(ctx context.Context, jobs *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.Seed, 1))
	for i := 0; ctx.Err() == nil; i++ {
		runMS := runTimesMS[rng.IntN(len(runTimesMS))]
		id, crash := fmt.Sprintf("%012x%04x", r.Seed&0xffffffff, i), psim.NoCrash
		if c, ok := r.crash.Load().(psim.Crash); ok && i%crashingEvery == 0 {
			crash = c
		}
		jobs.Go(func() { r.platform.SubmitCrashingJob(id, tasksPerJob, runMS, taskMilliCPU, crash) })
		if r.cancelling.Load() && i%crashingEvery == 1 {
			entry := rng.IntN(r.Entries) + 1
			jobs.Go(func() {
				time.Sleep(cancelDelay)
				r.platform.CancelJob(entry, id)
			})
		}
		time.Sleep(r.perNodes(jobInterval))
	}
}

// perNodes returns the interval that corresponds to one of a platform of the default size.
func (r *runner) perNodes(interval time.Duration) time.Duration {
	return interval * defaultNodes / time.Duration(r.Nodes)
}

// injectFailures begins failures during FailurePeriod, of which at most AtOnce are in
// progress at once, and waits until all have ended.
func (r *runner) injectFailures() {
	var active sync.WaitGroup
	tokens := make(chan struct{}, r.AtOnce)
	for end := time.Now().Add(r.FailurePeriod); time.Now().Before(end); {
		f := failures[r.rng.IntN(len(failures))]
		i, duration := r.rng.IntN(f.count(r.Config)), time.Duration(r.rng.IntN(maxDurationMS))*time.Millisecond
		pause := time.Duration(r.rng.IntN(maxPauseMS)) * time.Millisecond * defaultAtOnce / time.Duration(r.AtOnce)
		name := fmt.Sprintf("%s%d", f.prefix, i+1)
		tokens <- struct{}{}
		if r.reserve(name) {
			r.logf("%s %s for %v", f.kind, name, duration)
			r.failureCounts[f.kind]++
			active.Go(func() {
				defer r.release(name)
				r.inject(f, name, i+1, duration)
				<-tokens
			})
		} else {
			<-tokens
		}
		time.Sleep(pause)
	}
	active.Wait()
}

// inject injects a failure into a component, and notes when it may break the connections of an entry's
// callers.
func (r *runner) inject(f failure, name string, i int, duration time.Duration) {
	if f.breaksCallers() {
		r.platform.Disturb(i)
		defer r.platform.Disturb(i)
	}
	f.inject(r, name, i, duration)
}

// reserve reserves a component for one failure. It reports false if another failure
// is in progress there.
func (r *runner) reserve(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[name] {
		return false
	}
	r.busy[name] = true
	return true
}

func (r *runner) release(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, name)
}

// checkRecovery checks that jobs are served again once the failures are over, and
// that all entries have the newest configuration in force.
func (r *runner) checkRecovery() {
	time.Sleep(recoveryTime)
	r.await("all entries to be ready", r.platform.EntriesReady)
	var jobs sync.WaitGroup
	for i := range recoveryJobs {
		jobs.Go(func() {
			id := fmt.Sprintf("ca%014x", i)
			if state := r.platform.SubmitJob(id, 1, taskRunMS, taskMilliCPU); state != "done" {
				r.addViolation("after recovery, job %s was %s", id, state)
			}
		})
		time.Sleep(jobInterval)
	}
	jobs.Wait()
	r.await(fmt.Sprintf("version %d in force everywhere", r.configVersion), func() bool {
		for i := range r.Entries {
			if _, version, ok := r.platform.ConfigVersion(i + 1); !ok || version != int64(r.configVersion) {
				return false
			}
		}
		return true
	})
}

// checkVersions checks until ctx ends that no process of an entry returns to an older
// configuration.
func (r *runner) checkVersions(ctx context.Context) {
	newest := map[string]int64{} // by incarnation of the process
	for ctx.Err() == nil {
		for i := range r.Entries {
			incarnation, version, ok := r.platform.ConfigVersion(i + 1)
			if !ok {
				continue
			}
			if version < newest[incarnation] {
				r.addViolation("e%d went back from configuration version %d to %d", i+1, newest[incarnation], version)
			}
			newest[incarnation] = version
		}
		time.Sleep(checkInterval)
	}
}

// await waits until ok returns true. It records a violation if that takes longer
// than waitTimeout.
func (r *runner) await(what string, ok func() bool) {
	for deadline := time.Now().Add(waitTimeout); !ok(); time.Sleep(checkInterval) {
		if time.Now().After(deadline) {
			r.addViolation("timed out waiting for %s", what)
			return
		}
	}
}

func (r *runner) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *runner) logf(format string, args ...any) {
	if r.Log != nil {
		r.Log(fmt.Sprintf(format, args...))
	}
}

// String returns a summary with the number of jobs in each state and all violations,
// in one line.
func (r Result) String() string {
	return fmt.Sprintf("seed %d: %d done, %d failed, %d refused, %d without an answer; %s",
		r.Seed, r.Verdict.Done, r.Verdict.Failed, r.Verdict.Refused, r.Verdict.Unknown, strings.Join(r.Verdict.Violations, "; "))
}
