package test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
	"github.com/rogpeppe/go-internal/testscript"
)

// waitTimeout is the longest wait for a condition. It only ends tests that hang, and is
// not a requirement on speed.
const waitTimeout = 60 * time.Second

// overlayVariable is the environment variable with the path of an overlay file. If it is
// set, the programs are built with the overlay. TestPropertiesCatchBrokenRules sets it.
const overlayVariable = "GYP_OVERLAY"

// binDir is the folder with the programs under test.
var binDir string

func TestMain(m *testing.M) { os.Exit(buildAndTest(m)) }

// buildAndTest builds the programs, with the race detector unless an overlay is set, runs
// the tests and returns their exit code.
func buildAndTest(m *testing.M) int {
	if err := flag.Set("test.parallel", "2"); err != nil {
		panic(err)
	}
	flag.Parse()
	dir, err := os.MkdirTemp("", "gyptest")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	args := []string{"build", "-o", binDir + "/"}
	if overlay := os.Getenv(overlayVariable); overlay != "" {
		args = append(args, "-overlay", overlay)
	} else {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "./...")...)
	build.Dir = filepath.Join("..", "cmd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("building the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// scenarioKey is the key of the *scenario among the values of a testscript.
type scenarioKey struct{}

// TestScenarios runs the scripts in testdata, each against a fleet of processes on
// loopback while failures are injected.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			s := &scenario{dir: env.WorkDir, markedStarts: map[string]int{}}
			env.Values[scenarioKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: fleetCommands,
	})
}

// scenario is the state of one script of TestScenarios: its fleet and the jobs submitted
// to it.
type scenario struct {
	dir          string       // working folder of the script and of its processes
	fleet        *fleet.Fleet // nil before the command "fleet"
	loads        []*loadRun
	submitted    submissions
	markedStarts map[string]int // starts received by a target at the time of "mark"
	versionWatch *versionWatch  // nil before "steady start"
}

// scenarioOf returns the state of the running script.
func scenarioOf(ts *testscript.TestScript) *scenario {
	s, _ := ts.Value(scenarioKey{}).(*scenario)
	return s
}

// close kills all processes.
func (s *scenario) close() {
	if s.fleet != nil {
		s.fleet.Close()
	}
}

// withTimeout calls f with a context that expires after waitTimeout, and fails the script
// if f returns an error.
func (s *scenario) withTimeout(ts *testscript.TestScript, f func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ts.Check(f(ctx))
}
