package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// event is something that clients, workers or the platform saw.
type event struct {
	at     time.Duration // since the start of the scenario
	kind   string        // such as "sent", "answered", "start", "end", "trouble"
	job    string
	task   string
	run    int
	worker string // life of a worker
	detail string
	n      int // number that goes with the kind, such as a status or the end of a start
}

// recorder collects events. It is safe for concurrent use.
type recorder struct {
	begin time.Time
	mu    sync.Mutex
	list  []event
}

func (r *recorder) add(e event) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = time.Since(r.begin)
	r.list = append(r.list, e)
	return e.at
}

func (r *recorder) note(kind, format string, args ...any) time.Duration {
	return r.add(event{kind: kind, detail: fmt.Sprintf(format, args...)})
}

// events returns a copy of all events in the order of their times.
func (r *recorder) events() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append([]event{}, r.list...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// write writes the events and the verdict to path.
func (r *recorder) write(path string, verdict []string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, e := range r.events() {
		fmt.Fprintf(f, "%8.3f s  %-10s", e.at.Seconds(), e.kind)
		if e.job != "" {
			fmt.Fprintf(f, " job %s", e.job)
		}
		if e.task != "" {
			fmt.Fprintf(f, " task %s run %d", e.task, e.run)
		}
		if e.worker != "" {
			fmt.Fprintf(f, " worker %s", e.worker)
		}
		if e.n != 0 {
			fmt.Fprintf(f, " %d", e.n)
		}
		fmt.Fprintf(f, " %s\n", e.detail)
	}
	for _, v := range verdict {
		fmt.Fprintln(f, v)
	}
	return f.Close()
}
