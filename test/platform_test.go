package test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
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

// platformScenarioKey is the key of the *platformScenario among the values of a testscript.
type platformScenarioKey struct{}

// TestPlatform runs the scripts in testdata/platform, in which the processes of the dispatcher run
// against a stand-in of the users' platform.
func TestPlatform(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "platform"),
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			s := &platformScenario{dir: env.WorkDir}
			env.Values[platformScenarioKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"platform": startPlatform,
			"jobs":     submitPlatformJobs,
			"during":   awaitPlatformAnswers,
			"settle":   awaitPlatformJobs,
			"signal":   signalPlatformProcesses,
			"launch":   launchPlatformProcesses,
			"ready":    awaitPlatformReady,
			"table":    setPlatformTable,
			"config":   writePlatformConfig,
			"route":    awaitPlatformRoute,
			"target":   setPlatformTargets,
			"evacuate": evacuateDomain(true),
			"takeback": evacuateDomain(false),
			"verdict":  checkPlatformVerdict,
			"explain":  checkPlatformExplanation,
			"fleet":    awaitPlatformFleet,
			"where":    awaitPlacement,
			"counter":  checkPlatformCounter,
		},
	})
}

// platformScenario is the state of one script of TestPlatform: its platform and the jobs submitted
// to it.
type platformScenario struct {
	dir         string         // working folder of the script and of its processes
	platform    *psim.Platform // nil before the command "platform"
	entryCount  int
	nextJob     int            // number of the next job, from which its ID is made
	pendingJobs sync.WaitGroup // jobs without an outcome
}

// close waits for the outcomes of all jobs and ends all processes.
func (s *platformScenario) close() {
	s.pendingJobs.Wait()
	if s.platform != nil {
		s.platform.Close()
	}
}

// platformScenarioOf returns the state of the running script.
func platformScenarioOf(ts *testscript.TestScript) *platformScenario {
	s, _ := ts.Value(platformScenarioKey{}).(*platformScenario)
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

// startPlatform implements "platform entries=N nodes=N [early]", which starts the platform and
// all processes, and waits as "ready" does, or, if early, until all entries are ready. It sets
// the variable METRICS to the metrics address of the first entry.
func startPlatform(ts *testscript.TestScript, _ bool, args []string) {
	s := platformScenarioOf(ts)
	s.entryCount = numberArg(ts, args, "entries", 2)
	platform, err := psim.New(s.dir, filepath.Join(binDir, "gypsumlanding"), psim.Options{Entries: s.entryCount, Nodes: numberArg(ts, args, "nodes", 4)})
	ts.Check(err)
	s.platform = platform
	ts.Setenv("METRICS", platform.MetricsAddr(1))
	if slices.Contains(args, "early") {
		awaitCondition(ts, "all entries to be ready", platform.EntriesReady)
		return
	}
	awaitPlatformReady(ts, false, nil)
}

// awaitPlatformReady implements "ready", which waits until all entries are ready and know that
// all targets can start tasks.
func awaitPlatformReady(ts *testscript.TestScript, _ bool, _ []string) {
	awaitCondition(ts, "the platform to be ready", platformScenarioOf(ts).platform.Ready)
}

// submitPlatformJobs implements "jobs N", which submits N jobs in the background, one every
// jobInterval.
func submitPlatformJobs(ts *testscript.TestScript, _ bool, args []string) {
	s := platformScenarioOf(ts)
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	first := s.nextJob
	s.nextJob += n
	s.pendingJobs.Add(n)
	go func() {
		for i := range n {
			go func() {
				defer s.pendingJobs.Done()
				s.platform.SubmitJob(fmt.Sprintf("%016x", first+i), tasksPerJob, taskMS, taskMilliCPU)
			}()
			time.Sleep(jobInterval)
		}
	}()
}

// awaitPlatformAnswers implements "during N", which waits until N jobs have an outcome.
func awaitPlatformAnswers(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	s := platformScenarioOf(ts)
	awaitCondition(ts, args[0]+" answers", func() bool {
		v := s.platform.Verdict()
		return v.Done+v.Failed+v.Refused+v.Unknown >= n
	})
}

// awaitPlatformJobs implements "settle", which waits until all jobs have an outcome.
func awaitPlatformJobs(ts *testscript.TestScript, _ bool, _ []string) {
	platformScenarioOf(ts).pendingJobs.Wait()
}

// signalPlatformProcesses implements "signal kill|term|stop|cont NAME...", which kills, shuts
// down, suspends or resumes the named processes.
func signalPlatformProcesses(ts *testscript.TestScript, _ bool, args []string) {
	platform := platformScenarioOf(ts).platform
	for _, name := range args[1:] {
		switch args[0] {
		case "kill":
			platform.Kill(name)
		case "term":
			ts.Check(platform.Stop(name))
		case "stop":
			ts.Check(platform.Signal(name, syscall.SIGSTOP))
		case "cont":
			ts.Check(platform.Signal(name, syscall.SIGCONT))
		default:
			ts.Fatalf("unknown signal %s", args[0])
		}
	}
}

// launchPlatformProcesses implements "launch NAME...", which starts the named processes.
func launchPlatformProcesses(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(platformScenarioOf(ts).platform.Launch(name))
	}
}

// setPlatformTable implements "table down|up|discard", which stops or resumes the table store, or
// makes it discard its history.
func setPlatformTable(ts *testscript.TestScript, _ bool, args []string) {
	if args[0] == "discard" {
		platformScenarioOf(ts).platform.DiscardHistory()
		return
	}
	platformScenarioOf(ts).platform.SetStoreDown(args[0] == "down")
}

// writePlatformConfig implements "config VERSION", which writes that version of the operator's
// configuration. Odd versions have the route /extra/, even ones do not.
func writePlatformConfig(ts *testscript.TestScript, _ bool, args []string) {
	version, err := strconv.Atoi(args[0])
	ts.Check(err)
	platformScenarioOf(ts).platform.WriteConfig(version)
}

// awaitPlatformRoute implements "route PATH STATUS", which waits, for one entry after another,
// until the entry answers requests for the path with the status. It then repeats the
// request to check that the entry does not return to an older configuration.
func awaitPlatformRoute(ts *testscript.TestScript, _ bool, args []string) {
	s := platformScenarioOf(ts)
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range s.entryCount {
		awaitCondition(ts, args[0]+" to answer "+args[1], func() bool { return s.platform.RequestStatus(i+1, args[0]) == want })
		for range 20 {
			if got := s.platform.RequestStatus(i+1, args[0]); got != want {
				ts.Fatalf("entry %d answers %d after %d", i+1, got, want)
			}
		}
	}
}

// setPlatformTargets implements "target N... lossy|failing|leaving|well|crash", which changes
// how the targets behave, or crashes them.
func setPlatformTargets(ts *testscript.TestScript, _ bool, args []string) {
	platform := platformScenarioOf(ts).platform
	behaviour := args[len(args)-1]
	for _, text := range args[:len(args)-1] {
		i, err := strconv.Atoi(text)
		ts.Check(err)
		switch behaviour {
		case "crash":
			platform.CrashTarget(i)
		case "lossy":
			platform.SetBehaviour(i, psim.Behaviour{UnansweredShare: 0.2})
		case "failing":
			platform.SetBehaviour(i, psim.Behaviour{FailTasks: true})
		case "leaving":
			platform.SetBehaviour(i, psim.Behaviour{Draining: true})
		default:
			platform.SetBehaviour(i, psim.Behaviour{})
		}
	}
}

// evacuationLimit is how long after a request to evacuate a domain tasks may start there. It is
// shorter than the platform's, which would outlast most scripts.
const evacuationLimit = 2 * time.Second

// evacuateDomain implements "evacuate N" and "takeback N", which evacuate failure domain N and
// take it back.
func evacuateDomain(evacuated bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		number, err := strconv.Atoi(args[0])
		ts.Check(err)
		if evacuated {
			platformScenarioOf(ts).platform.SetEvacuationLimit(evacuationLimit)
			platformScenarioOf(ts).platform.Evacuate(number)
			return
		}
		platformScenarioOf(ts).platform.TakeBack(number)
	}
}

// checkPlatformVerdict implements "verdict [done=N] [refused=N] [failed=N] [unknown=N]". It
// fails if the platform saw a fault, if fewer than done jobs were done, or if more jobs
// than given were refused, failed or have no known outcome. A number not given is 0.
func checkPlatformVerdict(ts *testscript.TestScript, _ bool, args []string) {
	v := platformScenarioOf(ts).platform.Verdict()
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
