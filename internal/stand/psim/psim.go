package psim

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
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

// Largest numbers of processes, which have addresses of their own on the loopback network.
const (
	MaxEntries = nodeHosts
	MaxNodes   = 254 - nodeHosts
	nodeHosts  = 100 // a node's host is its number plus this
)

const (
	serviceName    = "plan"
	routeHost      = "jobs.example"
	routePrefix    = "/plan/"
	defaultGrace   = 6 * time.Second // between the signal to stop and the kill
	targetMilliCPU = 4000            // capacity of each target, in thousandths of a core
	resubmitDelay  = 1300 * time.Millisecond
	requestTimeout = 10 * time.Second
)

// Options describe a Platform. Zero fields mean the defaults.
type Options struct {
	Entries int    // 0 means 2
	Nodes   int    // 0 means 4
	Proxies bool   // put a proxy before each address of an entry, node or target, and between each process and the store
	Seed    uint64 // of what the targets draw: how slowly they answer and stop
	Limits  Limits
	Grace   time.Duration // between the signal to stop a process and the kill; 0 means 6 s
}

// Platform is a small simulated platform on which the dispatcher runs. Make one with
// New. It is safe for concurrent use.
type Platform struct {
	dir      string // settings and logs of the processes
	program  string // path of the dispatcher's program
	maxBody  int    // bytes of a caller's request that the configuration allows
	ports    ports
	table    table
	checker  checker
	targets  []*target
	direct   http.Client // sends requests to a certain entry
	callers  []*http.Client
	balancer balancer
	draws    *draws // of all targets
	grace    time.Duration
	stops    stops // of entries

	evacuations evacuations

	ctx     context.Context
	cancel  context.CancelFunc
	servers []*http.Server

	mu      sync.Mutex
	procs   map[string]*fleet.Proc  // by node name, such as "e1" or "n1"
	args    map[string][]string     // of the processes
	proxies map[string]*netem.Proxy // by name, such as "front e1", "target n1" or "store e1"
}

// ports are the ports that are the same for all processes, whose IP addresses
// differ.
type ports struct{ front, ready, control, internal, target, store, metrics int }

// New starts the platform and the dispatcher's processes, which run the given
// program. Their settings and logs are written to dir. After an error, the parts
// that were started keep running.
func New(dir, program string, o Options) (*Platform, error) {
	if o.Entries == 0 {
		o.Entries = 2
	}
	if o.Nodes == 0 {
		o.Nodes = 4
	}
	p := &Platform{dir: dir, program: program, maxBody: cmp.Or(o.Limits.MaxBodyBytes, defaultMaxBodyBytes), grace: cmp.Or(o.Grace, defaultGrace), procs: map[string]*fleet.Proc{}, args: map[string][]string{}, proxies: map[string]*netem.Proxy{}, draws: newDraws(o.Seed)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.callers = newCallers(&p.balancer)
	p.ports = ports{
		front: fleet.FreePort(), ready: fleet.FreePort(), control: fleet.FreePort(),
		internal: fleet.FreePort(), target: fleet.FreePort(), store: fleet.FreePort(), metrics: fleet.FreePort(),
	}
	if err := p.serve(fmt.Sprintf("127.0.0.1:%d", p.ports.store), &p.table); err != nil {
		return nil, err
	}
	p.WriteConfig(1)
	for i := range o.Entries {
		if err := p.addProcess(fmt.Sprintf("e%d", i+1), "entry", i+1, domainOf(i+1), o); err != nil {
			return nil, err
		}
	}
	for i := range o.Nodes {
		if err := p.addProcess(fmt.Sprintf("n%d", i+1), "node", i+1+nodeHosts, domainOf(i+1), o); err != nil {
			return nil, err
		}
		if err := p.addTarget(fmt.Sprintf("n%d", i+1), i+1+nodeHosts, domainOf(i+1), o); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// proxiedAddr returns the address of a new proxy before addr, or addr itself if the
// options ask for no proxies.
func (p *Platform) proxiedAddr(proxyName, addr string, o Options) (string, error) {
	if !o.Proxies {
		return addr, nil
	}
	proxy, err := netem.NewStrictProxy("", addr)
	if err != nil {
		return "", err
	}
	p.proxies[proxyName] = proxy
	return proxy.Addr(), nil
}

// Proxy returns the named proxy, or nil if there is none. Names are such as "front
// e1" and "ready e1" (between the load balancer and an entry), "target n1" (between a node
// and its target), "store e1" (between a process and the store) and "internal e1" (between the
// other processes and that one).
func (p *Platform) Proxy(name string) *netem.Proxy { return p.proxies[name] }

// advertise puts a proxy before the internal port of a process, and returns the arguments that
// make the process advertise the proxy's address.
func (p *Platform) advertise(name string, host int) ([]string, error) {
	addr := fmt.Sprintf("127.0.2.%d:%d", host, p.ports.internal)
	proxy, err := netem.NewStrictProxy(addr, address(host, p.ports.internal))
	if err != nil {
		return nil, err
	}
	p.proxies["internal "+name] = proxy
	return []string{"-advertise", addr}, nil
}

// address returns the loopback address of a port of a host. The host is an entry's
// number, or a node's number plus nodeHosts.
func address(host, port int) string { return fmt.Sprintf("127.0.1.%d:%d", host, port) }

// addProcess writes the settings of a process and starts it.
func (p *Platform) addProcess(name, role string, host int, domain string, o Options) error {
	storeAddr, err := p.proxiedAddr("store "+name, fmt.Sprintf("127.0.0.1:%d", p.ports.store), o)
	if err != nil {
		return err
	}
	seedIP, advertiseArgs := "127.0.1.1", []string(nil)
	if o.Proxies {
		seedIP = "127.0.2.1"
		if advertiseArgs, err = p.advertise(name, host); err != nil {
			return err
		}
	}
	if role == "entry" {
		if err := p.addToBalancer(name, host, o); err != nil {
			return err
		}
	}
	settings := fmt.Sprintf(`node-name = %q
ip = "127.0.1.%d"
zone = %q
internal-ports = [%d, %d]
seeds = [%q]
app = %q
service = %q
[listen]
front = %q
ready = %q
control = %q
[limits]
%s
[bounds]
grace-s = %g
resend-ms = %d
stop-ms = %d
[platform]
address = %q
`, name, host, domain, p.ports.internal, p.ports.internal, fmt.Sprintf("%s:%d", seedIP, p.ports.control), address(host, p.ports.target), serviceName,
		address(host, p.ports.front), address(host, p.ports.ready), address(host, p.ports.control), o.Limits.lines(), p.grace.Seconds(), resubmitDelay.Milliseconds(), stopBound.Milliseconds(), storeAddr)
	path := filepath.Join(p.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	p.args[name] = append([]string{role, "-settings", path, "-metrics", strconv.Itoa(p.ports.metrics)}, advertiseArgs...)
	return p.Launch(name)
}

// addToBalancer makes the balancer check an entry.
func (p *Platform) addToBalancer(name string, host int, o Options) error {
	frontAddr, err := p.proxiedAddr("front "+name, address(host, p.ports.front), o)
	if err != nil {
		return err
	}
	readyAddr, err := p.proxiedAddr("ready "+name, address(host, p.ports.ready), o)
	if err != nil {
		return err
	}
	i := p.balancer.add(frontAddr, readyAddr)
	go p.balancer.checkLoop(p.ctx, i, p.draws.upTo(readyInterval))
	return nil
}

// Close kills all processes and closes the proxies and servers.
func (p *Platform) Close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proc := range p.procs {
		_ = proc.Signal(syscall.SIGCONT)
		proc.Kill()
	}
	for _, client := range p.callers {
		client.CloseIdleConnections()
	}
	for _, proxy := range p.proxies {
		proxy.Close()
	}
	for _, srv := range p.servers {
		_ = srv.Close()
	}
}

// serve serves HTTP at addr in the background until Close.
func (p *Platform) serve(addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h}
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// addTarget starts the target of a node.
func (p *Platform) addTarget(node string, host int, domain string, o Options) error {
	listenAddr := address(host, p.ports.target)
	proxiedAddr, err := p.proxiedAddr("target "+node, listenAddr, o)
	if err != nil {
		return err
	}
	t := &target{
		addr: proxiedAddr, controlAddr: address(host, p.ports.control), domain: domain, milliCPU: targetMilliCPU,
		checker: &p.checker, evacuations: &p.evacuations, draws: p.draws,
	}
	t.restart(false)
	p.targets = append(p.targets, t)
	if err := p.serve(listenAddr, t); err != nil {
		return err
	}
	go t.endRunsLoop(p.ctx)
	go func() {
		client := &http.Client{Timeout: heartbeatInterval}
		for p.ctx.Err() == nil {
			t.sendHeartbeat(client)
			time.Sleep(heartbeatInterval)
		}
	}()
	return nil
}

// WriteConfig writes a version of the operator's configuration to the store. Odd
// versions have a second route, "/extra/".
func (p *Platform) WriteConfig(version int) {
	routes := []map[string]any{route("plan", routePrefix)}
	if version%2 == 1 {
		routes = append(routes, route("extra", "/extra/"))
	}
	config, err := json.Marshal(map[string]any{"version": version, "routes": routes, "limits": map[string]int{"max-body-bytes": p.maxBody}})
	if err != nil {
		panic(err)
	}
	p.table.put(row{Table: "op", Key: "config", Value: config})
}

func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": prefix, "service": serviceName,
		"attempts": routeAttempts, "stretch": 1.6, "slo-ms": 60,
	}
}

// SetStoreDown makes the table store unavailable or available.
func (p *Platform) SetStoreDown(unavailable bool) { p.table.setUnavailable(unavailable) }

// Behaviour describes the faults of a target. The zero value has none.
type Behaviour struct {
	UnansweredShare float64 // share of orders without an answer
	UnhealthyShare  float64 // share of starts that are refused with status 429 or 503, which then do nothing
	FailTasks       bool    // all tasks fail
	Draining        bool    // the target reports that it drains
}

// SetBehaviour changes the behaviour of a target. Targets are numbered from 1.
func (p *Platform) SetBehaviour(number int, b Behaviour) {
	t := p.targets[number-1]
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unansweredShare, t.unhealthyShare = b.UnansweredShare, b.UnhealthyShare
	t.failTasks, t.draining = b.FailTasks, b.Draining
}

// CrashTarget makes a target lose its runs and restart at once as a new
// incarnation.
func (p *Platform) CrashTarget(number int) { p.targets[number-1].restart(false) }

// RestartTarget makes a target lose its runs and restart at once as a new incarnation with
// the ID of the previous one. Its clock and its numbers of ends and heartbeats start anew.
func (p *Platform) RestartTarget(number int) { p.targets[number-1].restart(true) }

// SetClockRate sets the speed of a target's clock relative to real time.
func (p *Platform) SetClockRate(number int, rate float64) {
	t := p.targets[number-1]
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clockRate = rate
}
