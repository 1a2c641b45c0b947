package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/stand/fleet"
)

const (
	idleTime   = 5 * time.Second
	clockTicks = 100 // a second, as Linux counts processor time for programs
)

type idleDoc struct {
	NodeMB    float64 `json:"node_mb"`
	NodeCore  float64 `json:"node_core_percent"`
	EntryMB   float64 `json:"entry_mb"`
	EntryCore float64 `json:"entry_core_percent"`
}

// idle reads what the daemons of an idle fleet of today's size use.
func idle(ctx context.Context, bin string) (any, error) {
	var doc idleDoc
	err := withFleet(ctx, bin, fleet.Options{}, func(f *fleet.Fleet) error {
		var err error
		if doc.NodeMB, doc.NodeCore, err = use(f, f.Names("n")); err != nil {
			return err
		}
		doc.EntryMB, doc.EntryCore, err = use(f, f.Names("e"))
		return err
	})
	return doc, err
}

// use returns the largest resident memory of the named processes, in MB, and
// their mean share of a core over idleTime, in percent.
func use(f *fleet.Fleet, names []string) (mb, core float64, err error) {
	before := map[string]float64{}
	for _, name := range names {
		if before[name], err = processor(f, name); err != nil {
			return 0, 0, err
		}
	}
	time.Sleep(idleTime)
	for _, name := range names {
		after, err := processor(f, name)
		if err != nil {
			return 0, 0, err
		}
		core += 100 * (after - before[name]) / idleTime.Seconds() / float64(len(names))
		size, err := resident(f, name)
		if err != nil {
			return 0, 0, err
		}
		mb = max(mb, size)
	}
	return mb, core, nil
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
