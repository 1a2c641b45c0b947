package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/netem"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
)

const (
	region       = "steiermark"
	pollInterval = 20 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// domains are the failure domains, to which entries, nodes and targets are assigned
// round robin.
var domains = []string{"graz-nord", "graz-sued", "leoben"}

// Options describe a fleet. Zero fields mean the defaults.
type Options struct {
	Entries  int      // 0 means 3
	Nodes    int      // 0 means 11
	Slots    int      // of each target; 0 means 8
	Speeds   []int    // of the targets in percent of full speed, assigned round robin; none means 100
	Shards   int      // 0 means 512
	NodeArgs []string // further arguments of every node
	MemoryMB int      // setting of every entry and node; 0 means its default
	MaxFDs   int      // setting of every entry and node; 0 means its default
	Proxies  bool     // put a proxy before the RPC address of every node and entry
}

func (o Options) withDefaults() Options {
	if o.Entries == 0 {
		o.Entries = 3
	}
	if o.Nodes == 0 {
		o.Nodes = 11
	}
	if o.Slots == 0 {
		o.Slots = 8
	}
	if len(o.Speeds) == 0 {
		o.Speeds = []int{100}
	}
	if o.Shards == 0 {
		o.Shards = 512
	}
	return o
}

// limitArgs returns the arguments that set the limits of an entry or node.
func (o Options) limitArgs() []string {
	var args []string
	if o.MemoryMB > 0 {
		args = append(args, "-memory-mb", strconv.Itoa(o.MemoryMB))
	}
	if o.MaxFDs > 0 {
		args = append(args, "-max-fds", strconv.Itoa(o.MaxFDs))
	}
	return args
}

// Fleet runs the processes of one region. Make one with New. It is safe for
// concurrent use.
type Fleet struct {
	opts Options
	bin  string // folder of the programs
	dir  string // folder for logs and settings

	mu           sync.Mutex
	procs        map[string]*Proc        // by name, such as "e1"
	addrs        map[string]string       // by process name and protocol, such as "n1.http"
	proxies      map[string]*netem.Proxy // by process name
	savedReports []targ.Report           // of targets that were stopped
}

// New returns a fleet without processes that runs programs from the folder bin and
// writes logs and settings to dir.
func New(bin, dir string, opts Options) *Fleet {
	return &Fleet{
		opts: opts.withDefaults(), bin: bin, dir: dir,
		procs: map[string]*Proc{}, addrs: map[string]string{}, proxies: map[string]*netem.Proxy{},
	}
}

// Start starts the store, the entries e1, e2, ..., the nodes n1, n2, ... and the
// target of each node, t1, t2, ..., and waits until all are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.Launch("store"); err != nil {
		return err
	}
	if err := f.awaitListening(ctx, "store.http"); err != nil {
		return err
	}
	for i := range f.opts.Entries {
		if err := f.Launch(procName("e", i)); err != nil {
			return err
		}
	}
	for i := range f.opts.Nodes {
		if err := f.Launch(procName("n", i)); err != nil {
			return err
		}
		if err := f.Launch(procName("t", i)); err != nil {
			return err
		}
	}
	return f.AwaitNodes(ctx, f.opts.Nodes)
}

// Launch starts the process with the given name, which must not be running. It may
// have run before.
func (f *Fleet) Launch(name string) error {
	program, args, err := f.command(name)
	if err != nil {
		return err
	}
	p, err := StartProc(f.dir, name, filepath.Join(f.bin, program), args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs[name] = p
	return nil
}

// command returns the program and arguments of a process, and writes its settings
// file if it has one.
func (f *Fleet) command(name string) (string, []string, error) {
	kind := name[:1]
	number, err := strconv.Atoi(name[1:])
	if name != "store" && (err != nil || number < 1) {
		return "", nil, merry.Errorf("no process can be called %q", name)
	}
	switch kind {
	case "s":
		return "gypstore", []string{"-http", f.Addr("store.http")}, nil
	case "t":
		return "gyptarget", []string{
			"-http", f.Addr(name + ".http"), "-node", f.Addr("n" + name[1:] + ".http"),
			"-service", "dehnplan", "-domain", domains[(number-1)%len(domains)],
			"-slots", strconv.Itoa(f.opts.Slots), "-speed", strconv.Itoa(f.opts.Speeds[(number-1)%len(f.opts.Speeds)]),
		}, nil
	case "e":
		fields := map[string]any{
			"id": name, "region": region, "domain": domains[(number-1)%len(domains)],
			"listen": f.Addr(name + ".rpc"), "http": f.Addr(name + ".http"),
			"table": f.Addr("store.http"), "shards": f.opts.Shards,
		}
		if peers := f.entryAddrs(name); len(peers) > 0 {
			fields["peers"] = peers
		}
		return "gypentry", append([]string{"-config", f.writeSettings(name, fields)}, f.opts.limitArgs()...), nil
	case "n":
		args := []string{
			"-config", f.writeSettings(name, map[string]any{
				"id": name, "region": region, "domain": domains[(number-1)%len(domains)],
				"listen": f.Addr(name + ".rpc"), "http": f.Addr(name + ".http"),
				"entries": f.entryAddrs(""),
			}),
		}
		if f.opts.Proxies {
			proxy, err := f.Proxy(name)
			if err != nil {
				return "", nil, err
			}
			args = append(args, "-reach", proxy.Addr())
		}
		return "gypnode", append(append(args, f.opts.limitArgs()...), f.opts.NodeArgs...), nil
	}
	return "", nil, merry.Errorf("no process can be called %q", name)
}

// writeSettings writes a settings file and returns its path.
func (f *Fleet) writeSettings(name string, fields map[string]any) string {
	text, err := json.MarshalIndent(fields, "", "\t")
	if err != nil {
		panic(err)
	}
	path := filepath.Join(f.dir, name+".jsonc")
	if err := os.WriteFile(path, append([]byte("// Settings of "+name+".\n"), text...), 0o600); err != nil {
		panic(err)
	}
	return path
}

// entryAddrs returns the RPC addresses of all entries except the named one. They are
// those of the proxies if there are any.
func (f *Fleet) entryAddrs(except string) []string {
	var addrs []string
	for i := range f.opts.Entries {
		name := procName("e", i)
		if name == except {
			continue
		}
		addr := f.Addr(name + ".rpc")
		if f.opts.Proxies {
			proxy, err := f.Proxy(name)
			if err != nil {
				panic(err)
			}
			addr = proxy.Addr()
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// Addr returns the loopback address of the given name, such as "n1.http". It
// allocates a free one when the name is first used.
func (f *Fleet) Addr(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if addr, ok := f.addrs[name]; ok {
		return addr
	}
	addr := freeAddr()
	f.addrs[name] = addr
	return addr
}

// EntryURLs returns the base URLs of all entries.
func (f *Fleet) EntryURLs() []string {
	var urls []string
	for i := range f.opts.Entries {
		urls = append(urls, "http://"+f.Addr(procName("e", i)+".http"))
	}
	return urls
}

// Proc returns the named process and reports whether the fleet has one.
func (f *Fleet) Proc(name string) (*Proc, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.procs[name]
	return p, ok
}

// Proxy returns the proxy before a node or entry, and starts it on first use.
func (f *Fleet) Proxy(name string) (*netem.Proxy, error) {
	addr := f.Addr(name + ".rpc")
	f.mu.Lock()
	defer f.mu.Unlock()
	if proxy, ok := f.proxies[name]; ok {
		return proxy, nil
	}
	proxy, err := netem.NewProxy(addr)
	if err == nil {
		f.proxies[name] = proxy
	}
	return proxy, err
}

// ProcNames returns the names of the processes that begin with prefix, in no
// particular order.
func (f *Fleet) ProcNames(prefix string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.procs {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names
}

// Close kills all processes and closes the proxies.
func (f *Fleet) Close() {
	f.mu.Lock()
	procs := f.procs
	f.procs = map[string]*Proc{}
	for _, proxy := range f.proxies {
		proxy.Close()
	}
	f.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
}

// SaveReport keeps a target's report for TaskStarts, since it is lost when the
// target is stopped or killed. It does nothing if the target does not answer.
func (f *Fleet) SaveReport(name string) {
	var report targ.Report
	if f.Get(context.Background(), name+".http", "/starts", &report) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.savedReports = append(f.savedReports, report)
}

// TaskStarts returns all task starts at all targets, those in saved reports included.
func (f *Fleet) TaskStarts(ctx context.Context) ([]targ.TaskStart, error) {
	f.mu.Lock()
	reports := append([]targ.Report{}, f.savedReports...)
	f.mu.Unlock()
	for i := range f.opts.Nodes {
		name := procName("t", i)
		if _, running := f.Proc(name); !running {
			continue
		}
		var report targ.Report
		if err := f.Get(ctx, name+".http", "/starts", &report); err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	var starts []targ.TaskStart
	for _, r := range reports {
		starts = append(starts, r.Starts...)
	}
	return starts, nil
}

// Remove removes a process that has ended from the fleet.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.procs, name)
}

// Get sends a GET request to the named address, such as "n1.http", and decodes the
// JSON of the answer into reply.
func (f *Fleet) Get(ctx context.Context, addrName, path string, reply any) error {
	return f.call(ctx, http.MethodGet, addrName, path, nil, reply)
}

// Send sends body as JSON to the named address, and decodes the JSON of the answer
// into reply unless that is nil.
func (f *Fleet) Send(ctx context.Context, method, addrName, path string, body, reply any) error {
	return f.call(ctx, method, addrName, path, body, reply)
}

// call sends a request. A status of 300 or above is an error.
func (f *Fleet) call(ctx context.Context, method, addrName, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Addr(addrName)+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		detail, _ := io.ReadAll(resp.Body)
		return merry.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, detail)
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}

// procName returns the name of process i of a kind, where i counts from 0.
func procName(kind string, i int) string { return fmt.Sprintf("%s%d", kind, i+1) }
