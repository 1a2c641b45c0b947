package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
	prefix      = "/lohu930/"
	otherPrefix = "/pule252/"
	graceTime   = 6 * time.Second // grace-s
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is a program of the deploy file on a machine.
type process struct {
	name, role, settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is a small deployment on loopback addresses, each machine with one of its own.
type cluster struct {
	root, dir string
	rec       *recorder
	store     *store
	fronts    []*process
	sides     []*process
	workers   []*worker
	net       string // first three bytes of all addresses
	port      map[string]int
	cancel    context.CancelFunc
	ctx       context.Context
}

// newCluster starts the store, the programs and the workers. Worker i has the capacity and labels
// that kind returns.
func newCluster(root string, rec *recorder, fronts, sides, routeTimeoutMS int, kind func(i int) (cpu int, labels []string)) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, dir: dir, rec: rec, store: newStore()}
	current = c
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if err := c.choosePorts(1 + fronts + sides); err != nil {
		return c, err
	}
	storeAddr := c.addr(1, "store")
	ln, err := net.Listen("tcp", storeAddr)
	if err != nil {
		return c, err
	}
	go func() { _ = (&http.Server{Handler: c.store}).Serve(ln) }()
	c.writeManifest(7, routeTimeoutMS, true)
	for i := range fronts {
		host := 2 + i
		p := &process{name: fmt.Sprintf("front-%d", i+1), role: "entry"}
		if err := c.writeSettings(p, host, "front", fronts); err != nil {
			return c, err
		}
		if err := c.start(p); err != nil {
			return c, err
		}
		c.fronts = append(c.fronts, p)
		go c.checkReady(i)
	}
	for i := range sides {
		host := 2 + fronts + i
		p := &process{name: fmt.Sprintf("side-%d", i+1), role: "node"}
		if err := c.writeSettings(p, host, "side", fronts); err != nil {
			return c, err
		}
		if err := c.start(p); err != nil {
			return c, err
		}
		c.sides = append(c.sides, p)
		w := &worker{name: fmt.Sprintf("w%d", i+1), appAddr: c.addr(host, "app"), controlAddr: c.addr(host, "control"), zone: zone(i), rec: rec}
		c.workers = append(c.workers, w)
		cpu, labels := kind(i)
		if err := w.boot(newWorkerID(), cpu, labels...); err != nil {
			return c, err
		}
	}
	return c, nil
}

func zone(i int) string { return [...]string{"graz-nord", "graz-sued", "leoben"}[i%3] }

// choosePorts chooses a part of the loopback network and ports that are free on all its machines.
func (c *cluster) choosePorts(machines int) error {
	names := []string{"store", "front", "ready", "control", "app", "internal"}
	for range 50 {
		c.net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		c.port = map[string]int{}
		base := 10240 + rand.IntN(20000)
		for i, name := range names {
			c.port[name] = base + i
		}
		if c.allFree(machines) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (c *cluster) allFree(machines int) bool {
	for host := 1; host <= machines; host++ {
		for name := range c.port {
			ln, err := net.Listen("tcp", c.addr(host, name))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (c *cluster) ip(host int) string { return c.net + "." + strconv.Itoa(host) }

func (c *cluster) addr(host int, name string) string {
	return net.JoinHostPort(c.ip(host), strconv.Itoa(c.port[name]))
}

func (c *cluster) frontAddr(i int) string { return c.addr(2+i, "front") }

// writeManifest writes a version of the manifest, with two queues or without the one at prefix.
func (c *cluster) writeManifest(version, timeoutMS int, both bool) {
	var routes []any
	for name, p := range map[string]string{"r-3hwrr6x": prefix, "r-9n73hh2": otherPrefix} {
		if both || p != prefix {
			routes = append(routes, map[string]any{
				"name": name, "host": hostName, "prefix": p, "kind": "unsafe", "timeout-ms": timeoutMS, "slo-ms": 60,
				"priority": 0, "service": serviceName, "attempts": 2, "stretch": 1.6,
			})
		}
	}
	c.rec.log("the operator writes version %d of the manifest, %d queues", version, len(routes))
	manifest, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": serviceName, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "rejects-overload": false, "standby": false,
		}},
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	c.store.put(storeRow{Table: "op", Key: "config", Value: base64.StdEncoding.EncodeToString(manifest)})
}

// writeSettings writes the settings file of a process, as DEPLOY.md shows it.
func (c *cluster) writeSettings(p *process, host int, class string, fronts int) error {
	var seeds []string
	for i := range min(fronts, 3) {
		seeds = append(seeds, strconv.Quote(c.addr(2+i, "control")))
	}
	top, listen, limits := `serves = ["front","control"]`, fmt.Sprintf("front = %q\nready = %q\ncontrol = %q", c.addr(host, "front"), c.addr(host, "ready"), c.addr(host, "control")),
		"cpu-share = 0.4\nmemory-mb = 284\nmax-fds = 4100"
	if class == "side" {
		top = fmt.Sprintf("serves = [\"side\"]\napp = %q\nservice = %q", c.addr(host, "app"), serviceName)
		listen = fmt.Sprintf("control = %q", c.addr(host, "control"))
		limits = "cpu-share = 0.24\nmemory-mb = 152\nmax-fds = 4096"
	}
	text := fmt.Sprintf(`node-name = %q
role = %q
machine-class = %q
%s
ip = %q
zone = %q
region = "steiermark"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = true
in-tolerance = false
discovery = "local"
entry = "vip"
heartbeat-ms = %d
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "request"
[zones]
graz-nord = "steiermark"
graz-sued = "steiermark"
leoben = "steiermark"
[listen]
%s
[limits]
%s
cores = 1
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
recovery-s = 12
max-hold-ms = 1000
stop-ms = 50
cancel_ms = 3000
visible_ms = 3000
far-x = 1.5
lease-ms = 3000
resend-ms = 1300
[platform]
address = %q
form = "table"
writes-per-s = 800
reads-per-s = 2000
txn-ms = 4.0
history-s = 20
`, p.name, p.role, class, top, c.ip(host), zone(host), c.port["internal"], c.port["internal"]+10, strings.Join(seeds, ","), heartbeatMS, listen, limits, c.addr(1, "store"))
	p.settings = filepath.Join(c.dir, p.name+".toml")
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts a process with the command of the deploy file.
func (c *cluster) start(p *process) error {
	logFile, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(c.root, "target", "gypsumlanding"), p.role)
	cmd.Dir = c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMLANDING_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	c.rec.log("%s starts", p.name)
	go func() {
		err := cmd.Wait()
		_ = logFile.Close()
		c.rec.log("%s ends: %v", p.name, err)
		close(done)
	}()
	return nil
}

// stop sends SIGTERM, and SIGKILL after grace-s, and waits for the end.
func (c *cluster) stop(p *process) {
	c.rec.log("%s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(graceTime):
		c.rec.log("%s gets SIGKILL", p.name)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// checkReady sends a readiness check each second, as the platform does.
func (c *cluster) checkReady(i int) {
	for c.ctx.Err() == nil {
		go c.ready(i)
		time.Sleep(time.Second)
	}
}

func (c *cluster) ready(i int) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + c.addr(2+i, "ready") + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until front i is ready.
func (c *cluster) awaitReady(i int) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if c.ready(i) {
			return nil
		}
	}
	return fmt.Errorf("front %d is not ready", i+1)
}

// close ends all processes and removes their files.
func (c *cluster) close() {
	c.cancel()
	for _, p := range append(append([]*process{}, c.fronts...), c.sides...) {
		p.mu.Lock()
		cmd, done := p.cmd, p.done
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// client is a client that keeps its channel open.
type client struct {
	c     *cluster
	name  string
	addr  string
	queue string // prefix of its queue
	http  *http.Client
}

func (c *cluster) client(name string, front int) *client {
	return &client{c, name, c.frontAddr(front), prefix, &http.Client{Transport: &http.Transport{}}}
}

// answer is what a client gets; status 0 means no complete answer.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// step is a step of a job.
type step struct {
	Count    int   `json:"count"`
	CPU      int   `json:"cpu"`
	Mem      int   `json:"mem-mb"`
	Estimate int64 `json:"estimate-ms"`
	After    []int `json:"after,omitempty"`
}

// jobBody returns the body of a job that needn't be kept, whose tasks take runMS.
func jobBody(runMS int64, steps ...step) []byte {
	spec, _ := json.Marshal(map[string]int64{"ms": runMS})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps, "best-effort": true})
	return body
}

func (k *client) send(method, id string, body []byte, budget time.Duration) answer {
	ctx, cancel := context.WithTimeout(k.c.ctx, budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+k.addr+k.queue+id, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Gypsumlanding-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	k.c.rec.log("client %s: %s %s", k.name, method, id)
	began := time.Now()
	resp, err := k.http.Do(req)
	a := answer{err: err}
	if err == nil {
		var b []byte
		b, a.err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if a.err == nil {
			a.status, a.body = resp.StatusCode, strings.TrimSpace(string(b))
		}
	}
	a.took = time.Since(began)
	if a.err != nil {
		k.c.rec.log("client %s: %s %s gets no complete answer after %d ms: %v", k.name, method, id, a.took.Milliseconds(), a.err)
	} else {
		k.c.rec.log("client %s: %s %s gets %d %s after %d ms", k.name, method, id, a.status, a.body, a.took.Milliseconds())
	}
	return a
}

// errNotRun means that what the case needs did not come about.
var errNotRun = errors.New("the case did not come about")

const (
	ackBound     = 4 * time.Second // ack-ms
	cancelBound  = 3 * time.Second // cancel_ms
	contactBound = 3 * time.Second // contact-ms
)

// newID returns the ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
