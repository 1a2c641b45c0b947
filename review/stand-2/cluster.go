package main

import (
	"bytes"
	"context"
	"encoding/json"
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
	routeHost   = "jobs.example"
	routePrefix = "/plan/"
	serviceName = "dehnplan"
	metricsPort = 9190 // of the deploy file
	zones       = 3
)

var zoneNames = [zones]string{"graz-nord", "graz-sued", "leoben"}

// cluster is a small deployment. Entry i has the address .1.i, its proxy .2.i, node and worker i
// have .3.i, all in a network of their own below 127.
type cluster struct {
	dir, program string
	rec          *record
	trouble      bool
	proxied      bool // put a proxy before the internal address of each entry

	net     int // second number of the addresses
	ports   struct{ front, ready, control, internal, app, store int }
	store   *store
	entries []*process
	nodes   []*process
	workers []*worker
	proxies []*proxy
	servers []*http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	client  *http.Client

	mu     sync.Mutex
	broken int
}

// process is a process of the dispatcher.
type process struct {
	name string
	args []string
	env  string
	cmd  *exec.Cmd
	done chan struct{}
}

func (c *cluster) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", c.net, group, i) }

func (c *cluster) entryIP(i int) string { return c.ip(1, i+1) }

func (c *cluster) nodeIP(i int) string { return c.ip(3, i+1) }

func addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts the deployment and waits until all entries are ready.
func (c *cluster) start(entries, workers int, kinds []string) error {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if err := c.chooseAddresses(entries, workers); err != nil {
		return err
	}
	c.store = newStore()
	if err := c.serve(addr(c.ip(4, 1), c.ports.store), c.store); err != nil {
		return err
	}
	c.store.put("op", "config", map[string]any{
		"version":  3,
		"routes":   []map[string]any{{"name": "plan", "host": routeHost, "prefix": routePrefix, "service": serviceName, "priority": 0, "attempts": 4, "stretch": 1.6, "slo-ms": 100}},
		"services": []map[string]any{{"name": serviceName, "rejects-overload": false, "health-path": "/health"}},
		"limits":   map[string]int{"max-header-bytes": 16384, "max-body-bytes": 262144},
	})
	for i := range entries {
		p := &process{name: fmt.Sprintf("front-%s-1", zoneNames[i%zones]), args: []string{"entry"}}
		if c.proxied {
			px, err := newProxy(addr(c.ip(2, i+1), c.ports.internal), addr(c.entryIP(i), c.ports.internal))
			if err != nil {
				return err
			}
			c.proxies = append(c.proxies, px)
			p.args = append(p.args, "-advertise", addr(c.ip(2, i+1), c.ports.internal))
		}
		c.entries = append(c.entries, p)
		if err := c.launch(p, c.settings(p.name, "front", i, entries)); err != nil {
			return err
		}
		go c.check(i)
	}
	for i := range workers {
		p := &process{name: fmt.Sprintf("side-%s-%d", zoneNames[i%zones], i/zones+1), args: []string{"node"}}
		c.nodes = append(c.nodes, p)
		if err := c.launch(p, c.settings(p.name, "side", i, entries)); err != nil {
			return err
		}
		w := &worker{
			name: strconv.Itoa(i + 1), addr: addr(c.nodeIP(i), c.ports.app), control: addr(c.nodeIP(i), c.ports.control),
			service: serviceName, zone: zoneNames[i%zones], rack: fmt.Sprintf("r1-%d", i%zones+1), cpu: 32000, rec: c.rec, onBreak: c.breaks,
		}
		c.workers = append(c.workers, w)
		if err := w.up(kinds[i%len(kinds)]); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

// breaks records that a rule was broken.
func (c *cluster) breaks(text string) {
	c.mu.Lock()
	c.broken++
	c.mu.Unlock()
	c.rec.add("BROKEN: %s", text)
}

func (c *cluster) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

// chooseAddresses chooses a network and ports that nothing else uses.
func (c *cluster) chooseAddresses(entries, workers int) error {
	for range 50 {
		c.net = 20 + rand.IntN(200)
		base := 11000 + rand.IntN(15000)
		c.ports.front, c.ports.ready, c.ports.control = base, base+1, base+2
		c.ports.internal, c.ports.app, c.ports.store = base+3, base+4, base+5
		ips := []string{c.ip(4, 1)}
		for i := range entries {
			ips = append(ips, c.entryIP(i), c.ip(2, i+1))
		}
		for i := range workers {
			ips = append(ips, c.nodeIP(i))
		}
		if free(ips, []int{base, base + 1, base + 2, base + 3, base + 4, base + 5, metricsPort}) {
			return nil
		}
	}
	return fmt.Errorf("no free addresses")
}

func free(ips []string, ports []int) bool {
	for _, ip := range ips {
		for _, port := range ports {
			ln, err := net.Listen("tcp", addr(ip, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (c *cluster) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(ln) }()
	return nil
}

// settings returns the settings file of a process, as DEPLOY.md shows it.
func (c *cluster) settings(name, class string, i, entries int) string {
	ip, memory, cpu, serves, role := c.entryIP(i), 284, "0.4", `["front","control"]`, "entry"
	if class == "side" {
		ip, memory, cpu, serves, role = c.nodeIP(i), 152, "0.24", `["side"]`, "node"
	}
	var seeds []string
	for k := range entries {
		seedIP := c.entryIP(k)
		if c.proxied {
			seedIP = c.ip(2, k+1)
		}
		seeds = append(seeds, strconv.Quote(addr(seedIP, c.ports.control)))
	}
	text := fmt.Sprintf(`node-name = %q
role = %q
machine-class = %q
serves = %s
ip = %q
zone = %q
region = "steiermark"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = true
in-tolerance = false
discovery = "local"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "request"
`, name, role, class, serves, ip, zoneNames[i%zones], c.ports.internal, c.ports.internal, strings.Join(seeds, ","))
	if class == "side" {
		text += fmt.Sprintf("app = %q\nservice = %q\n", addr(ip, c.ports.app), serviceName)
	}
	text += "[zones]\ngraz-nord = \"steiermark\"\ngraz-sued = \"steiermark\"\nleoben = \"steiermark\"\n[listen]\n"
	if class == "front" {
		text += fmt.Sprintf("front = %q\nready = %q\n", addr(ip, c.ports.front), addr(ip, c.ports.ready))
	}
	text += fmt.Sprintf("control = %q\n", addr(ip, c.ports.control))
	text += fmt.Sprintf(`[limits]
cpu-share = %s
cores = 1
memory-mb = %d
max-fds = 4096
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
max-hold-ms = 1000
stop-ms = 50
cancel_ms = 3000
visible_ms = 3000
far-x = 1.5
resend-ms = 1300
[platform]
address = %q
form = "table"
writes-per-s = 800
reads-per-s = 2000
`, cpu, memory, addr(c.ip(4, 1), c.ports.store))
	return text
}

// launch writes the settings of a process and starts it with the command of the deploy file.
func (c *cluster) launch(p *process, settings string) error {
	p.env = filepath.Join(c.dir, p.name+".toml")
	if err := os.WriteFile(p.env, []byte(settings), 0o600); err != nil {
		return err
	}
	return c.run(p)
}

// run starts a process whose settings have been written.
func (c *cluster) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(c.program, p.args...)
	p.cmd.Env = []string{"GYPSUMLANDING_BOOT=" + p.env, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), p.cmd
	p.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// restart stops a process as a rolling restart does, and starts it again.
func (c *cluster) restart(p *process) error {
	c.rec.add("%s gets SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(6 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	c.rec.add("%s has ended, and starts again", p.name)
	return c.run(p)
}

// check asks an entry once a second whether it is ready, as the platform does.
func (c *cluster) check(i int) {
	for c.ctx.Err() == nil {
		begin := time.Now()
		c.ready(i)
		time.Sleep(time.Until(begin.Add(time.Second)))
	}
}

func (c *cluster) ready(i int) bool {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr(c.entryIP(i), c.ports.ready)+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready, and 3 s more, so that all machines are in touch.
func (c *cluster) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for i := range c.entries {
			all = all && c.ready(i)
		}
		if all {
			time.Sleep(3 * time.Second)
			c.rec.add("all entries are ready")
			return nil
		}
	}
	return fmt.Errorf("the deployment is not ready")
}

// answer is what a client gets.
type answer struct {
	status int // 0 without a complete answer
	body   string
}

// send sends a request of a client to an entry, on a channel of its own.
func (c *cluster) send(entry int, method, id string, body any, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(c.ctx, patience)
	defer cancel()
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return answer{}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr(c.entryIP(entry), c.ports.front)+routePrefix+id, bytes.NewReader(b))
	if err != nil {
		return answer{}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Gypsumlanding-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, strings.TrimSpace(string(text))}
}

// startsAfter returns the starts of a job's tasks after a time.
func (c *cluster) startsAfter(job string, t time.Time) []started {
	var late []started
	for _, w := range c.workers {
		for _, s := range w.startsOf(job) {
			if s.at.After(t) {
				late = append(late, s)
			}
		}
	}
	return late
}

// newID returns the ID of a new job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// close ends all processes and servers.
func (c *cluster) close() {
	if c.cancel != nil {
		c.cancel()
	}
	for _, p := range append(c.entries, c.nodes...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	for _, px := range c.proxies {
		_ = px.ln.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(c.dir))
	}
}
