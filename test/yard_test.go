package test

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/psim"
	"github.com/rogpeppe/go-internal/testscript"
)

const (
	jobEvery = 25 * time.Millisecond // between two jobs of a load
	jobTasks = 3
	jobMS    = 60  // run time of a task
	jobCPU   = 500 // thousandths of a core, of a task
)

type yardKey struct{}

// TestYard plays the scenarios of the platform path, in which the dispatcher
// meets stand-ins of the users' platform.
func TestYard(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "yard"),
		Setup: func(env *testscript.Env) error {
			s := &yardScene{dir: env.WorkDir}
			env.Values[yardKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"yard":    yardStart,
			"jobs":    yardJobs,
			"during":  yardDuring,
			"settle":  yardSettle,
			"signal":  yardSignal,
			"launch":  yardLaunch,
			"ready":   yardReady,
			"table":   yardTable,
			"config":  yardConfig,
			"route":   yardRoute,
			"target":  yardTarget,
			"verdict": yardVerdict,
			"explain": yardExplain,
			"fleet":   yardFleet,
			"counter": yardCounter,
		},
	})
}

// yardScene is one script's platform and what its callers do.
type yardScene struct {
	dir     string
	yard    *psim.Platform
	entries int
	next    int
	jobs    sync.WaitGroup
}

func (s *yardScene) close() {
	s.jobs.Wait()
	if s.yard != nil {
		s.yard.Close()
	}
}

func yardOf(ts *testscript.TestScript) *yardScene {
	s, _ := ts.Value(yardKey{}).(*yardScene)
	return s
}

// yardNumber reads the argument name=N, or returns a default.
func yardNumber(ts *testscript.TestScript, args []string, name string, otherwise int) int {
	for _, arg := range args {
		if text, ok := strings.CutPrefix(arg, name+"="); ok {
			n, err := strconv.Atoi(text)
			ts.Check(err)
			return n
		}
	}
	return otherwise
}

// awaitYard waits for a condition.
func awaitYard(ts *testscript.TestScript, what string, ok func() bool) {
	for limit := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			ts.Fatalf("waited in vain for %s", what)
		}
	}
}

// yardStart: yard entries=N nodes=N
func yardStart(ts *testscript.TestScript, _ bool, args []string) {
	s := yardOf(ts)
	s.entries = yardNumber(ts, args, "entries", 2)
	y, err := psim.New(s.dir, filepath.Join(bin, "gypsumlanding"), psim.Options{Entries: s.entries, Nodes: yardNumber(ts, args, "nodes", 4)})
	ts.Check(err)
	s.yard = y
	yardReady(ts, false, nil)
}

// yardReady: ready waits until all entries are.
func yardReady(ts *testscript.TestScript, _ bool, _ []string) {
	s := yardOf(ts)
	awaitYard(ts, "all entries to be ready", func() bool {
		for i := range s.entries {
			if !s.yard.EntryReady(i + 1) {
				return false
			}
		}
		return true
	})
}

// yardJobs: jobs N submits jobs one after the other, in the background.
func yardJobs(ts *testscript.TestScript, _ bool, args []string) {
	s := yardOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	first := s.next
	s.next += n
	s.jobs.Add(n)
	go func() {
		for i := range n {
			go func() {
				defer s.jobs.Done()
				s.yard.SubmitJob(fmt.Sprintf("%016x", first+i), s.entries, jobTasks, jobMS, jobCPU)
			}()
			time.Sleep(jobEvery)
		}
	}()
}

// yardDuring: during N waits until N jobs have been answered.
func yardDuring(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	s := yardOf(ts)
	awaitYard(ts, args[0]+" answers", func() bool {
		v := s.yard.Verdict()
		return v.Done+v.Failed+v.Refused+v.Unknown >= n
	})
}

// yardSettle: settle waits until all jobs are answered.
func yardSettle(ts *testscript.TestScript, _ bool, _ []string) { yardOf(ts).jobs.Wait() }

// yardSignal: signal kill|term|stop|cont NAME...
func yardSignal(ts *testscript.TestScript, _ bool, args []string) {
	y := yardOf(ts).yard
	for _, name := range args[1:] {
		switch args[0] {
		case "kill":
			y.Kill(name)
		case "term":
			ts.Check(y.Stop(name))
		case "stop":
			ts.Check(y.Signal(name, syscall.SIGSTOP))
		case "cont":
			ts.Check(y.Signal(name, syscall.SIGCONT))
		default:
			ts.Fatalf("unknown signal %s", args[0])
		}
	}
}

// yardLaunch: launch NAME...
func yardLaunch(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(yardOf(ts).yard.Launch(name))
	}
}

// yardTable: table down|up
func yardTable(ts *testscript.TestScript, _ bool, args []string) {
	yardOf(ts).yard.SetStoreDown(args[0] == "down")
}

// yardConfig: config VERSION writes it; odd ones have the route /extra/.
func yardConfig(ts *testscript.TestScript, _ bool, args []string) {
	version, err := strconv.Atoi(args[0])
	ts.Check(err)
	yardOf(ts).yard.WriteConfig(version)
}

// yardRoute: route PATH STATUS waits until all entries answer so, and then
// checks that none goes back.
func yardRoute(ts *testscript.TestScript, _ bool, args []string) {
	s := yardOf(ts)
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range s.entries {
		awaitYard(ts, args[0]+" to answer "+args[1], func() bool { return s.yard.RequestStatus(i+1, args[0]) == want })
		for range 20 {
			if got := s.yard.RequestStatus(i+1, args[0]); got != want {
				ts.Fatalf("entry %d answers %d after %d", i+1, got, want)
			}
		}
	}
}

// yardTarget: target N... lossy|failing|leaving|well|crash
func yardTarget(ts *testscript.TestScript, _ bool, args []string) {
	y := yardOf(ts).yard
	how := args[len(args)-1]
	for _, text := range args[:len(args)-1] {
		i, err := strconv.Atoi(text)
		ts.Check(err)
		switch how {
		case "crash":
			y.CrashTarget(i)
		case "lossy":
			y.SetBehaviour(i, psim.Behaviour{UnansweredShare: 0.2})
		case "failing":
			y.SetBehaviour(i, psim.Behaviour{FailTasks: true})
		case "leaving":
			y.SetBehaviour(i, psim.Behaviour{Draining: true})
		default:
			y.SetBehaviour(i, psim.Behaviour{})
		}
	}
}

// yardVerdict: verdict [done=N] [refused=N] [failed=N] [unknown=N] checks that
// nothing went wrong, that at least done jobs were done, and that at most the
// given numbers were not.
func yardVerdict(ts *testscript.TestScript, _ bool, args []string) {
	v := yardOf(ts).yard.Verdict()
	for _, fault := range v.Violations {
		ts.Logf("fault: %s", fault)
	}
	ts.Logf("%+v", v)
	switch {
	case len(v.Violations) > 0:
		ts.Fatalf("%d faults", len(v.Violations))
	case v.Done < yardNumber(ts, args, "done", 0):
		ts.Fatalf("%d jobs done", v.Done)
	case v.Refused > yardNumber(ts, args, "refused", 0):
		ts.Fatalf("%d jobs refused", v.Refused)
	case v.Failed > yardNumber(ts, args, "failed", 0):
		ts.Fatalf("%d jobs failed", v.Failed)
	case v.Unknown > yardNumber(ts, args, "unknown", 0):
		ts.Fatalf("%d jobs without an answer", v.Unknown)
	}
}
