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
	jobInterval  = 25 * time.Millisecond // between two submissions of a load
	tasksPerJob  = 3
	taskMS       = 60  // run time of a task
	taskMilliCPU = 500 // CPU demand of a task, in thousandths of a core
)

// yardScenarioKey is the key of the *yardScenario among the values of a testscript.
type yardScenarioKey struct{}

// TestYard runs the scripts in testdata/yard, in which the processes of the dispatcher run
// against a stand-in of the users' platform.
func TestYard(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "yard"),
		Setup: func(env *testscript.Env) error {
			s := &yardScenario{dir: env.WorkDir}
			env.Values[yardScenarioKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"yard":    startYard,
			"jobs":    submitYardJobs,
			"during":  awaitYardAnswers,
			"settle":  awaitYardJobs,
			"signal":  signalYardProcesses,
			"launch":  launchYardProcesses,
			"ready":   awaitYardReady,
			"table":   setYardTable,
			"config":  writeYardConfig,
			"route":   awaitYardRoute,
			"target":  setYardTargets,
			"verdict": checkYardVerdict,
			"explain": checkYardExplanation,
			"fleet":   awaitYardFleet,
			"counter": checkYardCounter,
		},
	})
}

// yardScenario is the state of one script of TestYard: its platform and the jobs submitted
// to it.
type yardScenario struct {
	dir         string         // working folder of the script and of its processes
	yard        *psim.Platform // nil before the command "yard"
	entryCount  int
	nextJob     int            // number of the next job, from which its ID is made
	pendingJobs sync.WaitGroup // jobs without an outcome
}

// close waits for the outcomes of all jobs and ends all processes.
func (s *yardScenario) close() {
	s.pendingJobs.Wait()
	if s.yard != nil {
		s.yard.Close()
	}
}

// yardScenarioOf returns the state of the running script.
func yardScenarioOf(ts *testscript.TestScript) *yardScenario {
	s, _ := ts.Value(yardScenarioKey{}).(*yardScenario)
	return s
}

// numberArg returns N of the argument name=N, or the default value if there is none.
func numberArg(ts *testscript.TestScript, args []string, name string, defaultValue int) int {
	for _, arg := range args {
		if text, ok := strings.CutPrefix(arg, name+"="); ok {
			n, err := strconv.Atoi(text)
			ts.Check(err)
			return n
		}
	}
	return defaultValue
}

// awaitCondition polls until the condition holds, and fails the script after waitTimeout.
func awaitCondition(ts *testscript.TestScript, description string, holds func() bool) {
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for %s", description)
		}
	}
}

// startYard implements "yard entries=N nodes=N", which starts the platform and all
// processes, and waits until all entries are ready.
func startYard(ts *testscript.TestScript, _ bool, args []string) {
	s := yardScenarioOf(ts)
	s.entryCount = numberArg(ts, args, "entries", 2)
	y, err := psim.New(s.dir, filepath.Join(binDir, "gypsumlanding"), psim.Options{Entries: s.entryCount, Nodes: numberArg(ts, args, "nodes", 4)})
	ts.Check(err)
	s.yard = y
	awaitYardReady(ts, false, nil)
}

// awaitYardReady implements "ready", which waits until all entries are ready.
func awaitYardReady(ts *testscript.TestScript, _ bool, _ []string) {
	s := yardScenarioOf(ts)
	awaitCondition(ts, "all entries to be ready", func() bool {
		for i := range s.entryCount {
			if !s.yard.EntryReady(i + 1) {
				return false
			}
		}
		return true
	})
}

// submitYardJobs implements "jobs N", which submits N jobs in the background, one every
// jobInterval.
func submitYardJobs(ts *testscript.TestScript, _ bool, args []string) {
	s := yardScenarioOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	first := s.nextJob
	s.nextJob += n
	s.pendingJobs.Add(n)
	go func() {
		for i := range n {
			go func() {
				defer s.pendingJobs.Done()
				s.yard.SubmitJob(fmt.Sprintf("%016x", first+i), s.entryCount, tasksPerJob, taskMS, taskMilliCPU)
			}()
			time.Sleep(jobInterval)
		}
	}()
}

// awaitYardAnswers implements "during N", which waits until N jobs have an outcome.
func awaitYardAnswers(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	s := yardScenarioOf(ts)
	awaitCondition(ts, args[0]+" answers", func() bool {
		v := s.yard.Verdict()
		return v.Done+v.Failed+v.Refused+v.Unknown >= n
	})
}

// awaitYardJobs implements "settle", which waits until all jobs have an outcome.
func awaitYardJobs(ts *testscript.TestScript, _ bool, _ []string) {
	yardScenarioOf(ts).pendingJobs.Wait()
}

// signalYardProcesses implements "signal kill|term|stop|cont NAME...", which kills, shuts
// down, suspends or resumes the named processes.
func signalYardProcesses(ts *testscript.TestScript, _ bool, args []string) {
	y := yardScenarioOf(ts).yard
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

// launchYardProcesses implements "launch NAME...", which starts the named processes.
func launchYardProcesses(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(yardScenarioOf(ts).yard.Launch(name))
	}
}

// setYardTable implements "table down|up", which stops or resumes the table store.
func setYardTable(ts *testscript.TestScript, _ bool, args []string) {
	yardScenarioOf(ts).yard.SetStoreDown(args[0] == "down")
}

// writeYardConfig implements "config VERSION", which writes that version of the operator's
// configuration. Odd versions have the route /extra/, even ones do not.
func writeYardConfig(ts *testscript.TestScript, _ bool, args []string) {
	version, err := strconv.Atoi(args[0])
	ts.Check(err)
	yardScenarioOf(ts).yard.WriteConfig(version)
}

// awaitYardRoute implements "route PATH STATUS", which waits, for one entry after another,
// until the entry answers requests for the path with the status. It then repeats the
// request to check that the entry does not return to an older configuration.
func awaitYardRoute(ts *testscript.TestScript, _ bool, args []string) {
	s := yardScenarioOf(ts)
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range s.entryCount {
		awaitCondition(ts, args[0]+" to answer "+args[1], func() bool { return s.yard.RequestStatus(i+1, args[0]) == want })
		for range 20 {
			if got := s.yard.RequestStatus(i+1, args[0]); got != want {
				ts.Fatalf("entry %d answers %d after %d", i+1, got, want)
			}
		}
	}
}

// setYardTargets implements "target N... lossy|failing|leaving|well|crash", which changes
// how the targets behave, or crashes them.
func setYardTargets(ts *testscript.TestScript, _ bool, args []string) {
	y := yardScenarioOf(ts).yard
	behaviour := args[len(args)-1]
	for _, text := range args[:len(args)-1] {
		i, err := strconv.Atoi(text)
		ts.Check(err)
		switch behaviour {
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

// checkYardVerdict implements "verdict [done=N] [refused=N] [failed=N] [unknown=N]". It
// fails if the platform saw a fault, if fewer than done jobs were done, or if more jobs
// than given were refused, failed or have no known outcome. A number not given is 0.
func checkYardVerdict(ts *testscript.TestScript, _ bool, args []string) {
	v := yardScenarioOf(ts).yard.Verdict()
	for _, fault := range v.Violations {
		ts.Logf("fault: %s", fault)
	}
	ts.Logf("%+v", v)
	switch {
	case len(v.Violations) > 0:
		ts.Fatalf("%d faults", len(v.Violations))
	case v.Done < numberArg(ts, args, "done", 0):
		ts.Fatalf("%d jobs done", v.Done)
	case v.Refused > numberArg(ts, args, "refused", 0):
		ts.Fatalf("%d jobs refused", v.Refused)
	case v.Failed > numberArg(ts, args, "failed", 0):
		ts.Fatalf("%d jobs failed", v.Failed)
	case v.Unknown > numberArg(ts, args, "unknown", 0):
		ts.Fatalf("%d jobs without an answer", v.Unknown)
	}
}
