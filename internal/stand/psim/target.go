package psim

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
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
// node as badly as the platform's pages allow, leaves some unanswered if so
// configured, and reports violations of the dispatcher's guarantees to the checker.
type target struct {
	addr        string // at which the node reaches the target
	controlAddr string // of the node on the same host
	domain      string // failure domain
	milliCPU    int    // capacity in thousandths of a core
	checker     *checker
	evacuations *evacuations
	draws       *draws

	mu              sync.Mutex
	incarnationID   string
	startedAt       time.Time
	heartbeatSeq    int
	draining        bool
	drainSentAt     time.Time       // when a heartbeat first reported draining
	clockRate       float64         // speed of its clock relative to real time; 0 means 1
	fence           int64           // highest fencing token received
	leaseEnd        time.Time       // when all runs end; zero before the first lease
	runs            map[runKey]*run // in progress, also while they are being stopped
	highestRun      map[string]int  // highest run number that ended or was stopped, by task
	ends            [][]any         // ended runs in order, as listed to the node
	forgotten       int             // number of the first ends, which are not listed any more
	unansweredShare float64         // share of orders without an answer
	unhealthyShare  float64         // share of starts that are refused with status 429 or 503
	failTasks       bool            // all tasks fail
	down            bool            // it has crashed and is not back
}

// restart begins a new incarnation, which keeps nothing of the previous one but, if keepID is
// set, its ID. The new incarnation does not execute what the previous one has received.
func (t *target) restart(keepID bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endDueRuns()
	for key := range t.runs {
		t.checker.taskCrashed(key.task)
		t.checker.taskEnded(key.task, t.addr)
	}
	t.startedAt = time.Now()
	if !keepID {
		t.incarnationID = fmt.Sprintf("i-%x", t.startedAt.UnixNano())
	}
	t.heartbeatSeq, t.fence, t.leaseEnd, t.draining, t.drainSentAt = 0, 0, time.Time{}, false, time.Time{}
	t.runs, t.highestRun, t.ends, t.forgotten = map[runKey]*run{}, map[string]int{}, nil, 0
}

// sendHeartbeat reports the target's state and capacity to its node.
func (t *target) sendHeartbeat(client *http.Client) {
	if t.isDown() {
		return
	}
	t.mu.Lock()
	t.heartbeatSeq++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	draining := t.draining
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": t.addr, "zone": t.domain, "state": state, "seq": t.heartbeatSeq,
		"born": t.startedAt.UnixMilli(), "capacity": map[string]int{"cpu": t.milliCPU, "mem-mb": 1 << 20},
	})
	incarnationID, startedAt := t.incarnationID, t.startedAt
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
	if draining && t.startedAt.Equal(startedAt) && t.drainSentAt.IsZero() {
		t.drainSentAt = time.Now()
	}
}

// order is an order or a poll of the node.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	SpecText   string `json:"spec"`
	DeadlineMS int64  `json:"deadline-ms"`
	Fence      int64  `json:"fencing-token"`
	SeenUpTo   int    `json:"seen-upto"`
	WaitMS     int    `json:"wait-ms"`

	path          string
	incarnationID string    // intended incarnation; empty for any
	receivedAt    time.Time // when the order arrived, which may be long before it is executed
	receiver      time.Time // start of the incarnation that received the order, which alone executes it
}

// answer is the answer to an order, without the target's clock.
type answer struct {
	status int            // 0 if the incarnation that received the order has ended
	body   map[string]any // empty for an answer without a body
}

// ServeHTTP executes an order of the node, or answers its long poll.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if t.isDown() {
		panic(http.ErrAbortHandler)
	}
	o := order{path: r.URL.Path, incarnationID: r.Header.Get("Gypsumlanding-Expect-Instance"), receivedAt: time.Now(), receiver: t.startTime()}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t.leavesUnanswered() {
		t.mishandle(o)
		<-r.Context().Done()
		return
	}
	if status := t.unhealthyStatus(o.path); status != 0 {
		w.WriteHeader(status)
		return
	}
	delay := t.draws.startDelay(o.path)
	time.Sleep(delay.beforeExecution)
	earlyClock := t.clock()()
	time.Sleep(delay.afterClock)
	a, clock := t.execute(o)
	time.Sleep(delay.afterExecution)
	if a.status == 0 {
		panic(http.ErrAbortHandler) // the connection ends with the incarnation
	}
	if a.status == http.StatusOK && o.path == pollPath {
		a, clock = t.awaitListing(r.Context(), o)
		time.Sleep(t.draws.upTo(maxClockDelay))
	}
	if len(a.body) > 0 {
		a.body["clock-ms"] = clock()
		if delay.afterClock > 0 {
			a.body["clock-ms"] = earlyClock
		}
	}
	if t.draws.happens(heldBackShare) {
		time.Sleep(t.draws.upTo(maxHoldBack))
	}
	a.send(w)
}

// send writes the answer.
func (a answer) send(w http.ResponseWriter) {
	if len(a.body) > 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(a.status)
	if len(a.body) > 0 {
		// Encoding fails only if the caller has disconnected.
		_ = json.NewEncoder(w).Encode(a.body)
	}
}

// leavesUnanswered draws whether the target leaves an order without an answer.
func (t *target) leavesUnanswered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draws.happens(t.unansweredShare)
}

// unhealthyStatus draws the status with which the target refuses an order without having done
// anything, or 0. Only starts are refused so.
func (t *target) unhealthyStatus(path string) int {
	t.mu.Lock()
	share := t.unhealthyShare
	t.mu.Unlock()
	if path != startPath || !t.draws.happens(share) {
		return 0
	}
	if t.draws.oneOf(2) == 0 {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// startTime returns when the current incarnation started.
func (t *target) startTime() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedAt
}

// mishandle does what a target may do with an order that gets no answer: it executes
// it, executes it later, after newer ones, or does nothing.
func (t *target) mishandle(o order) {
	switch t.draws.oneOf(3) {
	case 0:
		t.execute(o)
	case 1:
		delay := t.draws.upTo(maxLateness)
		time.AfterFunc(delay, func() { t.execute(o) })
	}
}

// execute executes an order and returns the answer to it, and the target's clock. It
// renews the lease for a poll, whose listing the caller adds.
func (t *target) execute(o order) (answer, func() int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.startedAt.Equal(o.receiver) {
		return answer{}, nil
	}
	if o.incarnationID != "" && o.incarnationID != t.incarnationID {
		return answer{status: http.StatusMisdirectedRequest}, nil
	}
	if o.Fence < t.fence {
		return conflict("fence"), t.clockOfIncarnation()
	}
	t.fence = o.Fence
	t.endDueRuns()
	t.renewLease(o.DeadlineMS)
	switch o.path {
	case startPath:
		if reason := t.startRun(o); reason != "" {
			return conflict(reason), t.clockOfIncarnation()
		}
		if t.runs[runKey{o.Task, o.Run}].crash == BeforeAnswer {
			return answer{}, nil
		}
	case stopPath:
		t.stopRun(o.Task, o.Run)
	case pollPath:
		t.forgotten = min(max(t.forgotten, o.SeenUpTo), len(t.ends))
	}
	return answer{http.StatusOK, map[string]any{}}, t.clockOfIncarnation()
}

func conflict(reason string) answer {
	return answer{http.StatusConflict, map[string]any{"reason": reason}}
}

// clock returns the clock of the current incarnation.
func (t *target) clock() func() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clockOfIncarnation()
}

// clockOfIncarnation returns the clock of the current incarnation, which the caller may
// read after the incarnation has ended. It counts ms and is at least 1. The caller holds
// mu, but need not hold it when reading the clock.
func (t *target) clockOfIncarnation() func() int64 {
	startedAt, rate := t.startedAt, cmp.Or(t.clockRate, 1)
	return func() int64 { return int64(rate*float64(time.Since(startedAt).Milliseconds())) + 1 }
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

// awaitListing returns the listing that answers a poll, as soon as there is an end that
// the node has not seen, or the wait is over, or ctx ends. The clock belongs to the
// listing. A poll is broken off if the incarnation ends meanwhile.
func (t *target) awaitListing(ctx context.Context, o order) (answer, func() int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deadline := o.receivedAt.Add(time.Duration(o.WaitMS) * time.Millisecond)
	for len(t.ends) <= t.forgotten && time.Now().Before(deadline) && ctx.Err() == nil {
		t.pause(o, checkInterval)
	}
	body := map[string]any{"born": t.startedAt.UnixMilli()}
	copies := []func(){
		func() { body["running"] = t.listRunning() },
		func() { body["ended"] = t.listEnded() },
	}
	first := t.draws.oneOf(len(copies))
	copies[first]()
	t.pause(o, t.draws.upTo(maxListGap))
	copies[1-first]()
	return answer{http.StatusOK, body}, t.clockOfIncarnation()
}

// pause releases mu for a while, after which runs may have started and ended. It breaks the
// order off if the incarnation that received it has ended meanwhile.
func (t *target) pause(o order, wait time.Duration) {
	t.mu.Unlock()
	time.Sleep(wait)
	t.mu.Lock()
	if !t.startedAt.Equal(o.receiver) {
		panic(http.ErrAbortHandler)
	}
	t.endDueRuns()
}

// listRunning returns the runs in progress that are listed.
func (t *target) listRunning() [][]any {
	running := [][]any{}
	for key, r := range t.runs {
		if !r.unlisted {
			percent := 100 * int(time.Since(r.startedAt)) / max(1, int(r.dueAt.Sub(r.startedAt)))
			running = append(running, []any{key.task, key.number, "", percent, 0})
		}
	}
	return running
}

// listEnded returns the first ends that are not forgotten, in any order.
func (t *target) listEnded() [][]any {
	ended := append([][]any{}, t.ends[t.forgotten:min(len(t.ends), t.forgotten+maxListedEnds)]...)
	t.draws.shuffle(len(ended), func(i, j int) { ended[i], ended[j] = ended[j], ended[i] })
	return ended
}
