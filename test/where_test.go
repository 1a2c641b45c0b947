package test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// awaitPlacement implements "where PATTERN...", which waits until the output of gypctl where
// for the file job.json has a match of each regular expression, in which ^ and $ match at
// lines.
func awaitPlacement(ts *testscript.TestScript, _ bool, args []string) {
	s := platformScenarioOf(ts)
	var patterns []*regexp.Regexp
	for _, arg := range args {
		p, err := regexp.Compile("(?m)" + arg)
		ts.Check(err)
		patterns = append(patterns, p)
	}
	awaitCondition(ts, "gypctl where to show "+strings.Join(args, ", "), func() bool {
		text, err := runProgram("gypctl", "where", "-at", s.platform.MetricsAddr(1), "-host", "jobs.example", "-path", "/plan/1", filepath.Join(s.dir, "job.json"))
		for _, p := range patterns {
			if !p.MatchString(text) {
				return false
			}
		}
		return err == nil
	})
}

// Scripts must be able to tell a wrong query, an unknown route and an entry that can't answer
// apart by the exit code, and people by the text.
func TestWhereErrors(t *testing.T) {
	answer := func(status int, body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	closed := httptest.NewServer(nil)
	closed.Close()
	query := func(addr string) []string {
		return []string{"-at", addr, "-host", "h", "-path", "/p/1", "-"}
	}
	for _, tt := range []struct {
		name string
		args []string
		code int
		text string
	}{
		{"no flags", []string{"-"}, 2, "want -at IP:port"},
		{"no file", query("127.0.0.1:1")[:6], 2, "want one argument: the file with the job"},
		{"invalid address", query("nowhere"), 2, "invalid address nowhere"},
		{"invalid wait", append([]string{"-wait", "-1s"}, query("127.0.0.1:1")...), 2, "want a -wait of whole milliseconds"},
		{"unknown route", query(answer(404, `{"error":"no route"}`)), 4, "gypctl: no route"},
		{"bad job", query(answer(400, `{"error":"invalid job: no steps"}`)), 2, "gypctl: invalid job: no steps"},
		{"no configuration", query(answer(503, `{"error":"the entry has no configuration yet"}`)), 1, "no configuration yet"},
		{"process without queries", query(answer(404, "404 page not found\n")), 1, "only entries answer"},
		{"malformed answer", query(answer(200, "ok")), 1, "reading the answer"},
		{"no answer", query(strings.TrimPrefix(closed.URL, "http://")), 1, "the entry did not answer"},
	} {
		out, err := runProgram("gypctl", append([]string{"where"}, tt.args...)...)
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != tt.code || !strings.Contains(out, tt.text) {
			t.Errorf("%s: got %v %q, want exit code %d and %q", tt.name, err, out, tt.code, tt.text)
		}
	}
}
