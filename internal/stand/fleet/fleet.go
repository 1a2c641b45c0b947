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

var domains = []string{"graz-nord", "graz-sued", "leoben"}

// Options describe a fleet. Zero fields mean the defaults.
type Options struct {
	Entries  int      // 0 means 3
	Nodes    int      // 0 means 11
	Slots    int      // of each target; 0 means 8
	Speeds   []int    // percent, given to the targets in turn; none means 100
	Shards   int      // 0 means 512
	NodeArgs []string // further arguments of every node
	Proxies  bool     // put a cable before every node and entry
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

// Fleet is the processes of one region. Make one with New; it is safe for
// concurrent use.
type Fleet struct {
	opts Options
	bin  string
	dir  string

	mu      sync.Mutex
	procs   map[string]*Proc
	addrs   map[string]string // address by process name and kind, such as "n1.http"
	cables  map[string]*netem.Proxy
	retired []targ.Report // of targets that were stopped
}

// New returns a fleet without processes that takes programs from bin and
// writes logs to dir.
func New(bin, dir string, opts Options) *Fleet {
	return &Fleet{
		opts: opts.withDefaults(), bin: bin, dir: dir,
		procs: map[string]*Proc{}, addrs: map[string]string{}, cables: map[string]*netem.Proxy{},
	}
}

// Start starts the store, the entries e1, e2, ..., the nodes n1, n2, ... and
// beside each node its target t1, t2, ..., and waits until all serve.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.Launch("store"); err != nil {
		return err
	}
	if err := f.await(ctx, "store.http"); err != nil {
		return err
	}
	for i := range f.opts.Entries {
		if err := f.Launch(name("e", i)); err != nil {
			return err
		}
	}
	for i := range f.opts.Nodes {
		if err := f.Launch(name("n", i)); err != nil {
			return err
		}
		if err := f.Launch(name("t", i)); err != nil {
			return err
		}
	}
	return f.AwaitNodes(ctx, f.opts.Nodes)
}

// Launch starts the process of that name, anew if it ran before.
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

func (f *Fleet) command(name string) (string, []string, error) {
	kind := name[:1]
	i, err := strconv.Atoi(name[1:])
	if name != "store" && (err != nil || i < 1) {
		return "", nil, merry.Errorf("no process can be called %q", name)
	}
	switch kind {
	case "s":
		return "gypstore", []string{"-http", f.Addr("store.http")}, nil
	case "t":
		return "gyptarget", []string{
			"-http", f.Addr(name + ".http"), "-node", f.Addr("n" + name[1:] + ".http"),
			"-service", "dehnplan", "-domain", domains[(i-1)%len(domains)],
			"-slots", strconv.Itoa(f.opts.Slots), "-speed", strconv.Itoa(f.opts.Speeds[(i-1)%len(f.opts.Speeds)]),
		}, nil
	case "e":
		fields := map[string]any{
			"id": name, "region": region, "domain": domains[(i-1)%len(domains)],
			"listen": f.Addr(name + ".rpc"), "http": f.Addr(name + ".http"),
			"table": f.Addr("store.http"), "shards": f.opts.Shards,
		}
		if peers := f.entries(name); len(peers) > 0 {
			fields["peers"] = peers
		}
		return "gypentry", []string{"-config", f.settings(name, fields)}, nil
	case "n":
		args := []string{
			"-config", f.settings(name, map[string]any{
				"id": name, "region": region, "domain": domains[(i-1)%len(domains)],
				"listen": f.Addr(name + ".rpc"), "http": f.Addr(name + ".http"),
				"entries": f.entries(""),
			}),
		}
		if f.opts.Proxies {
			c, err := f.Proxy(name)
			if err != nil {
				return "", nil, err
			}
			args = append(args, "-reach", c.Addr())
		}
		return "gypnode", append(args, f.opts.NodeArgs...), nil
	}
	return "", nil, merry.Errorf("no process can be called %q", name)
}

// settings writes a settings file and returns its path.
func (f *Fleet) settings(name string, fields map[string]any) string {
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

// entries returns the rpc addresses of all entries but the named one.
func (f *Fleet) entries(but string) []string {
	var addrs []string
	for i := range f.opts.Entries {
		n := name("e", i)
		if n == but {
			continue
		}
		addr := f.Addr(n + ".rpc")
		if f.opts.Proxies {
			c, err := f.Proxy(n)
			if err != nil {
				panic(err)
			}
			addr = c.Addr()
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// Addr returns the loopback address of that name, a free one at first.
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

// URLs returns the base URLs of all entries.
func (f *Fleet) EntryURLs() []string {
	var urls []string
	for i := range f.opts.Entries {
		urls = append(urls, "http://"+f.Addr(name("e", i)+".http"))
	}
	return urls
}

// Proc returns the named process.
func (f *Fleet) Proc(name string) (*Proc, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.procs[name]
	return p, ok
}

// Cable returns the cable before a node or entry.
func (f *Fleet) Proxy(name string) (*netem.Proxy, error) {
	addr := f.Addr(name + ".rpc")
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cables[name]; ok {
		return c, nil
	}
	c, err := netem.NewProxy(addr)
	if err == nil {
		f.cables[name] = c
	}
	return c, err
}

// Names returns the names of the processes whose names start with prefix.
func (f *Fleet) ProcNames(prefix string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for n := range f.procs {
		if strings.HasPrefix(n, prefix) {
			names = append(names, n)
		}
	}
	return names
}

// Close kills all processes.
func (f *Fleet) Close() {
	f.mu.Lock()
	procs := f.procs
	f.procs = map[string]*Proc{}
	for _, c := range f.cables {
		c.Close()
	}
	f.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
}

// Retire keeps what a target saw before it is stopped or killed.
func (f *Fleet) SaveReport(name string) {
	var report targ.Report
	if f.Get(context.Background(), name+".http", "/starts", &report) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired = append(f.retired, report)
}

// Starts returns every start that any target saw.
func (f *Fleet) TaskStarts(ctx context.Context) ([]targ.TaskStart, error) {
	f.mu.Lock()
	reports := append([]targ.Report{}, f.retired...)
	f.mu.Unlock()
	for i := range f.opts.Nodes {
		n := name("t", i)
		if _, running := f.Proc(n); !running {
			continue
		}
		var report targ.Report
		if err := f.Get(ctx, n+".http", "/starts", &report); err != nil {
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

// Forget drops a process that was ended from the fleet.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.procs, name)
}

// Get reads JSON from a process.
func (f *Fleet) Get(ctx context.Context, addr, path string, reply any) error {
	return f.do(ctx, http.MethodGet, addr, path, nil, reply)
}

// Send sends JSON to a process and reads JSON from it.
func (f *Fleet) Send(ctx context.Context, method, addr, path string, body, reply any) error {
	return f.do(ctx, method, addr, path, body, reply)
}

func (f *Fleet) do(ctx context.Context, method, addr, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Addr(addr)+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(resp.Body)
		return merry.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, text)
	}
	if reply == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(reply)
}

func name(kind string, i int) string { return fmt.Sprintf("%s%d", kind, i+1) }
