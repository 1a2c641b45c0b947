package test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/netem"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
	"github.com/rogpeppe/go-internal/testscript"
)

// fleetCommands are the commands that the scripts of TestScenarios have beside the
// built-in ones of testscript, by name.
var fleetCommands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"fleet":       startFleet,
	"sigkill":     forEachProcess(killProcess),
	"freeze":      forEachProcess(func(s *scenario, name string) error { return s.signal(name, syscall.SIGSTOP) }),
	"thaw":        forEachProcess(func(s *scenario, name string) error { return s.signal(name, syscall.SIGCONT) }),
	"term":        forEachProcess(stopProcess),
	"launch":      forEachProcess(func(s *scenario, name string) error { return s.fleet.Launch(name) }),
	"cut":         forEachProcess(func(s *scenario, name string) error { return s.setProxyMode(name, netem.Blackhole) }),
	"dropreplies": forEachProcess(func(s *scenario, name string) error { return s.setProxyMode(name, netem.DropReplies) }),
	"heal":        forEachProcess(func(s *scenario, name string) error { return s.setProxyMode(name, netem.Forward) }),
	"break":       forEachProcess(closeProxyConnections),
	"store":       setStoreFault,
	"mode":        setTargetMode,
	"await":       await,
	"load":        startLoad,
	"during":      awaitStarts,
	"settle":      awaitLoads,
	"submit":      submitJob,
	"judge":       checkOutcomes,
	"mark":        markStarts,
	"nomore":      expectNoStarts,
	"steady":      checkVersions,
	"quiet":       checkLogs,
}

// parseOptions returns the values of arguments of the form name=value, by name. It
// fails the script at an argument of another form.
func parseOptions(ts *testscript.TestScript, args []string) map[string]string {
	opts := map[string]string{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok {
			ts.Fatalf("want name=value, not %q", arg)
		}
		opts[name] = value
	}
	return opts
}

// numberOption returns the named option as a number, or the default value if it is
// not set.
func numberOption(ts *testscript.TestScript, opts map[string]string, name string, defaultValue float64) float64 {
	text, ok := opts[name]
	if !ok {
		return defaultValue
	}
	n, err := strconv.ParseFloat(text, 64)
	ts.Check(err)
	return n
}

// startFleet implements "fleet entries=2 nodes=4 slots=8 shards=64 proxies=1
// horizon=MS". It starts all processes, puts the catalogue entry "plan", and sets the
// variables GYP_ENTRY, to the address of entry e1, and E1, N1 and so on, to the address
// of the process of that name.
func startFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	opts := parseOptions(ts, args)
	o := fleet.Options{
		Entries: int(numberOption(ts, opts, "entries", 2)),
		Nodes:   int(numberOption(ts, opts, "nodes", 4)),
		Slots:   int(numberOption(ts, opts, "slots", 8)),
		Shards:  int(numberOption(ts, opts, "shards", 64)),
		Proxies: opts["proxies"] != "",
	}
	if horizon, ok := opts["horizon"]; ok {
		o.NodeArgs = append(o.NodeArgs, "-horizon", horizon)
	}
	s.fleet = fleet.New(binDir, s.dir, o)
	s.withTimeout(ts, func(ctx context.Context) error {
		if err := s.fleet.Start(ctx); err != nil {
			return err
		}
		return s.fleet.PutPlan(ctx)
	})
	ts.Setenv("GYP_ENTRY", s.fleet.Addr("e1.http"))
	for _, name := range s.fleet.ProcNames("") {
		ts.Setenv(strings.ToUpper(name), s.fleet.Addr(name+".http"))
	}
}

// forEachProcess returns a command that calls f for each process named in its arguments,
// and fails at the first error.
func forEachProcess(f func(s *scenario, name string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(f(scenarioOf(ts), name))
		}
	}
}

// signal sends a signal to a running process.
func (s *scenario) signal(name string, sig syscall.Signal) error {
	p, ok := s.fleet.Proc(name)
	if !ok {
		return fmt.Errorf("%s is not running", name)
	}
	return p.Signal(sig)
}

// killProcess implements "sigkill" for one process. The starts that a target has
// received are saved first, as checkOutcomes needs them.
func killProcess(s *scenario, name string) error {
	p, ok := s.fleet.Proc(name)
	if !ok {
		return fmt.Errorf("%s is not running", name)
	}
	if strings.HasPrefix(name, "t") {
		s.fleet.SaveReport(name)
	}
	p.Kill()
	s.fleet.Remove(name)
	return nil
}

// stopProcess implements "term" for one process: it asks the process to stop, waits for
// its end, and returns an error unless it ends with exit code 0.
func stopProcess(s *scenario, name string) error {
	p, ok := s.fleet.Proc(name)
	if !ok {
		return fmt.Errorf("%s is not running", name)
	}
	if err := p.Stop(); err != nil {
		return err
	}
	s.fleet.Remove(name)
	return nil
}

// setProxyMode sets how the proxy in front of a node or entry passes data on.
func (s *scenario) setProxyMode(name string, mode netem.Mode) error {
	c, err := s.fleet.Proxy(name)
	if err == nil {
		c.SetMode(mode)
	}
	return err
}

// closeProxyConnections implements "break" for one node or entry: it closes all connections to the
// process once. New connections work.
func closeProxyConnections(s *scenario, name string) error {
	c, err := s.fleet.Proxy(name)
	if err == nil {
		c.CloseConnections()
	}
	return err
}

// setStoreFault implements "store MODE delay=MS left=N skew=MS", which changes how the
// stand-in of the table service answers.
func setStoreFault(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	opts := parseOptions(ts, args[1:])
	fault := map[string]any{
		"mode": args[0], "delay": numberOption(ts, opts, "delay", 0), "left": numberOption(ts, opts, "left", 0),
		"skew": numberOption(ts, opts, "skew", 0),
	}
	s.withTimeout(ts, func(ctx context.Context) error {
		return s.fleet.Send(ctx, http.MethodPost, "store.http", "/fault", fault, nil)
	})
}

// setTargetMode implements "mode t1 MODE leaving=1", which changes how the target answers
// and whether it announces that it is leaving.
func setTargetMode(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	opts := parseOptions(ts, args[2:])
	doc := map[string]any{"mode": args[1], "leaving": opts["leaving"] != ""}
	s.withTimeout(ts, func(ctx context.Context) error {
		return s.fleet.Send(ctx, http.MethodPost, args[0]+".http", "/mode", doc, nil)
	})
}

// await waits for at most waitTimeout until a condition holds:
//
//	await nodes N        every entry has exactly N nodes, all with a target
//	await catalogue V    every process has version V of the catalogue
//	await removed n1     no entry has the node in its roster
//	await stale          no entry has a confirmed roster
//	await leaving n1     every entry has the node as leaving
//	await listening n1   the process answers requests for its status
//	await noslots n1     every entry has the node with no slots
//	await quiet t1       the target runs no task
//	await started t1     the target runs a task
func await(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	s.withTimeout(ts, func(ctx context.Context) error {
		switch args[0] {
		case "nodes":
			n, err := strconv.Atoi(args[1])
			ts.Check(err)
			return s.fleet.AwaitNodes(ctx, n)
		case "catalogue":
			v, err := strconv.ParseUint(args[1], 10, 64)
			ts.Check(err)
			return s.fleet.AwaitCatalogue(ctx, v)
		case "removed":
			return s.awaitEntries(ctx, func(st fleet.EntryStatus) bool {
				return !slices.ContainsFunc(st.Nodes, func(n fleet.Node) bool { return n.ID == args[1] })
			})
		case "stale":
			return s.awaitEntries(ctx, func(st fleet.EntryStatus) bool { return !st.Fresh })
		case "leaving":
			return s.awaitEntries(ctx, func(st fleet.EntryStatus) bool {
				return slices.ContainsFunc(st.Nodes, func(n fleet.Node) bool { return n.ID == args[1] && n.Leaving })
			})
		case "listening":
			return fleet.Await(ctx, args[1]+" listens", func() bool {
				return s.fleet.Get(ctx, args[1]+".http", "/v1/status", nil) == nil
			})
		case "noslots":
			return s.awaitEntries(ctx, func(st fleet.EntryStatus) bool {
				return slices.ContainsFunc(st.Nodes, func(n fleet.Node) bool { return n.ID == args[1] && n.Slots == 0 })
			})
		case "quiet":
			return fleet.Await(ctx, args[1]+" runs no task", func() bool {
				var r targ.Report
				return s.fleet.Get(ctx, args[1]+".http", "/starts", &r) == nil && r.Active == 0
			})
		case "started":
			return fleet.Await(ctx, args[1]+" runs a task", func() bool {
				var r targ.Report
				return s.fleet.Get(ctx, args[1]+".http", "/starts", &r) == nil && r.Active > 0
			})
		}
		return fmt.Errorf("unknown condition %q", args[0])
	})
}

// awaitEntries waits until ok returns true for the status of each running entry, or until
// the context expires.
func (s *scenario) awaitEntries(ctx context.Context, ok func(fleet.EntryStatus) bool) error {
	return fleet.Await(ctx, "all entries agree", func() bool {
		for _, name := range s.fleet.ProcNames("e") {
			var st fleet.EntryStatus
			if s.fleet.Get(ctx, name+".http", "/v1/status", &st) != nil || !ok(st) {
				return false
			}
		}
		return true
	})
}

// markStarts implements "mark t1", which records how many starts the target has received.
func markStarts(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	s.markedStarts[args[0]] = s.startCount(ts, args[0])
}

// expectNoStarts implements "nomore t1", which fails if the target has received a start
// since "mark t1".
func expectNoStarts(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	if n := s.startCount(ts, args[0]); n != s.markedStarts[args[0]] {
		ts.Fatalf("%s received %d starts, %d of them after the mark", args[0], n, n-s.markedStarts[args[0]])
	}
}

// startCount returns how many starts a target has received.
func (s *scenario) startCount(ts *testscript.TestScript, name string) int {
	var r targ.Report
	s.withTimeout(ts, func(ctx context.Context) error { return s.fleet.Get(ctx, name+".http", "/starts", &r) })
	return len(r.Starts)
}

// checkVersions implements "steady start" and "steady stop". The latter fails if, between
// the two, a process has reported an older epoch or catalogue than it had before.
func checkVersions(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	if args[0] == "start" {
		s.versionWatch = watchVersions(s.fleet)
		return
	}
	if regression := s.versionWatch.stop(); regression != "" {
		ts.Fatalf("%s", regression)
	}
}

// checkLogs implements "quiet", which fails if a process has logged a data race or a
// panic.
func checkLogs(ts *testscript.TestScript, _ bool, _ []string) {
	logs, err := filepath.Glob(filepath.Join(scenarioOf(ts).dir, "*.log"))
	ts.Check(err)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		ts.Check(err)
		for _, marker := range []string{"DATA RACE", "panic:"} {
			if strings.Contains(string(text), marker) {
				ts.Fatalf("%s contains %q:\n%s", filepath.Base(path), marker, text)
			}
		}
	}
}
