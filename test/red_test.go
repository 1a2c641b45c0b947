package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// redModule is a module with tests that fail. One has a subtest with a comma in its name
// and a name that begins like that of another.
const redModule = `package red

import (
	"os"
	"testing"
)

func TestSound(*testing.T) { _ = os.Mkdir("sound", 0o700) }

func TestRed(t *testing.T) { t.Error("red") }

func TestRedder(t *testing.T) {
	t.Run("held up, twice", func(t *testing.T) { t.Error("red") })
	t.Run("held up", func(*testing.T) { _ = os.Mkdir("subtest", 0o700) })
}
`

// newRedModule writes redModule, and a file that lists the given tests of it, and returns
// the folder of the module and the path of the file.
func newRedModule(t *testing.T, listed ...string) (dir, list string) {
	t.Helper()
	dir = t.TempDir()
	list = filepath.Join(dir, "red.txt")
	lines := "# A comment.\ntest elsewhere TestSound\n"
	for _, name := range listed {
		lines += "test " + dir + " " + name + "\n  what was seen\n"
	}
	for path, text := range map[string]string{
		filepath.Join(dir, "go.mod"): "module red\n\ngo 1.26\n", filepath.Join(dir, "red_test.go"): redModule, list: lines,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir, list
}

// makeTest runs the tests of a module as the CI script does and returns the output.
func makeTest(dir, list string) (string, error) {
	cmd := exec.Command("make", "test", "MODULES="+dir, "RED="+list)
	cmd.Dir = ".."
	cmd.Env = append(os.Environ(), "GOWORK=off")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// A listed test made the CI script end with a syntax error of the shell, and a listed
// subtest was not passed over.
func TestListedTestsArePassedOver(t *testing.T) {
	dir, list := newRedModule(t, "TestRed", "TestRedder/held_up,_twice")
	out, err := makeTest(dir, list)
	if err != nil {
		t.Errorf("got %v:\n%s", err, out)
	}
	for _, made := range []string{"sound", "subtest"} {
		if _, err := os.Stat(filepath.Join(dir, made)); err != nil {
			t.Errorf("a test that is not listed was passed over: %v", err)
		}
	}
}

// Passing over a test must not pass over another one whose name begins alike.
func TestOnlyListedTestsArePassedOver(t *testing.T) {
	dir, list := newRedModule(t, "TestRed")
	out, err := makeTest(dir, list)
	if err == nil || !strings.Contains(out, "TestRedder/held_up,_twice") || strings.Contains(out, "FAIL: TestRed ") {
		t.Errorf("got %v:\n%s", err, out)
	}
}

// An entry for a test that doesn't exist, as after a change of its name, is a fault.
func TestListedTestMustExist(t *testing.T) {
	dir, list := newRedModule(t, "TestRed", "TestGone")
	if out, err := makeTest(dir, list); err == nil || !strings.Contains(out, "0 test functions TestGone") {
		t.Errorf("got %v:\n%s", err, out)
	}
}
