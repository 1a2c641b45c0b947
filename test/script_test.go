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

// waitTimeout bounds every wait for a condition. It is no measure of speed.
const waitTimeout = 60 * time.Second

// overlayVariable names the environment variable with the overlay that a
// deliberately broken build is made with.
const overlayVariable = "GYP_OVERLAY"

// bin is the folder of the programs under test.
var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	if err := flag.Set("test.parallel", "2"); err != nil {
		panic(err)
	}
	flag.Parse()
	dir, err := os.MkdirTemp("", "gyptest")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin = dir
	args := []string{"build", "-o", bin + "/"}
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

type fleetKey struct{}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
			s := &scene{dir: env.WorkDir, marks: map[string]int{}}
			env.Values[fleetKey{}] = s
			env.Defer(s.close)
			return nil
		},
		Cmds: commands,
	})
}

// scene is one script's fleet and what its callers got.
type scene struct {
	dir    string
	fleet  *fleet.Fleet
	loads  []*running
	single callers
	marks  map[string]int // starts at targets
	steady *versions
}

func sceneOf(ts *testscript.TestScript) *scene {
	s, _ := ts.Value(fleetKey{}).(*scene)
	return s
}

func (s *scene) close() {
	if s.fleet != nil {
		s.fleet.Close()
	}
}

// within calls f with a context that ends after waitTimeout.
func (s *scene) within(ts *testscript.TestScript, f func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ts.Check(f(ctx))
}
