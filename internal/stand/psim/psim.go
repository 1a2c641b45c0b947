package psim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/netem"
)

const (
	serviceName = "plan"
	routeHost   = "jobs.example"
	routePrefix = "/plan/"
	graceTime   = 6    // seconds between the signal to stop and the kill
	taskRoom    = 4000 // thousandths of a core at each target
	resendAfter = 1300 * time.Millisecond
	callTimeout = 10 * time.Second
	// statusTimeout is how long a process may take to tell its status.
	statusTimeout = time.Second
)

// Options describe a yard. Zero fields mean the defaults.
type Options struct {
	Entries int  // 0 means 2
	Nodes   int  // 0 means 4
	Proxies bool // lay a cable before each entry, target and way to the store
}

// Yard is a small platform with the dispatcher on it. Make one with New.
type Platform struct {
	Client http.Client

	dir     string
	program string
	ports   ports
	table   table
	judge   judge
	workers []*worker
	ctx     context.Context
	stop    context.CancelFunc
	servers []*http.Server

	mu     sync.Mutex
	procs  map[string]*fleet.Proc
	args   map[string][]string
	cables map[string]*netem.Proxy // by "front e1", "target n1", "store e1"
}

// ports are those that all processes have alike, each at its own address.
type ports struct{ front, ready, control, internal, app, store, metrics int }

// New starts the platform's parts and all processes of the program, whose files
// go to dir.
func New(dir, program string, o Options) (*Platform, error) {
	if o.Entries == 0 {
		o.Entries = 2
	}
	if o.Nodes == 0 {
		o.Nodes = 4
	}
	y := &Platform{dir: dir, program: program, procs: map[string]*fleet.Proc{}, args: map[string][]string{}, cables: map[string]*netem.Proxy{}}
	y.ctx, y.stop = context.WithCancel(context.Background())
	y.ports = ports{
		front: fleet.FreePort(), ready: fleet.FreePort(), control: fleet.FreePort(),
		internal: fleet.FreePort(), app: fleet.FreePort(), store: fleet.FreePort(), metrics: fleet.FreePort(),
	}
	if err := y.serve(fmt.Sprintf("127.0.0.1:%d", y.ports.store), &y.table); err != nil {
		return nil, err
	}
	y.WriteConfig(1)
	for i := range o.Entries {
		if err := y.prepare(fmt.Sprintf("e%d", i+1), "entry", i+1, o); err != nil {
			return nil, err
		}
	}
	for i := range o.Nodes {
		if err := y.prepare(fmt.Sprintf("n%d", i+1), "node", i+101, o); err != nil {
			return nil, err
		}
		if err := y.addWorker(fmt.Sprintf("n%d", i+1), i+101, o); err != nil {
			return nil, err
		}
	}
	return y, nil
}

// lay returns the address by which to is reached: a cable's, if there is to be one.
func (y *Platform) lay(name, to string, o Options) (string, error) {
	if !o.Proxies {
		return to, nil
	}
	c, err := netem.NewProxy(to)
	if err != nil {
		return "", err
	}
	y.cables[name] = c
	return c.Addr(), nil
}

// Cable returns the cable "front e1", "target n1" or "store e1", or nil.
func (y *Platform) Proxy(name string) *netem.Proxy { return y.cables[name] }

func address(host, port int) string { return fmt.Sprintf("127.0.1.%d:%d", host, port) }

// prepare writes a process's settings and starts it.
func (y *Platform) prepare(name, role string, host int, o Options) error {
	store, err := y.lay("store "+name, fmt.Sprintf("127.0.0.1:%d", y.ports.store), o)
	if err != nil {
		return err
	}
	if role == "entry" {
		if _, err := y.lay("front "+name, address(host, y.ports.front), o); err != nil {
			return err
		}
	}
	text := fmt.Sprintf(`node-name = %q
ip = "127.0.1.%d"
zone = "z"
internal-ports = [%d, %d]
seeds = [%q]
app = %q
service = %q
[listen]
front = %q
ready = %q
control = %q
[limits]
memory-mb = 200
[bounds]
grace-s = %d
[platform]
address = %q
`, name, host, y.ports.internal, y.ports.internal, address(1, y.ports.control), address(host, y.ports.app), serviceName,
		address(host, y.ports.front), address(host, y.ports.ready), address(host, y.ports.control), graceTime, store)
	path := filepath.Join(y.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	y.args[name] = []string{role, "-settings", path, "-metrics", strconv.Itoa(y.ports.metrics)}
	return y.Launch(name)
}

// Launch starts a process that is not running.
func (y *Platform) Launch(name string) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	p, err := fleet.StartProc(y.dir, name, y.program, y.args[name]...)
	if err != nil {
		return err
	}
	y.procs[name] = p
	return nil
}

// Kill kills a process.
func (y *Platform) Kill(name string) { y.proc(name).Kill() }

// Signal sends a signal to a process.
func (y *Platform) Signal(name string, sig syscall.Signal) error { return y.proc(name).Signal(sig) }

// Stop tells a process to stop and waits for its end.
func (y *Platform) Stop(name string) error { return y.proc(name).Stop() }

func (y *Platform) proc(name string) *fleet.Proc {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.procs[name]
}

// Close ends all processes and servers.
func (y *Platform) Close() {
	y.stop()
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, p := range y.procs {
		_ = p.Signal(syscall.SIGCONT)
		p.Kill()
	}
	for _, c := range y.cables {
		c.Close()
	}
	for _, srv := range y.servers {
		_ = srv.Close()
	}
}

func (y *Platform) serve(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h}
	y.servers = append(y.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return nil
}

func (y *Platform) addWorker(node string, host int, o Options) error {
	listen := address(host, y.ports.app)
	addr, err := y.lay("target "+node, listen, o)
	if err != nil {
		return err
	}
	w := &worker{addr: addr, control: address(host, y.ports.control), room: taskRoom, judge: &y.judge}
	w.reborn()
	y.workers = append(y.workers, w)
	if err := y.serve(listen, w); err != nil {
		return err
	}
	go w.run(y.ctx)
	go func() {
		client := &http.Client{Timeout: beatEvery}
		for y.ctx.Err() == nil {
			w.beat(client)
			time.Sleep(beatEvery)
		}
	}()
	return nil
}

// Configure writes a version of the operator's configuration. Odd versions have
// a second route.
func (y *Platform) WriteConfig(version int) {
	routes := []map[string]any{route("plan", routePrefix)}
	if version%2 == 1 {
		routes = append(routes, route("extra", "/extra/"))
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes, "limits": map[string]int{"max-body-bytes": 65536}})
	if err != nil {
		panic(err)
	}
	y.table.put(row{Table: "op", Key: "config", Value: value})
}

func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": prefix, "service": serviceName,
		"attempts": 2, "stretch": 1.6, "slo-ms": 60,
	}
}

// Table takes the table store down or up.
func (y *Platform) SetStoreDown(down bool) { y.table.setDown(down) }

// Manner is how a target behaves.
type Behaviour struct {
	UnansweredShare float64 // share of orders that it leaves without an answer
	FailTasks       bool    // all that it runs fails
	Draining        bool    // it says that it leaves
}

// Worker changes how a target behaves.
func (y *Platform) SetBehaviour(i int, m Behaviour) {
	w := y.workers[i-1]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose, w.fail, w.leaving = m.UnansweredShare, m.FailTasks, m.Draining
}

// InForce returns an entry's life and the version of the configuration that it
// says is in force, and whether it answers.
func (y *Platform) ConfigVersion(entry int) (life string, version int64, ok bool) {
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Get("http://" + y.MetricsAddr(entry) + "/status")
	if err != nil {
		return "", 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var doc struct {
		Life  string `json:"life"`
		Entry struct {
			Version int64 `json:"version"`
		} `json:"entry"`
	}
	err = json.NewDecoder(resp.Body).Decode(&doc)
	return doc.Life, doc.Entry.Version, err == nil
}

// Crash has a target lose all that it runs and start a new life.
func (y *Platform) CrashTarget(i int) { y.workers[i-1].reborn() }

// Status returns the status of a request to an entry, or 0 without an answer.
func (y *Platform) RequestStatus(entry int, path string) int {
	code, _ := y.ask(entry, http.MethodGet, path, nil)
	return code
}

// Ready tells whether an entry says that it is ready.
func (y *Platform) EntryReady(entry int) bool {
	resp, err := y.Client.Get("http://" + address(entry, y.ports.ready) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Job submits a job as callers do, again after a broken try, and judges the
// answer.
func (y *Platform) SubmitJob(id string, entries, tasks, ms, cpu int) string {
	text, err := json.Marshal(spec{MS: ms, CPU: cpu})
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{
		"spec": string(text), "best-effort": true,
		"steps": []map[string]any{{"count": tasks, "cpu": cpu, "mem-mb": 1, "estimate-ms": ms}},
	})
	if err != nil {
		panic(err)
	}
	state := "unknown"
	tries := 0
	for try := 0; try < 4 && state == "unknown"; try++ {
		if try > 0 {
			time.Sleep(resendAfter)
		}
		tries++
		entry := 1 + (int(id[len(id)-1])+try)%entries
		code, answer := y.ask(entry, http.MethodPost, routePrefix+id, body)
		state = outcome(code, answer)
	}
	y.judge.answered(id, state, tasks, tries > 1)
	return state
}

func outcome(code int, answer []byte) string {
	var a struct {
		State string `json:"state"`
	}
	switch {
	case code == http.StatusOK && json.Unmarshal(answer, &a) == nil:
		return a.State
	case code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests:
		return "refused"
	}
	return "unknown"
}

func (y *Platform) ask(entry int, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(y.ctx, callTimeout)
	defer cancel()
	at := address(entry, y.ports.front)
	if c := y.cables["front e"+strconv.Itoa(entry)]; c != nil {
		at = c.Addr()
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = routeHost
	resp, err := y.Client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// Clock has a target's clock run at a rate.
func (y *Platform) SetClockRate(i int, rate float64) {
	w := y.workers[i-1]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate = rate
}
