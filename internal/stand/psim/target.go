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
	checkInterval     = time.Millisecond
	maxLease          = time.Second // longest lease that a target accepts
	heartbeatInterval = 200 * time.Millisecond
	// maxDrainDelay is how long a target may still get orders to start tasks after it
	// has reported that it drains.
	maxDrainDelay = 2 * time.Second
)

// target simulates one of the platform's targets. It executes the orders of its
// node, leaves some unanswered if so configured, and reports violations of the
// dispatcher's guarantees to the checker.
type target struct {
	addr        string // at which the node reaches the target
	controlAddr string // of the node on the same host
	milliCPU    int    // capacity in thousandths of a core
	checker     *checker

	mu              sync.Mutex
	incarnationID   string
	startedAt       time.Time
	heartbeatSeq    int
	draining        bool
	drainSentAt     time.Time       // when a heartbeat first reported draining
	clockRate       float64         // speed of its clock relative to real time; 0 means 1
	fence           int64           // highest fencing token received
	leaseEnd        time.Time       // when all runs end; zero before the first lease
	runs            map[string]*run // by task
	highestRun      map[string]int  // highest run number that ended or was stopped, by task
	ends            [][]any         // ended runs in order, as listed to the node
	unansweredShare float64         // share of orders without an answer; half of them are executed
	failTasks       bool            // all tasks fail
}

// run is a run of a task.
type run struct {
	number    int // counts the runs of the task
	milliCPU  int // thousandths of a core in use
	startedAt time.Time
	dueAt     time.Time // when the run ends by itself
}

// jobSpec is the part of a job that only targets read: what each task does.
type jobSpec struct {
	RunTimeMS int `json:"ms"`
	MilliCPU  int `json:"cpu"` // thousandths of a core
}

// restart begins a new incarnation, which keeps nothing of the previous one.
func (t *target) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task := range t.runs {
		t.checker.taskEnded(task, t.addr)
	}
	t.startedAt = time.Now()
	t.incarnationID = fmt.Sprintf("i-%x", t.startedAt.UnixNano())
	t.heartbeatSeq, t.fence, t.leaseEnd, t.draining, t.drainSentAt = 0, 0, time.Time{}, false, time.Time{}
	t.runs, t.highestRun, t.ends = map[string]*run{}, map[string]int{}, nil
}

// sendHeartbeat reports the target's state and capacity to its node.
func (t *target) sendHeartbeat(client *http.Client) {
	t.mu.Lock()
	t.heartbeatSeq++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	draining := t.draining
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": t.addr, "zone": "z", "state": state, "seq": t.heartbeatSeq,
		"born": t.startedAt.UnixMilli(), "capacity": map[string]int{"cpu": t.milliCPU, "mem-mb": 1 << 20},
	})
	incarnationID := t.incarnationID
	t.mu.Unlock()
	if err != nil {
		panic(err)
	}
	resp, err := client.Post("http://"+t.controlAddr+"/-/instances/"+incarnationID+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	if draining && t.incarnationID == incarnationID && t.drainSentAt.IsZero() {
		t.drainSentAt = time.Now()
	}
}

// ServeHTTP executes an order of the node, or answers its long poll.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Task       string `json:"task"`
		Run        int    `json:"run"`
		SpecText   string `json:"spec"`
		DeadlineMS int64  `json:"deadline-ms"`
		Fence      int64  `json:"fencing-token"`
		SeenUpTo   int64  `json:"seen-upto"`
		WaitMS     int    `json:"wait-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if expected := r.Header.Get("Gypsumlanding-Expect-Instance"); expected != "" && expected != t.incarnationID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if order.Fence < t.fence {
		t.sendConflict(w, "fence")
		return
	}
	t.fence = order.Fence
	unanswered := rand.Float64() < t.unansweredShare
	if unanswered && rand.IntN(2) == 0 {
		t.leaveUnanswered(r)
		return
	}
	t.endDueRuns()
	t.renewLease(order.DeadlineMS)
	switch r.URL.Path {
	case "/-/run-start":
		if reason := t.startRun(order.Task, order.Run, order.SpecText, order.DeadlineMS); reason != "" {
			t.sendConflict(w, reason)
			return
		}
	case "/-/run-stop":
		t.stopRun(order.Task, order.Run)
	case "/-/hold":
		t.sendListing(w, order.SeenUpTo, time.Duration(order.WaitMS)*time.Millisecond, unanswered, r)
		return
	}
	if unanswered {
		t.leaveUnanswered(r)
		return
	}
	writeJSON(w, map[string]any{"clock-ms": t.clockMS(), "born": t.startedAt.UnixMilli()})
}

// leaveUnanswered blocks until the caller gives up. The caller holds mu, which is
// released meanwhile.
func (t *target) leaveUnanswered(r *http.Request) {
	t.mu.Unlock()
	<-r.Context().Done()
	t.mu.Lock()
}

func (t *target) sendConflict(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]any{"clock-ms": t.clockMS(), "reason": reason})
}

// clockMS returns the time of the target's clock in ms, which is at least 1.
func (t *target) clockMS() int64 {
	return int64(cmp.Or(t.clockRate, 1)*float64(time.Since(t.startedAt).Milliseconds())) + 1
}

// renewLease extends the lease to a time of the target's clock in ms, but not beyond
// maxLease from now. It never shortens the lease; 0 leaves it as it is.
func (t *target) renewLease(deadlineMS int64) {
	if deadlineMS == 0 {
		return
	}
	leaseEnd := t.startedAt.Add(time.Duration(float64(deadlineMS)/cmp.Or(t.clockRate, 1)) * time.Millisecond)
	if maxEnd := time.Now().Add(maxLease); leaseEnd.After(maxEnd) {
		leaseEnd = maxEnd
	}
	if leaseEnd.After(t.leaseEnd) {
		t.leaseEnd = leaseEnd
	}
}

// startRun starts a run of a task and returns the empty string, or the reason for
// the refusal. A run that is already running is left as it is.
func (t *target) startRun(task string, number int, specText string, deadlineMS int64) string {
	if r := t.runs[task]; r != nil && r.number == number {
		return ""
	}
	switch {
	case number <= t.highestRun[task]:
		return "old"
	case deadlineMS <= t.clockMS():
		return "late"
	}
	if !t.drainSentAt.IsZero() && time.Since(t.drainSentAt) > maxDrainDelay {
		t.checker.addViolation("task %s starts at %s %v after the target reported that it drains", task, t.addr, time.Since(t.drainSentAt))
	}
	var spec jobSpec
	if err := json.Unmarshal([]byte(specText), &spec); err != nil {
		t.checker.addViolation("task %s: malformed spec %q", task, specText)
	}
	usedMilliCPU := spec.MilliCPU
	for _, r := range t.runs {
		usedMilliCPU += r.milliCPU
	}
	if usedMilliCPU > t.milliCPU {
		t.checker.addViolation("task %s: %d of %d thousandths of a core in use at %s", task, usedMilliCPU, t.milliCPU, t.addr)
	}
	t.checker.taskStarted(task, t.addr)
	now := time.Now()
	t.runs[task] = &run{number: number, milliCPU: spec.MilliCPU, startedAt: now, dueAt: now.Add(time.Duration(spec.RunTimeMS) * time.Millisecond)}
	return ""
}

func (t *target) stopRun(task string, number int) {
	if r := t.runs[task]; r != nil && r.number == number {
		t.endRun(task, r, "stopped")
	}
	t.highestRun[task] = max(t.highestRun[task], number)
}

// endRunsLoop ends runs when they are due or the lease lapses, also while the target
// gets no orders, until ctx ends.
func (t *target) endRunsLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkInterval)
		t.mu.Lock()
		t.endDueRuns()
		t.mu.Unlock()
	}
}

// endDueRuns ends the runs whose time is over, and all runs once the lease has
// lapsed.
func (t *target) endDueRuns() {
	for task, r := range t.runs {
		switch {
		case !t.leaseEnd.IsZero() && time.Now().After(t.leaseEnd):
			t.endRun(task, r, "lapsed")
		case !time.Now().Before(r.dueAt) && t.failTasks:
			t.endRun(task, r, "failed")
		case !time.Now().Before(r.dueAt):
			t.endRun(task, r, "done")
		}
	}
}

func (t *target) endRun(task string, r *run, outcome string) {
	delete(t.runs, task)
	t.highestRun[task] = max(t.highestRun[task], r.number)
	t.ends = append(t.ends, []any{len(t.ends) + 1, task, r.number, outcome, ""})
	t.checker.taskEnded(task, t.addr)
}

// sendListing answers with the runs and with the ends after number seenUpTo, as soon
// as such an end exists, wait is over or the caller gives up. The caller of
// sendListing holds mu, which is released while waiting.
func (t *target) sendListing(w http.ResponseWriter, seenUpTo int64, wait time.Duration, unanswered bool, r *http.Request) {
	deadline := time.Now().Add(wait)
	for len(t.ends) <= int(seenUpTo) && time.Now().Before(deadline) && r.Context().Err() == nil {
		t.mu.Unlock()
		time.Sleep(checkInterval)
		t.mu.Lock()
		t.endDueRuns()
	}
	if unanswered {
		t.leaveUnanswered(r)
		return
	}
	running := [][]any{}
	for task, r := range t.runs {
		percent := 100 * int(time.Since(r.startedAt)) / max(1, int(r.dueAt.Sub(r.startedAt)))
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	writeJSON(w, map[string]any{
		"clock-ms": t.clockMS(), "born": t.startedAt.UnixMilli(),
		"running": running, "ended": t.ends[min(int(seenUpTo), len(t.ends)):],
	})
}
