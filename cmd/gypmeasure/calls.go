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
	lowCalls    = 2000            // calls one after the other at low load
	fullTime    = 3 * time.Second // of each side at full load
	fullCallers = 48
)

// one is a fleet of one entry, one node and one target with slots for all.
var one = fleet.Options{Entries: 1, Nodes: 1, Slots: fullCallers}

type overheadDoc struct {
	DirectP50 float64 `json:"direct_p50_us"`
	DirectP99 float64 `json:"direct_p99_us"`
	SystemP50 float64 `json:"system_p50_us"`
	SystemP99 float64 `json:"system_p99_us"`
}

type throughputDoc struct {
	Chain  float64 `json:"chain_per_s"`
	System float64 `json:"system_per_s"`
	Share  float64 `json:"share"`
}

// caller posts one body to one URL over kept connections.
type caller struct {
	client *http.Client
	url    string
	body   []byte
}

func newCaller(url string, body any) *caller {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: fullCallers}
	return &caller{client: &http.Client{Transport: transport}, url: url, body: text}
}

func (c *caller) call() error {
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

func direct(f *fleet.Fleet) *caller {
	return newCaller("http://"+f.Addr("t1.http")+"/v1/run", targ.TaskBody{Token: "x"})
}

func throughSystem(f *fleet.Fleet) *caller {
	return newCaller(f.EntryURLs()[0]+"/v1/jobs", map[string]any{
		"entry": "plan", "tasks": []targ.TaskBody{{Token: "x"}},
	})
}

// overhead compares calls one after the other, direct and through the system.
func overhead(ctx context.Context, bin string) (any, error) {
	var doc overheadDoc
	err := withFleet(ctx, bin, one, func(f *fleet.Fleet) error {
		var err error
		if doc.DirectP50, doc.DirectP99, err = quantiles(direct(f)); err != nil {
			return err
		}
		doc.SystemP50, doc.SystemP99, err = quantiles(throughSystem(f))
		return err
	})
	return doc, err
}

func quantiles(c *caller) (p50, p99 float64, err error) {
	times := make([]float64, 0, lowCalls)
	for range lowCalls {
		began := time.Now()
		if err := c.call(); err != nil {
			return 0, 0, err
		}
		times = append(times, float64(time.Since(began).Microseconds()))
	}
	slices.Sort(times)
	return times[lowCalls/2], times[lowCalls*99/100], nil
}

// throughput compares empty tasks a second through the system with a bare chain
// of processes: HTTP, net/rpc, HTTP.
func throughput(ctx context.Context, bin string) (any, error) {
	var doc throughputDoc
	err := withFleet(ctx, bin, one, func(f *fleet.Fleet) error {
		stop, err := startChain(ctx, bin, f)
		if err != nil {
			return err
		}
		defer stop()
		if doc.Chain, err = rate(newCaller("http://"+f.Addr("front")+"/v1/run", targ.TaskBody{Token: "x"})); err != nil {
			return err
		}
		doc.System, err = rate(throughSystem(f))
		doc.Share = doc.System / doc.Chain
		return err
	})
	return doc, err
}

func rate(c *caller) (float64, error) {
	var wg sync.WaitGroup
	counts := make([]int, fullCallers)
	errs := make([]error, fullCallers)
	end := time.Now().Add(fullTime)
	for i := range fullCallers {
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
	return float64(sum) / fullTime.Seconds(), nil
}

// startChain starts the two processes of the bare chain before the target.
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
	c := newCaller("http://"+f.Addr("front")+"/v1/run", targ.TaskBody{Token: "x"})
	return stop, fleet.Await(ready, "the bare chain answers", func() bool { return c.call() == nil })
}
