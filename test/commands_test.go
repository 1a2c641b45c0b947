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

// commands are the words that scripts use beside testscript's own.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"fleet":   startFleet,
	"sigkill": each(killProc),
	"freeze":  each(func(s *scene, name string) error { return s.signal(name, syscall.SIGSTOP) }),
	"thaw":    each(func(s *scene, name string) error { return s.signal(name, syscall.SIGCONT) }),
	"term":    each(stopProc),
	"launch":  each(func(s *scene, name string) error { return s.fleet.Launch(name) }),
	"cut":     each(func(s *scene, name string) error { return s.cable(name, netem.Blackhole) }),
	"deafen":  each(func(s *scene, name string) error { return s.cable(name, netem.DropReplies) }),
	"heal":    each(func(s *scene, name string) error { return s.cable(name, netem.Forward) }),
	"break":   each(breakCable),
	"store":   setStore,
	"mode":    setMode,
	"await":   await,
	"load":    startLoad,
	"during":  duringLoad,
	"settle":  settle,
	"submit":  submit,
	"judge":   judge,
	"mark":    mark,
	"nomore":  noMore,
	"steady":  steady,
	"quiet":   quiet,
}

// options reads arguments of the form name=value.
func options(ts *testscript.TestScript, args []string) map[string]string {
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

func number(ts *testscript.TestScript, opts map[string]string, name string, def float64) float64 {
	text, ok := opts[name]
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(text, 64)
	ts.Check(err)
	return n
}

// startFleet is "fleet entries=2 nodes=4 slots=8 cables=1 horizon=MS": it starts
// all processes and puts the entry "plan".
func startFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	opts := options(ts, args)
	o := fleet.Options{
		Entries: int(number(ts, opts, "entries", 2)),
		Nodes:   int(number(ts, opts, "nodes", 4)),
		Slots:   int(number(ts, opts, "slots", 8)),
		Shards:  int(number(ts, opts, "shards", 64)),
		Proxies: opts["cables"] != "",
	}
	if horizon, ok := opts["horizon"]; ok {
		o.NodeArgs = append(o.NodeArgs, "-horizon", horizon)
	}
	s.fleet = fleet.New(bin, s.dir, o)
	s.within(ts, func(ctx context.Context) error {
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

// each makes a command that does f to each process named.
func each(f func(s *scene, name string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			ts.Check(f(sceneOf(ts), name))
		}
	}
}

func (s *scene) signal(name string, sig syscall.Signal) error {
	p, ok := s.fleet.Proc(name)
	if !ok {
		return fmt.Errorf("%s does not run", name)
	}
	return p.Signal(sig)
}

func killProc(s *scene, name string) error {
	p, ok := s.fleet.Proc(name)
	if !ok {
		return fmt.Errorf("%s does not run", name)
	}
	if strings.HasPrefix(name, "t") {
		s.fleet.SaveReport(name)
	}
	p.Kill()
	s.fleet.Remove(name)
	return nil
}

// stopProc tells a process to stop and wants it to end well.
func stopProc(s *scene, name string) error {
	p, ok := s.fleet.Proc(name)
	if !ok {
		return fmt.Errorf("%s does not run", name)
	}
	if err := p.Stop(); err != nil {
		return err
	}
	s.fleet.Remove(name)
	return nil
}

func (s *scene) cable(name string, m netem.Mode) error {
	c, err := s.fleet.Proxy(name)
	if err == nil {
		c.SetMode(m)
	}
	return err
}

func breakCable(s *scene, name string) error {
	c, err := s.fleet.Proxy(name)
	if err == nil {
		c.CloseConnections()
	}
	return err
}

// setStore is "store MODE delay=MS left=N skew=MS".
func setStore(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	opts := options(ts, args[1:])
	fault := map[string]any{
		"mode": args[0], "delay": number(ts, opts, "delay", 0), "left": number(ts, opts, "left", 0),
		"skew": number(ts, opts, "skew", 0),
	}
	s.within(ts, func(ctx context.Context) error {
		return s.fleet.Send(ctx, http.MethodPost, "store.http", "/fault", fault, nil)
	})
}

// setMode is "mode t1 MODE leaving=1".
func setMode(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	opts := options(ts, args[2:])
	doc := map[string]any{"mode": args[1], "leaving": opts["leaving"] != ""}
	s.within(ts, func(ctx context.Context) error {
		return s.fleet.Send(ctx, http.MethodPost, args[0]+".http", "/mode", doc, nil)
	})
}

// await is "await nodes N", "await catalogue V", "await removed n1" or
// "await idle t1".
func await(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	s.within(ts, func(ctx context.Context) error {
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
		return fmt.Errorf("nothing to await called %q", args[0])
	})
}

func (s *scene) awaitEntries(ctx context.Context, ok func(fleet.EntryStatus) bool) error {
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

// mark is "mark t1": it remembers how many starts the target saw.
func mark(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	s.marks[args[0]] = s.startsAt(ts, args[0])
}

// noMore is "nomore t1": it wants no start at the target since mark.
func noMore(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	if n := s.startsAt(ts, args[0]); n != s.marks[args[0]] {
		ts.Fatalf("%s saw %d starts, %d of them since it was marked", args[0], n, n-s.marks[args[0]])
	}
}

func (s *scene) startsAt(ts *testscript.TestScript, name string) int {
	var r targ.Report
	s.within(ts, func(ctx context.Context) error { return s.fleet.Get(ctx, name+".http", "/starts", &r) })
	return len(r.Starts)
}

// steady is "steady start" and "steady stop": between the two it wants no
// running process to show an older epoch or catalogue than it showed before.
func steady(ts *testscript.TestScript, _ bool, args []string) {
	s := sceneOf(ts)
	if args[0] == "start" {
		s.steady = watchVersions(s.fleet)
		return
	}
	if fault := s.steady.stop(); fault != "" {
		ts.Fatalf("%s", fault)
	}
}

// quiet wants no process to have reported a data race or a panic.
func quiet(ts *testscript.TestScript, _ bool, _ []string) {
	logs, err := filepath.Glob(filepath.Join(sceneOf(ts).dir, "*.log"))
	ts.Check(err)
	for _, path := range logs {
		text, err := os.ReadFile(path)
		ts.Check(err)
		for _, word := range []string{"DATA RACE", "panic:"} {
			if strings.Contains(string(text), word) {
				ts.Fatalf("%s has %q:\n%s", filepath.Base(path), word, text)
			}
		}
	}
}
