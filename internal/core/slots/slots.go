package slots

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
)

// Reasons for which a gate doesn't start a task.
const (
	Leaving   ledger.Reason = "leaving"  // the target or its node is leaving
	NoTarget  ledger.Reason = "notarget" // no target is announced
	QueueFull ledger.Reason = "busy"     // the queue is full
	TooLate   ledger.Reason = "hopeless" // the task can't start before its deadline
	GaveUp    ledger.Reason = "gaveup"   // the caller gave up while the task waited
	Bounced   ledger.Reason = "bounced"  // the task would wait for longer than its home believed
)

// AnyWait is the wait believed of a task that is never to be handed back.
const UnlimitedWait = time.Duration(math.MaxInt64)

const (
	queuePerSlot = 8    // tasks that may wait for each slot
	learnWeight  = 0.1  // weight of the newest run time in the mean
	guessSeconds = 0.05 // run time assumed before any was seen
)

// Ticket is one task's place in the queue. Wait on Ready, then call Granted.
type Ticket struct {
	deadline time.Time
	ready    chan struct{}
	reason   ledger.Reason
	index    int
}

// Ready returns a channel that is closed once the ticket is decided.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Refused returns why the task must not start, or "" if it holds a slot. It
// must be called only after Ready is closed.
func (t *Ticket) Refusal() ledger.Reason { return t.reason }

// Load is a gate's report of itself.
type Load struct {
	Slots   int
	Running int
	Queued  int
	Mean    time.Duration // mean run time of a task
	Leaving bool
}

// Queue hands out the slots of one target. The zero value has no slots and
// refuses everything with NoTarget. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	slots   int
	running int
	leaving bool
	mean    float64 // seconds
	waiting tickets
}

// Resize sets the number of slots; 0 means that there is no target, and turns
// away all that wait.
func (q *Queue) Resize(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = n
	if n == 0 {
		q.drain(NoTarget)
	}
	q.grant()
}

// Leave refuses all that wait and all that comes; what runs goes on. With
// false it takes that back.
func (q *Queue) SetLeaving(leaving bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaving = leaving
	if leaving {
		q.drain(Leaving)
	}
}

// Enter queues a task that must have started by deadline and is believed to wait
// for no longer than the given time.
func (q *Queue) Enqueue(deadline, now time.Time, wait time.Duration) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Ticket{deadline: deadline, ready: make(chan struct{})}
	reason := q.refusal(deadline, now)
	if reason == "" && q.expectedWait() > wait {
		reason = Bounced
	}
	if reason != "" {
		t.decide(reason)
		return t
	}
	heap.Push(&q.waiting, t)
	q.grant()
	return t
}

// Abandon takes a waiting ticket out of the queue. It returns false if the
// ticket was decided before; if that gave it a slot, Release is still due.
func (q *Queue) Withdraw(t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.index < 0 || t.index >= len(q.waiting) || q.waiting[t.index] != t {
		return false
	}
	heap.Remove(&q.waiting, t.index)
	t.decide(GaveUp)
	return true
}

// Release gives back the slot of a task that ran for took, or for an unknown
// time if took is 0.
func (q *Queue) Release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if took > 0 {
		q.learn(took.Seconds())
	}
	q.grant()
}

// Load returns the present load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{
		Slots:   q.slots,
		Running: q.running,
		Queued:  len(q.waiting),
		Mean:    time.Duration(q.mean * float64(time.Second)),
		Leaving: q.leaving,
	}
}

func (q *Queue) refusal(deadline, now time.Time) ledger.Reason {
	switch {
	case q.slots == 0:
		return NoTarget
	case q.leaving:
		return Leaving
	case len(q.waiting) >= q.slots*queuePerSlot:
		return QueueFull
	case now.Add(q.expectedWait()).After(deadline):
		return TooLate
	}
	return ""
}

// expectedWait returns the time until a slot is free for one more task.
func (q *Queue) expectedWait() time.Duration {
	ahead := q.running + len(q.waiting) - q.slots + 1
	if ahead <= 0 {
		return 0
	}
	mean := q.mean
	if mean == 0 {
		mean = guessSeconds
	}
	return time.Duration(float64(ahead) * mean / float64(q.slots) * float64(time.Second))
}

func (q *Queue) learn(seconds float64) {
	if q.mean == 0 {
		q.mean = seconds
		return
	}
	q.mean += learnWeight * (seconds - q.mean)
}

func (q *Queue) grant() {
	for q.running < q.slots && len(q.waiting) > 0 {
		t, _ := heap.Pop(&q.waiting).(*Ticket)
		q.running++
		t.decide("")
	}
}

func (q *Queue) drain(reason ledger.Reason) {
	for _, t := range q.waiting {
		t.decide(reason)
	}
	q.waiting = nil
}

func (t *Ticket) decide(reason ledger.Reason) {
	t.reason = reason
	t.index = -1
	close(t.ready)
}

// tickets is a heap by deadline.
type tickets []*Ticket

func (h tickets) Len() int           { return len(h) }
func (h tickets) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h tickets) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *tickets) Push(x any) {
	t, _ := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *tickets) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}
