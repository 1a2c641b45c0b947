package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
	"github.com/gypsumlanding/gypsumlanding/internal/stand/targ"
)

const (
	sequentialCalls = 2000            // calls for the latency at low load
	fullLoadTime    = 3 * time.Second // how long the throughput of each path is measured
	concurrentCalls = 48              // calls in flight at full load
)

// singleTarget is a fleet of one entry, one node and one target with a slot for each
// concurrent call.
var singleTarget = fleet.Options{Entries: 1, Nodes: 1, Slots: concurrentCalls}

// overheadDoc has quantiles of the latency of direct calls and of calls through the system,
// in microseconds.
type overheadDoc struct {
	DirectP50 float64 `json:"direct_p50_us"`
	DirectP99 float64 `json:"direct_p99_us"`
	SystemP50 float64 `json:"system_p50_us"`
	SystemP99 float64 `json:"system_p99_us"`
}

// throughputDoc has the numbers of tasks per second through the bare chain and through the
// system, and the latter as a fraction of the former.
type throughputDoc struct {
	ChainRate  float64 `json:"chain_per_s"`
	SystemRate float64 `json:"system_per_s"`
	Share      float64 `json:"share"`
}

// benchClient posts the same body to one URL, over connections that it keeps open.
type benchClient struct {
	client *http.Client
	url    string
	body   []byte
}

// newBenchClient returns a client for a URL and a body, which is encoded as JSON.
func newBenchClient(url string, body any) *benchClient {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: concurrentCalls}
	return &benchClient{client: &http.Client{Transport: transport}, url: url, body: text}
}

// call posts the body once. An answer with another status than 200 is an error.
func (c *benchClient) call() error {
	resp, err := c.client.Post(c.url, "application/json", bytes.NewReader(c.body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return err
}

// directClient returns a client that runs an empty task at the target itself.
func directClient(f *fleet.Fleet) *benchClient {
	return newBenchClient("http://"+f.Addr("t1.http")+"/v1/run", targ.TaskBody{Token: "x"})
}

// systemClient returns a client that submits a job with one empty task to the entry.
func systemClient(f *fleet.Fleet) *benchClient {
	return newBenchClient(f.EntryURLs()[0]+"/v1/jobs", map[string]any{
		"entry": "plan", "tasks": []targ.TaskBody{{Token: "x"}},
	})
}

// measureOverhead compares the latency of sequential calls to the target with those through
// the system.
func measureOverhead(ctx context.Context, bin string) (any, error) {
	var doc overheadDoc
	err := withFleet(ctx, bin, singleTarget, func(f *fleet.Fleet) error {
		var err error
		if doc.DirectP50, doc.DirectP99, err = latencyQuantiles(directClient(f)); err != nil {
			return err
		}
		doc.SystemP50, doc.SystemP99, err = latencyQuantiles(systemClient(f))
		return err
	})
	return doc, err
}

// latencyQuantiles returns the median and the 99th percentile of the latency of sequential
// calls, in microseconds.
func latencyQuantiles(c *benchClient) (p50, p99 float64, err error) {
	times := make([]float64, 0, sequentialCalls)
	for range sequentialCalls {
		started := time.Now()
		if err := c.call(); err != nil {
			return 0, 0, err
		}
		times = append(times, float64(time.Since(started).Microseconds()))
	}
	slices.Sort(times)
	return times[sequentialCalls/2], times[sequentialCalls*99/100], nil
}

// measureThroughput compares the number of empty tasks per second through the system with
// that through a bare chain: HTTP to a front process, net/rpc to a back process, and HTTP
// to the target.
func measureThroughput(ctx context.Context, bin string) (any, error) {
	var doc throughputDoc
	err := withFleet(ctx, bin, singleTarget, func(f *fleet.Fleet) error {
		stop, err := startChain(ctx, bin, f)
		if err != nil {
			return err
		}
		defer stop()
		if doc.ChainRate, err = callRate(newBenchClient("http://"+f.Addr("front")+"/v1/run", targ.TaskBody{Token: "x"})); err != nil {
			return err
		}
		doc.SystemRate, err = callRate(systemClient(f))
		doc.Share = doc.SystemRate / doc.ChainRate
		return err
	})
	return doc, err
}

// callRate returns the number of calls per second of concurrentCalls goroutines, which
// each send one call after another. It returns an error if a call fails.
func callRate(c *benchClient) (float64, error) {
	var wg sync.WaitGroup
	counts := make([]int, concurrentCalls)
	errs := make([]error, concurrentCalls)
	end := time.Now().Add(fullLoadTime)
	for i := range concurrentCalls {
		wg.Go(func() {
			for time.Now().Before(end) {
				if errs[i] = c.call(); errs[i] != nil {
					return
				}
				counts[i]++
			}
		})
	}
	wg.Wait()
	sum := 0
	for i, n := range counts {
		if errs[i] != nil {
			return 0, errs[i]
		}
		sum += n
	}
	return float64(sum) / fullLoadTime.Seconds(), nil
}

// startChain starts the two processes of the bare chain in front of the target, and
// returns a function that kills them. The function is nil if a process cannot be started,
// but not if the chain does not answer in time.
func startChain(ctx context.Context, bin string, f *fleet.Fleet) (func(), error) {
	exe := filepath.Join(bin, "gypmeasure")
	back := exec.Command(exe, "-role", "back", "-addr", f.Addr("back"), "-next", f.Addr("t1.http"))
	front := exec.Command(exe, "-role", "front", "-addr", f.Addr("front"), "-next", f.Addr("back"))
	stop := func() {
		for _, cmd := range []*exec.Cmd{front, back} {
			if cmd.Process != nil {
				_ = cmd.Process.Kill()
				_ = cmd.Wait()
			}
		}
	}
	if err := back.Start(); err != nil {
		return nil, err
	}
	if err := front.Start(); err != nil {
		stop()
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c := newBenchClient("http://"+f.Addr("front")+"/v1/run", targ.TaskBody{Token: "x"})
	return stop, fleet.Await(ready, "the bare chain answers", func() bool { return c.call() == nil })
}
