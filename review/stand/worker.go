package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHoldMS     = 1000
	stopTime      = 40 * time.Millisecond // a stop takes so long, of stop-ms = 50 at most
	beatInterval  = 1500 * time.Millisecond
	workerTick    = time.Millisecond
	endsPerAnswer = 500
)

// workerSpec is what a life of a worker has.
type workerSpec struct {
	id     string
	labels []string
	cpu    int
	memMB  int
}

// worker is the place of a worker beside a node. It has one life at a time.
type worker struct {
	addr        string // app
	controlAddr string // of the node
	service     string
	rec         *recorder

	mu   sync.Mutex
	life *life // nil while it is down
}

// life is one life of a worker. It follows PROTOCOL.md.
type life struct {
	workerSpec
	w     *worker
	born  time.Time
	label string // for the record
	srv   *http.Server

	mu        sync.Mutex
	dead      bool
	beatSeq   int
	fence     int64
	leaseEnd  int64 // ms of its clock; 0 without a lease
	running   map[string]*workRun
	highest   map[string]int
	ends      [][]any
	forgotten int // ends up to this number are forgotten
	endNumber int
	wake      chan struct{}
}

type workRun struct {
	number  int
	started time.Time
	due     time.Time
	stopAt  time.Time // zero while no stop is wanted
	cpu     int
}

// taskSpec is what the text of a job says to workers.
type taskSpec struct {
	MS  int `json:"ms"`  // run time of a task
	CPU int `json:"cpu"` // of a task, for the record
}

// start begins a life.
func (w *worker) start(s workerSpec) error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	l := &life{workerSpec: s, w: w, born: time.Now(), running: map[string]*workRun{}, highest: map[string]int{}, wake: make(chan struct{})}
	l.label = fmt.Sprintf("%s/%d", s.id, l.born.UnixMilli()%1_000_000)
	l.srv = &http.Server{Handler: l}
	w.mu.Lock()
	w.life = l
	w.mu.Unlock()
	w.rec.add(event{kind: "worker-up", worker: l.label, detail: fmt.Sprintf("at %s labels %v cpu %d", w.addr, s.labels, s.cpu)})
	go func() { _ = l.srv.Serve(ln) }()
	go l.tickLoop()
	go l.beatLoop()
	return nil
}

func (w *worker) current() *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

// crash ends the life at once; it says nothing.
func (w *worker) crash() {
	w.mu.Lock()
	l := w.life
	w.life = nil
	w.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	l.dead = true
	for task := range l.running {
		l.end(task, "crashed")
	}
	l.mu.Unlock()
	_ = l.srv.Close()
	w.rec.add(event{kind: "worker-down", worker: l.label})
}

func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1 }

func (l *life) beatLoop() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		l.mu.Lock()
		if l.dead {
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		l.beat(client)
		time.Sleep(beatInterval)
	}
}

func (l *life) beat(client *http.Client) {
	l.mu.Lock()
	l.beatSeq++
	body, _ := json.Marshal(map[string]any{
		"service": l.w.service, "address": l.w.addr, "zone": "graz-nord", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": map[string]int{"cpu": l.cpu, "mem-mb": l.memMB, "gpu": 0}, "labels": l.labels,
		"clock-ms": l.clock(), "seq": l.beatSeq, "born": l.born.UnixMilli(),
	})
	l.mu.Unlock()
	resp, err := client.Post("http://"+l.w.controlAddr+"/-/instances/"+l.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		l.w.rec.add(event{kind: "beat", worker: l.label, detail: "no answer"})
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		l.w.rec.add(event{kind: "beat", worker: l.label, n: resp.StatusCode, detail: "ready"})
	}
}

func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline-ms"`
		Fence    int64  `json:"fencing-token"`
		Seen     int    `json:"seen-upto"`
		Wait     int    `json:"wait-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(400)
		return
	}
	if want := r.Header.Get("Gypsumlanding-Expect-Instance"); want != "" && want != l.id {
		w.WriteHeader(421)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return
	}
	if o.Fence < l.fence {
		l.refuse(w, o.Task, o.Run, "fence")
		return
	}
	l.fence = o.Fence
	l.endDue()
	switch r.URL.Path {
	case "/-/run-start":
		if x := l.running[o.Task]; x != nil && x.number == o.Run {
			l.renew(o.Deadline)
			break
		}
		if o.Deadline <= l.clock() {
			l.refuse(w, o.Task, o.Run, "late")
			return
		}
		l.renew(o.Deadline)
		if o.Run <= l.highest[o.Task] {
			l.refuse(w, o.Task, o.Run, "old")
			return
		}
		var s taskSpec
		_ = json.Unmarshal([]byte(o.Spec), &s)
		now := time.Now()
		if l.running[o.Task] != nil {
			l.end(o.Task, "replaced")
		}
		l.running[o.Task] = &workRun{number: o.Run, started: now, due: now.Add(time.Duration(s.MS) * time.Millisecond), cpu: s.CPU}
		l.w.rec.add(event{kind: "start", job: jobOf(o.Task), task: o.Task, run: o.Run, worker: l.label, detail: o.Spec})
	case "/-/run-stop":
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if x := l.running[o.Task]; x != nil && x.number == o.Run && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
		}
	case "/-/hold":
		l.renew(o.Deadline)
		for l.forgotten < min(o.Seen, l.endNumber) {
			l.forgotten++
			l.ends = l.ends[1:]
		}
		until := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		for len(l.ends) == 0 && time.Now().Before(until) && r.Context().Err() == nil && !l.dead {
			wake := l.wake
			l.mu.Unlock()
			select {
			case <-wake:
			case <-time.After(time.Until(until)):
			case <-r.Context().Done():
			}
			l.mu.Lock()
		}
		if l.dead {
			return
		}
		running := [][]any{}
		for task, x := range l.running {
			percent := 100 * int(time.Since(x.started)) / max(1, int(x.due.Sub(x.started)))
			running = append(running, []any{task, x.number, "", min(percent, 99), x.cpu})
		}
		writeJSON(w, 200, map[string]any{
			"clock-ms": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended": l.ends[:min(len(l.ends), endsPerAnswer)],
		})
		return
	default:
		w.WriteHeader(404)
		return
	}
	writeJSON(w, 200, map[string]any{"clock-ms": l.clock()})
}

func (l *life) refuse(w http.ResponseWriter, task string, run int, reason string) {
	l.w.rec.add(event{kind: "rejected", job: jobOf(task), task: task, run: run, worker: l.label, detail: reason})
	writeJSON(w, 409, map[string]any{"clock-ms": l.clock(), "reason": reason})
}

func (l *life) renew(deadline int64) {
	if deadline > 0 {
		l.leaseEnd = max(l.leaseEnd, min(deadline, l.clock()+maxHoldMS))
	}
}

func (l *life) tickLoop() {
	for {
		time.Sleep(workerTick)
		l.mu.Lock()
		if l.dead {
			l.mu.Unlock()
			return
		}
		l.endDue()
		l.mu.Unlock()
	}
}

// endDue ends what is due, stopped or without a lease.
func (l *life) endDue() {
	now := time.Now()
	lapsed := l.leaseEnd > 0 && l.clock() > l.leaseEnd
	for task, x := range l.running {
		switch {
		case !x.stopAt.IsZero() && !now.Before(x.stopAt):
			l.end(task, "stopped")
		case lapsed:
			l.end(task, "lapsed")
		case !now.Before(x.due):
			l.end(task, "done")
		}
	}
}

func (l *life) end(task, how string) {
	x := l.running[task]
	delete(l.running, task)
	l.highest[task] = max(l.highest[task], x.number)
	l.endNumber++
	l.ends = append(l.ends, []any{l.endNumber, task, x.number, how, ""})
	l.w.rec.add(event{kind: "end", job: jobOf(task), task: task, run: x.number, worker: l.label, detail: how})
	close(l.wake)
	l.wake = make(chan struct{})
}

func jobOf(task string) string {
	for i := range task {
		if task[i] == '.' {
			return task[:i]
		}
	}
	return task
}
