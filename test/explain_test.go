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

func command(name string, args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(bin, name), args...).CombinedOutput()
	return string(out), err
}

// lacks returns the first of words that text does not have, or nothing.
func lacks(text string, words []string) string {
	for _, word := range words {
		if !strings.Contains(text, word) {
			return word
		}
	}
	return ""
}

// yardExplain: explain done|failed|refused|again WORD... has gypctl explain the
// jobs whose callers got that from the logs of all processes, and checks that
// the story of one has all words.
func yardExplain(ts *testscript.TestScript, _ bool, args []string) {
	s := yardOf(ts)
	jobs := s.yard.JobIDs(args[0])
	if len(jobs) == 0 {
		ts.Fatalf("no job was %s", args[0])
	}
	logs, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	ts.Check(err)
	awaitYard(ts, "a story with "+strings.Join(args[1:], ", "), func() bool {
		return slices.ContainsFunc(jobs, func(job string) bool {
			text, err := command("gypctl", append([]string{"explain", job}, logs...)...)
			return err == nil && lacks(text, args[1:]) == ""
		})
	})
}

// yardFleet: fleet WORD... waits until what gypctl shows of all processes has
// all words.
func yardFleet(ts *testscript.TestScript, _ bool, args []string) {
	at := yardOf(ts).yard.MetricsAddr(1)
	awaitYard(ts, "gypctl fleet to show "+strings.Join(args, ", "), func() bool {
		text, err := command("gypctl", "fleet", "-at", at)
		return err == nil && lacks(text, args) == ""
	})
}

// yardCounter: counter NAME checks that the first entry has counted something
// under a name, and shows a counter for each reason.
func yardCounter(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Get("http://" + yardOf(ts).yard.MetricsAddr(1) + stats.TextPath)
	ts.Check(err)
	text, err := io.ReadAll(resp.Body)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	shown := "\n" + string(text)
	for _, name := range cause.EntryCounters() {
		if !strings.Contains(shown, "\n"+name+" ") {
			ts.Fatalf("no %s in:%s", name, shown)
		}
	}
	if !regexp.MustCompile(`\n` + regexp.QuoteMeta(args[0]) + ` [1-9]`).MatchString(shown) {
		ts.Fatalf("nothing was counted as %s", args[0])
	}
}

// Settings that are wrong are named all at once, and nothing starts.
func TestCheckSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(`ip = "x"`), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := command("gypsumlanding", "entry", "-settings", path, "-check")
	for _, name := range []string{"node-name", "ip", "internal-ports", "platform.address", "listen.front", "listen.ready"} {
		if err == nil || !strings.Contains(out, name) {
			t.Errorf("%q does not name %s", out, name)
		}
	}
	if out, err := command("gypsumlanding", "boss"); err == nil || !strings.Contains(out, "usage") {
		t.Errorf("got %q", out)
	}
}
