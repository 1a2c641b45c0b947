package psim

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	pollEvery = time.Millisecond
	maxLease  = time.Second // the longest that a target grants
	beatEvery = 200 * time.Millisecond
	drainTime = 2 * time.Second // within which a leaving target gets nothing new
)

// worker is a stand-in target. It carries out orders, leaves some unanswered if
// told to, and reports what must not be.
type worker struct {
	addr    string // its own
	control string // of the node beside it
	room    int    // thousandths of a core
	judge   *judge

	mu      sync.Mutex
	id      string
	born    time.Time
	seq     int
	leaving bool
	left    time.Time // since when it has said so
	rate    float64   // of its clock; 0 means 1
	fence   int64
	until   time.Time
	runs    map[string]*workerRun
	highest map[string]int
	ended   [][]any
	lose    float64 // share of the orders that get no answer; half are carried out
	fail    bool    // everything fails
}

type workerRun struct {
	number int
	cpu    int
	begun  time.Time
	ends   time.Time
}

// spec is what callers write into a job, for the stand-in to act on.
type spec struct {
	MS  int `json:"ms"`
	CPU int `json:"cpu"`
}

// reborn starts a new life, which knows nothing of the one before.
func (w *worker) reborn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.runs {
		w.judge.over(task, w.addr)
	}
	w.born = time.Now()
	w.id = fmt.Sprintf("i-%x", w.born.UnixNano())
	w.seq, w.fence, w.until, w.leaving, w.left = 0, 0, time.Time{}, false, time.Time{}
	w.runs, w.highest, w.ended = map[string]*workerRun{}, map[string]int{}, nil
}

// beat tells the node beside it of the worker.
func (w *worker) beat(client *http.Client) {
	w.mu.Lock()
	w.seq++
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	leaving := w.leaving
	text, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.addr, "zone": "z", "state": state, "seq": w.seq,
		"born": w.born.UnixMilli(), "capacity": map[string]int{"cpu": w.room, "mem-mb": 1 << 20},
	})
	id := w.id
	w.mu.Unlock()
	if err != nil {
		panic(err)
	}
	resp, err := client.Post("http://"+w.control+"/-/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(text))
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving && w.id == id && w.left.IsZero() {
		w.left = time.Now()
	}
}

// ServeHTTP serves the node's orders.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline-ms"`
		Fence    int64  `json:"fencing-token"`
		Seen     int64  `json:"seen-upto"`
		Wait     int    `json:"wait-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if expected := r.Header.Get("Gypsumlanding-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < w.fence {
		w.conflict(out, "fence")
		return
	}
	w.fence = o.Fence
	lost := rand.Float64() < w.lose
	if lost && rand.IntN(2) == 0 {
		w.hang(r)
		return
	}
	w.tidy()
	w.extend(o.Deadline)
	switch r.URL.Path {
	case "/-/run-start":
		if reason := w.start(o.Task, o.Run, o.Spec, o.Deadline); reason != "" {
			w.conflict(out, reason)
			return
		}
	case "/-/run-stop":
		w.stop(o.Task, o.Run)
	case "/-/hold":
		w.hold(out, o.Seen, time.Duration(o.Wait)*time.Millisecond, lost, r)
		return
	}
	if lost {
		w.hang(r)
		return
	}
	reply(out, map[string]any{"clock-ms": w.clock(), "born": w.born.UnixMilli()})
}

// hang leaves a call without an answer. The lock is released meanwhile.
func (w *worker) hang(r *http.Request) {
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
}

func (w *worker) conflict(out http.ResponseWriter, reason string) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(out).Encode(map[string]any{"clock-ms": w.clock(), "reason": reason})
}

func (w *worker) clock() int64 {
	return int64(cmp.Or(w.rate, 1)*float64(time.Since(w.born).Milliseconds())) + 1
}

// extend renews the lease up to a time on the worker's clock.
func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := w.born.Add(time.Duration(float64(deadline)/cmp.Or(w.rate, 1)) * time.Millisecond)
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if until.After(w.until) {
		w.until = until
	}
}

// start begins a run, or tells why it does not.
func (w *worker) start(task string, number int, text string, deadline int64) string {
	if r := w.runs[task]; r != nil && r.number == number {
		return ""
	}
	switch {
	case number <= w.highest[task]:
		return "old"
	case deadline <= w.clock():
		return "late"
	}
	if !w.left.IsZero() && time.Since(w.left) > drainTime {
		w.judge.fault("%s starts at %s %v after it said that it leaves", task, w.addr, time.Since(w.left))
	}
	var s spec
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		w.judge.fault("%s: a spec that nobody wrote: %q", task, text)
	}
	used := s.CPU
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.room {
		w.judge.fault("%s: %d of %d used at %s", task, used, w.room, w.addr)
	}
	w.judge.started(task, w.addr)
	now := time.Now()
	w.runs[task] = &workerRun{number: number, cpu: s.CPU, begun: now, ends: now.Add(time.Duration(s.MS) * time.Millisecond)}
	return ""
}

func (w *worker) stop(task string, number int) {
	if r := w.runs[task]; r != nil && r.number == number {
		w.end(task, r, "stopped")
	}
	w.highest[task] = max(w.highest[task], number)
}

// run ends runs and leases when they are due, whether the worker is called or
// not, until ctx ends.
func (w *worker) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(pollEvery)
		w.mu.Lock()
		w.tidy()
		w.mu.Unlock()
	}
}

// tidy ends what is due.
func (w *worker) tidy() {
	for task, r := range w.runs {
		switch {
		case !w.until.IsZero() && time.Now().After(w.until):
			w.end(task, r, "lapsed")
		case !time.Now().Before(r.ends) && w.fail:
			w.end(task, r, "failed")
		case !time.Now().Before(r.ends):
			w.end(task, r, "done")
		}
	}
}

func (w *worker) end(task string, r *workerRun, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.ended = append(w.ended, []any{len(w.ended) + 1, task, r.number, how, ""})
	w.judge.over(task, w.addr)
}

// hold lists the runs once there is an end that was not seen, or wait is over.
func (w *worker) hold(out http.ResponseWriter, seen int64, wait time.Duration, lost bool, r *http.Request) {
	limit := time.Now().Add(wait)
	for len(w.ended) <= int(seen) && time.Now().Before(limit) && r.Context().Err() == nil {
		w.mu.Unlock()
		time.Sleep(pollEvery)
		w.mu.Lock()
		w.tidy()
	}
	if lost {
		w.hang(r)
		return
	}
	running := [][]any{}
	for task, r := range w.runs {
		percent := 100 * int(time.Since(r.begun)) / max(1, int(r.ends.Sub(r.begun)))
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	reply(out, map[string]any{
		"clock-ms": w.clock(), "born": w.born.UnixMilli(),
		"running": running, "ended": w.ended[min(int(seen), len(w.ended)):],
	})
}
