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
	// idleTime is the time between the two samples of each process.
	idleTime            = 5 * time.Second
	clockTicksPerSecond = 100 // unit of CPU time in /proc/PID/stat on Linux
)

// idleDoc is the use of resources by the daemons of an idle fleet.
type idleDoc struct {
	Nodes         int      `json:"nodes"`
	Node          usageDoc `json:"node"`
	Entry         usageDoc `json:"entry"`
	TableReadRate float64  `json:"table_reads_per_s"` // by all entries together
}

// usageDoc is the use of resources by the daemons of one kind: the largest resident memory
// of any, and the mean CPU time and traffic with other processes of the system.
type usageDoc struct {
	ResidentMB   float64 `json:"mb"`
	CPUPercent   float64 `json:"core_percent"` // of one core
	WireByteRate float64 `json:"bytes_per_s"`
}

// usageSample is a sample of the use of resources by one process. CPU time and bytes are
// totals since its start.
type usageSample struct{ cpuSeconds, wireBytes, residentMB float64 }

// measureIdle returns the measurement of an idle fleet with n nodes.
func measureIdle(n int) func(ctx context.Context, bin string) (any, error) {
	return func(ctx context.Context, bin string) (any, error) {
		doc := idleDoc{Nodes: n}
		err := withFleet(ctx, bin, fleet.Options{Nodes: n}, func(f *fleet.Fleet) error {
			names := slices.Concat(f.ProcNames("n"), f.ProcNames("e"))
			before, err := sampleAll(ctx, f, names)
			if err != nil {
				return err
			}
			readsBefore := f.Counters(ctx, "e")["table.reads"]
			time.Sleep(idleTime)
			after, err := sampleAll(ctx, f, names)
			if err != nil {
				return err
			}
			doc.TableReadRate = float64(f.Counters(ctx, "e")["table.reads"]-readsBefore) / idleTime.Seconds()
			doc.Node = summarizeUsage(f.ProcNames("n"), before, after)
			doc.Entry = summarizeUsage(f.ProcNames("e"), before, after)
			return nil
		})
		return doc, err
	}
}

// summarizeUsage returns the use of resources by the named processes between two samples
// that were taken idleTime apart.
func summarizeUsage(names []string, before, after map[string]usageSample) usageDoc {
	var doc usageDoc
	for _, name := range names {
		share := idleTime.Seconds() * float64(len(names))
		doc.CPUPercent += 100 * (after[name].cpuSeconds - before[name].cpuSeconds) / share
		doc.WireByteRate += (after[name].wireBytes - before[name].wireBytes) / share
		doc.ResidentMB = max(doc.ResidentMB, after[name].residentMB)
	}
	return doc
}

// sampleAll returns a sample of each named process.
func sampleAll(ctx context.Context, f *fleet.Fleet, names []string) (map[string]usageSample, error) {
	samples := map[string]usageSample{}
	for _, name := range names {
		cpuSeconds, err := readCPUTime(f, name)
		if err != nil {
			return nil, err
		}
		residentMB, err := readResidentMB(f, name)
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
		samples[name] = usageSample{cpuSeconds: cpuSeconds, residentMB: residentMB, wireBytes: metrics.Wire.Value}
	}
	return samples, nil
}

// readCPUTime returns the CPU time of a process in seconds.
func readCPUTime(f *fleet.Fleet, name string) (float64, error) {
	text, err := readProcFile(f, name, "stat")
	if err != nil {
		return 0, err
	}
	const user, system = 11, 12 // indices of the fields utime and stime after the program's name
	fields := strings.Fields(text[strings.LastIndex(text, ")")+2:])
	u, err := strconv.ParseFloat(fields[user], 64)
	if err != nil {
		return 0, err
	}
	s, err := strconv.ParseFloat(fields[system], 64)
	return (u + s) / clockTicksPerSecond, err
}

// readResidentMB returns the resident memory of a process in MB.
func readResidentMB(f *fleet.Fleet, name string) (float64, error) {
	text, err := readProcFile(f, name, "status")
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(text, "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s has no resident memory in /proc", name)
	}
	kb, err := strconv.ParseFloat(fields[0], 64)
	return kb / 1024, err
}

// readProcFile returns the content of a file in the /proc folder of a running process.
func readProcFile(f *fleet.Fleet, name, file string) (string, error) {
	p, ok := f.Proc(name)
	if !ok {
		return "", fmt.Errorf("%s is not running", name)
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.Pid(), file))
	return string(text), err
}
