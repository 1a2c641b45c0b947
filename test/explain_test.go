package test

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/gypsumlanding/gypsumlanding/internal/daem/stats"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/cause"
	"github.com/rogpeppe/go-internal/testscript"
)

// runProgram runs one of the programs under test and returns its standard output and
// standard error together.
func runProgram(name string, args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(binDir, name), args...).CombinedOutput()
	return string(out), err
}

// firstMissing returns the first of words that text does not contain, or the empty
// string.
func firstMissing(text string, words []string) string {
	for _, word := range words {
		if !strings.Contains(text, word) {
			return word
		}
	}
	return ""
}

// checkPlatformExplanation implements "explain done|failed|refused|again WORD...". It runs
// gypctl explain, on the logs of all processes, for the jobs with that outcome, and waits
// until the output for one of them contains all words.
func checkPlatformExplanation(ts *testscript.TestScript, _ bool, args []string) {
	s := platformScenarioOf(ts)
	jobs := s.platform.JobIDs(args[0])
	if len(jobs) == 0 {
		ts.Fatalf("no job has the outcome %s", args[0])
	}
	logs, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	ts.Check(err)
	awaitCondition(ts, "an explanation with "+strings.Join(args[1:], ", "), func() bool {
		return slices.ContainsFunc(jobs, func(job string) bool {
			text, err := runProgram("gypctl", append([]string{"explain", job}, logs...)...)
			return err == nil && firstMissing(text, args[1:]) == ""
		})
	})
}

// awaitPlatformFleet implements "fleet WORD...", which waits until the output of gypctl fleet
// contains all words.
func awaitPlatformFleet(ts *testscript.TestScript, _ bool, args []string) {
	metricsAddr := platformScenarioOf(ts).platform.MetricsAddr(1)
	awaitCondition(ts, "gypctl fleet to show "+strings.Join(args, ", "), func() bool {
		text, err := runProgram("gypctl", "fleet", "-at", metricsAddr)
		return err == nil && firstMissing(text, args) == ""
	})
}

// checkPlatformCounter implements "counter NAME", which checks that the named counter of the
// first entry is not 0, and that the entry's metrics have a counter for each reason.
func checkPlatformCounter(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Get("http://" + platformScenarioOf(ts).platform.MetricsAddr(1) + stats.TextPath)
	ts.Check(err)
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	metrics := "\n" + string(text)
	for _, name := range cause.EntryCounters() {
		if !strings.Contains(metrics, "\n"+name+" ") {
			ts.Fatalf("the metrics have no counter %s:%s", name, metrics)
		}
	}
	if !regexp.MustCompile(`\n` + regexp.QuoteMeta(args[0]) + ` [1-9]`).MatchString(metrics) {
		ts.Fatalf("the counter %s is 0", args[0])
	}
}

// TestCheckSettings checks that gypsumlanding -check names all invalid settings at once
// and fails, and that an unknown role gets the usage text.
func TestCheckSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(`ip = "x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := runProgram("gypsumlanding", "entry", "-settings", path, "-check")
	for _, name := range []string{"node-name", "ip", "internal-ports", "platform.address", "listen.front", "listen.ready"} {
		if err == nil || !strings.Contains(out, name) {
			t.Errorf("-check succeeded, or its output %q does not name %s", out, name)
		}
	}
	if out, err := runProgram("gypsumlanding", "boss"); err == nil || !strings.Contains(out, "usage") {
		t.Errorf("an unknown role succeeded, or its output %q is not the usage", out)
	}
}
