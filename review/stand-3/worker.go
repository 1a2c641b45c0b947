package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHold     = time.Second           // max-hold-ms
	stopTime    = 20 * time.Millisecond // below stop-ms
	heartbeatMS = 1500
)

// worker is a stand-in of a worker, as PROTOCOL.md describes it under "Running tasks". It is sound
// unless the case makes it crash: it answers at once and in order.
type worker struct {
	name, appAddr, controlAddr, zone string
	rec                              *recorder
	onStart                          func(w *worker, task string)

	mu       sync.Mutex
	ended    *sync.Cond
	up       bool
	id       string
	born     time.Time
	cpu      int
	labels   []string
	seq      int
	fence    int64
	leaseEnd time.Time // zero if nothing runs under a lease yet
	runs     map[string]*taskRun
	highest  map[string]int // highest run that was stopped or has ended
	ends     [][]any
	seen     int
	server   *http.Server
}

type taskRun struct {
	number  int
	began   time.Time
	takes   time.Duration
	stopped time.Time
}

// orderBody is the body of the calls of a worker.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    int64  `json:"fencing-token"`
	Seen     int    `json:"seen-upto"`
	Wait     int64  `json:"wait-ms"`
}

// boot starts a life of the worker, of the given kind.
func (w *worker) boot(id string, cpu int, labels ...string) error {
	ln, err := net.Listen("tcp", w.appAddr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.up, w.id, w.born, w.cpu, w.labels, w.seq = true, id, time.Now(), cpu, labels, 0
	w.fence, w.leaseEnd = 0, time.Time{}
	w.runs, w.highest, w.ends, w.seen = map[string]*taskRun{}, map[string]int{}, nil, 0
	w.ended = sync.NewCond(&w.mu)
	w.server = &http.Server{Handler: lifeHandler{w, id}}
	srv, born := w.server, w.born
	w.mu.Unlock()
	w.rec.log("worker %s: life %s begins, labels %v", w.name, id, labels)
	go func() { _ = srv.Serve(ln) }()
	go w.tick(born)
	go w.beat(born)
	return nil
}

// alive reports whether the life that began at born goes on. The caller holds mu.
func (w *worker) alive(born time.Time) bool { return w.up && w.born.Equal(born) }

// beat sends a heartbeat at once, and then one every heartbeat-ms.
func (w *worker) beat(born time.Time) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		w.mu.Lock()
		if !w.alive(born) {
			w.mu.Unlock()
			return
		}
		w.seq++
		first := w.seq == 1
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": w.appAddr, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]int{"cpu": w.cpu, "mem-mb": 131072, "gpu": 0}, "labels": w.labels,
			"clock-ms": w.clock(), "seq": w.seq, "born": w.born.UnixMilli(),
		})
		url := "http://" + w.controlAddr + "/-/instances/" + w.id + "/heartbeat"
		w.mu.Unlock()
		resp, err := client.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			time.Sleep(100 * time.Millisecond) // the next daemon is called: there is one
			continue
		}
		_ = resp.Body.Close()
		if first {
			w.rec.log("worker %s: first heartbeat is answered %d", w.name, resp.StatusCode)
		}
		time.Sleep(heartbeatMS * time.Millisecond)
	}
}

// clock returns clock-ms. The caller holds mu.
func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// tick ends the runs whose time is over, that were stopped, or whose lease has lapsed.
func (w *worker) tick(born time.Time) {
	for {
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		if !w.alive(born) {
			w.mu.Unlock()
			return
		}
		w.endDue()
		w.mu.Unlock()
	}
}

func (w *worker) endDue() {
	now := time.Now()
	for task, r := range w.runs {
		how := ""
		switch {
		case !w.leaseEnd.IsZero() && now.After(w.leaseEnd):
			how = "lapsed"
		case !r.stopped.IsZero() && now.Sub(r.stopped) >= stopTime:
			how = "stopped"
		case now.Sub(r.began) >= r.takes:
			how = "done"
		default:
			continue
		}
		delete(w.runs, task)
		w.highest[task] = max(w.highest[task], r.number)
		w.ends = append(w.ends, []any{len(w.ends) + 1, task, r.number, how, ""})
		w.rec.log("worker %s: run %d of %s ends %s", w.name, r.number, task, how)
		w.ended.Broadcast()
	}
}

// lifeHandler serves the calls of one life of a worker.
type lifeHandler struct {
	w  *worker
	id string
}

func (h lifeHandler) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := h.w
	if r.URL.Path == "/health" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Gypsumlanding-Expect-Instance"); expected != "" && expected != h.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.id != h.id {
		panic(http.ErrAbortHandler)
	}
	w.endDue()
	if o.Fence < w.fence {
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/-/run-start":
		w.start(rw, o)
	case "/-/run-stop":
		if run := w.runs[o.Task]; run != nil && run.number == o.Run && run.stopped.IsZero() {
			run.stopped = time.Now()
		}
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		w.reply(rw, http.StatusOK, map[string]any{})
	case "/-/hold":
		w.hold(rw, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// extend extends the lease. The caller holds mu.
func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	end := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(maxHold); end.After(limit) {
		end = limit
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) start(rw http.ResponseWriter, o orderBody) {
	if run := w.runs[o.Task]; run != nil && run.number == o.Run {
		w.reply(rw, http.StatusOK, map[string]any{})
		return
	}
	switch {
	case o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case o.Deadline <= w.clock():
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	var spec struct {
		MS int64 `json:"ms"`
	}
	if err := json.Unmarshal([]byte(o.Spec), &spec); err != nil {
		w.reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.extend(o.Deadline)
	w.runs[o.Task] = &taskRun{number: o.Run, began: time.Now(), takes: time.Duration(spec.MS) * time.Millisecond}
	w.rec.log("worker %s: run %d of %s starts", w.name, o.Run, o.Task)
	if w.onStart != nil {
		w.onStart(w, o.Task)
	}
	w.reply(rw, http.StatusOK, map[string]any{})
}

func (w *worker) hold(rw http.ResponseWriter, o orderBody) {
	w.extend(o.Deadline)
	w.seen = max(w.seen, min(o.Seen, len(w.ends)))
	end, born := time.Now().Add(time.Duration(o.Wait)*time.Millisecond), w.born
	timer := time.AfterFunc(time.Until(end), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ended.Broadcast()
	})
	defer timer.Stop()
	for len(w.ends) == w.seen && time.Now().Before(end) && w.alive(born) {
		w.ended.Wait()
	}
	if !w.alive(born) {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for task, r := range w.runs {
		percent := min(100, int(100*time.Since(r.began)/max(r.takes, 1)))
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	ended := w.ends[w.seen:]
	ended = append([][]any{}, ended[:min(len(ended), 500)]...)
	w.reply(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// reply answers a call with the clock. The caller holds mu.
func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock-ms"], body["born"] = w.clock(), w.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// newWorkerID returns an id that no life has had.
func newWorkerID() string { return fmt.Sprintf("i-%x", time.Now().UnixNano()) }
