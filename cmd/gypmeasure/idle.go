package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
)

const (
	idleTime   = 5 * time.Second
	clockTicks = 100 // a second, as Linux counts processor time for programs
)

// idleDoc is what the daemons of an idle fleet use.
type idleDoc struct {
	Nodes int     `json:"nodes"`
	Node  useDoc  `json:"node"`
	Entry useDoc  `json:"entry"`
	Reads float64 `json:"table_reads_per_s"`
}

// useDoc is the largest resident memory of one kind of daemon, and its mean
// share of a core and traffic with the system's other processes.
type useDoc struct {
	MB    float64 `json:"mb"`
	Core  float64 `json:"core_percent"`
	Bytes float64 `json:"bytes_per_s"`
}

// reading is one look at one process.
type reading struct{ seconds, bytes, mb float64 }

// idle returns the measurement of an idle fleet of n nodes.
func idle(n int) func(ctx context.Context, bin string) (any, error) {
	return func(ctx context.Context, bin string) (any, error) {
		doc := idleDoc{Nodes: n}
		err := withFleet(ctx, bin, fleet.Options{Nodes: n}, func(f *fleet.Fleet) error {
			names := slices.Concat(f.ProcNames("n"), f.ProcNames("e"))
			before, err := readAll(ctx, f, names)
			if err != nil {
				return err
			}
			reads := f.Counters(ctx, "e")["table.reads"]
			time.Sleep(idleTime)
			after, err := readAll(ctx, f, names)
			if err != nil {
				return err
			}
			doc.Reads = float64(f.Counters(ctx, "e")["table.reads"]-reads) / idleTime.Seconds()
			doc.Node = mean(f.ProcNames("n"), before, after)
			doc.Entry = mean(f.ProcNames("e"), before, after)
			return nil
		})
		return doc, err
	}
}

func mean(names []string, before, after map[string]reading) useDoc {
	var doc useDoc
	for _, name := range names {
		share := idleTime.Seconds() * float64(len(names))
		doc.Core += 100 * (after[name].seconds - before[name].seconds) / share
		doc.Bytes += (after[name].bytes - before[name].bytes) / share
		doc.MB = max(doc.MB, after[name].mb)
	}
	return doc
}

func readAll(ctx context.Context, f *fleet.Fleet, names []string) (map[string]reading, error) {
	all := map[string]reading{}
	for _, name := range names {
		seconds, err := processor(f, name)
		if err != nil {
			return nil, err
		}
		mb, err := resident(f, name)
		if err != nil {
			return nil, err
		}
		var metrics struct {
			Wire struct {
				Value float64 `json:"value"`
			} `json:"wire.bytes"`
		}
		if err := f.Get(ctx, name+".http", "/metrics", &metrics); err != nil {
			return nil, err
		}
		all[name] = reading{seconds: seconds, mb: mb, bytes: metrics.Wire.Value}
	}
	return all, nil
}

// processor returns the processor time of a process, in seconds.
func processor(f *fleet.Fleet, name string) (float64, error) {
	text, err := procFile(f, name, "stat")
	if err != nil {
		return 0, err
	}
	const user, system = 11, 12 // fields after the program's name
	fields := strings.Fields(text[strings.LastIndex(text, ")")+2:])
	u, err := strconv.ParseFloat(fields[user], 64)
	if err != nil {
		return 0, err
	}
	s, err := strconv.ParseFloat(fields[system], 64)
	return (u + s) / clockTicks, err
}

// resident returns the resident memory of a process, in MB.
func resident(f *fleet.Fleet, name string) (float64, error) {
	text, err := procFile(f, name, "status")
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(text, "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s shows no resident memory", name)
	}
	kb, err := strconv.ParseFloat(fields[0], 64)
	return kb / 1024, err
}

func procFile(f *fleet.Fleet, name, file string) (string, error) {
	p, ok := f.Proc(name)
	if !ok {
		return "", fmt.Errorf("%s does not run", name)
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.Pid(), file))
	return string(text), err
}
