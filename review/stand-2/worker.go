package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = time.Second
	heartbeatTime = 1500 * time.Millisecond
)

// spec is what a job says of its tasks. Only the workers read it.
type spec struct {
	MS   []int  `json:"ms"`             // work of a task, by step
	Need string `json:"need,omitempty"` // label that the job requires
	Most int    `json:"most,omitempty"` // most tasks of a step on one worker
}

// started is a task that a worker has begun.
type started struct {
	at     time.Time
	task   string
	worker string
}

// worker is a sound worker, as PROTOCOL.md describes it. A call that it has received before a crash and not
// carried out is lost with it.
type worker struct {
	name, addr, control string
	service, zone, rack string
	cpu                 int
	rec                 *record
	onBreak             func(text string) // the worker has seen that a rule is broken

	mu      sync.Mutex
	life    int
	down    bool // it has crashed and is not back
	id      string
	kind    string
	born    time.Time
	server  *http.Server
	stop    chan struct{} // closed at the crash
	seq     int
	fence   int64
	lease   time.Time
	runs    map[string]*run // by task
	highest map[string]int  // highest run that was stopped or has ended, by task
	ended   [][]any
	seen    int64 // ends up to it are forgotten
	nextEnd int64
	changed chan struct{}
	starts  []started
}

// run is a run of a task in progress.
type run struct {
	number     int
	begun, due time.Time
	stopAt     time.Time
}

// up starts a new life of the worker, of the given kind.
func (w *worker) up(kind string) error {
	ln, err := net.Listen("tcp", w.addr)
	for i := 0; err != nil && i < 100; i++ {
		time.Sleep(5 * time.Millisecond)
		ln, err = net.Listen("tcp", w.addr)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.life++
	w.down, w.born, w.kind = false, time.Now(), kind
	w.id = fmt.Sprintf("i-%s-%d-%x", w.name, w.life, w.born.UnixNano())
	w.seq, w.fence, w.lease, w.seen, w.nextEnd = 0, 0, time.Time{}, 0, 1
	w.runs, w.highest, w.ended, w.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	w.stop = make(chan struct{})
	w.server = &http.Server{Handler: w}
	server, stop, life := w.server, w.stop, w.life
	w.mu.Unlock()
	w.rec.add("worker %s starts, kind %s", w.name, kind)
	go func() { _ = server.Serve(ln) }()
	go w.tick(stop)
	go w.heartbeats(stop, life)
	return nil
}

// crash ends the life of the worker and all that runs there.
func (w *worker) crash() {
	w.mu.Lock()
	close(w.stop)
	server, n := w.server, len(w.runs)
	w.runs, w.down = map[string]*run{}, true
	w.life++ // nothing that this life has received is carried out any more
	w.mu.Unlock()
	_ = server.Close()
	w.rec.add("worker %s crashes with %d runs", w.name, n)
}

// heartbeats sends the pings of one life.
func (w *worker) heartbeats(stop chan struct{}, life int) {
	client := &http.Client{Timeout: time.Second}
	for {
		w.mu.Lock()
		w.seq++
		body, err := json.Marshal(map[string]any{
			"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]int{"cpu": w.cpu, "mem-mb": 131072, "gpu": 0}, "labels": []string{w.kind, w.rack},
			"clock-ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		id, current := w.id, w.life
		w.mu.Unlock()
		if err != nil || current != life {
			return
		}
		resp, err := client.Post("http://"+w.control+"/-/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		pause := heartbeatTime
		if err != nil || resp.StatusCode/100 != 2 {
			pause = 200 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

// clock returns the steady clock of the worker. The caller holds mu.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// tick ends runs in time.
func (w *worker) tick(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		w.mu.Lock()
		w.endDue()
		w.mu.Unlock()
	}
}

// endDue ends the runs that are done, stopped or without a lease. The caller holds mu.
func (w *worker) endDue() {
	now := time.Now()
	for task, r := range w.runs {
		switch {
		case now.After(w.lease):
			w.end(task, r, "lapsed")
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.end(task, r, "stopped")
		case !now.Before(r.due):
			w.end(task, r, "done")
		}
	}
}

func (w *worker) end(task string, r *run, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.ended = append(w.ended, []any{w.nextEnd, task, r.number, how, ""})
	w.nextEnd++
	close(w.changed)
	w.changed = make(chan struct{})
	w.rec.add("worker %s: run %d of %s ends %s", w.name, r.number, task, how)
}

// order is the body of a call of the dispatcher.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fencing-token"`
	Seen     int64  `json:"seen-upto"`
	Wait     int    `json:"wait-ms"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	life := w.life
	if w.down {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Gypsumlanding-Expect-Instance"); want != "" && want != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.endDue()
	reason := ""
	if o.Fence < w.fence {
		reason = "fence"
	} else {
		w.fence = o.Fence
		w.extend(o.Deadline)
		switch r.URL.Path {
		case "/-/run-start":
			reason = w.startRun(o)
		case "/-/run-stop":
			w.stopRun(o)
		case "/-/hold":
			w.seen = max(w.seen, o.Seen)
		}
	}
	body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()}
	w.mu.Unlock()
	switch {
	case reason != "":
		body["reason"] = reason
		sendJSON(rw, http.StatusConflict, body)
	case r.URL.Path == "/-/hold":
		w.hold(rw, r, o, life)
	default:
		sendJSON(rw, http.StatusOK, body)
	}
}

// extend extends the lease to a time of the worker's clock. The caller holds mu.
func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	end := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if most := time.Now().Add(maxHold); end.After(most) {
		end = most
	}
	if end.After(w.lease) {
		w.lease = end
	}
}

// startRun starts a run or returns why not. The caller holds mu.
func (w *worker) startRun(o order) string {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case o.Run <= w.highest[o.Task]:
		return "old"
	case o.Deadline <= w.clock():
		return "late"
	}
	var s spec
	if err := json.Unmarshal([]byte(o.Spec), &s); err != nil {
		w.onBreak("worker " + w.name + " is told to start another spec: " + o.Spec)
	}
	w.rec.add("worker %s (kind %s, %d ms old) starts run %d of %s", w.name, w.kind, time.Since(w.born).Milliseconds(), o.Run, o.Task)
	w.starts = append(w.starts, started{time.Now(), o.Task, w.name})
	parts := strings.Split(o.Task, ".")
	step := 0
	_, _ = fmt.Sscan(parts[2], &step)
	if s.Need != "" && !slices.Contains([]string{w.kind, w.rack}, s.Need) {
		w.onBreak(fmt.Sprintf("%s requires label %q and starts on worker %s, whose labels are %q and %q", o.Task, s.Need, w.name, w.kind, w.rack))
	}
	ofStep := 1
	for task := range w.runs {
		if strings.HasPrefix(task, strings.Join(parts[:3], ".")+".") && task != o.Task {
			ofStep++
		}
	}
	if s.Most > 0 && ofStep > s.Most {
		w.onBreak(fmt.Sprintf("%s is task %d of its step on worker %s, of %d at most", o.Task, ofStep, w.name, s.Most))
	}
	now := time.Now()
	w.runs[o.Task] = &run{number: o.Run, begun: now, due: now.Add(time.Duration(s.MS[step]) * time.Millisecond)}
	return ""
}

// stopRun begins to stop a run. The caller holds mu.
func (w *worker) stopRun(o order) {
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(10 * time.Millisecond)
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
}

// hold answers a poll when there is an end that the caller has not seen, or its wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order, life int) {
	over := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
	defer over.Stop()
	for waiting := o.Wait > 0; ; {
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			panic(http.ErrAbortHandler) // the channel ends with the worker
		}
		w.endDue()
		running, ended := [][]any{}, [][]any{}
		for task, r := range w.runs {
			percent := 100 * int64(time.Since(r.begun)) / max(1, int64(r.due.Sub(r.begun)))
			running = append(running, []any{task, r.number, "", min(percent, 100), 0})
		}
		for _, e := range w.ended {
			if n, ok := e[0].(int64); ok && n > w.seen && len(ended) < 500 {
				ended = append(ended, e)
			}
		}
		body := map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended}
		changed := w.changed
		w.mu.Unlock()
		if len(ended) > 0 || !waiting {
			sendJSON(rw, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-over.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// startsOf returns the starts of tasks of a job.
func (w *worker) startsOf(job string) []started {
	w.mu.Lock()
	defer w.mu.Unlock()
	var of []started
	for _, s := range w.starts {
		if strings.HasPrefix(s.task, job+".") {
			of = append(of, s)
		}
	}
	return of
}
