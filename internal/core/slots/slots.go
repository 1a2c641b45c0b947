package slots

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
)

// Reasons for not starting a task.
const (
	Leaving   ledger.Reason = "leaving"  // the target or its node is leaving
	NoTarget  ledger.Reason = "notarget" // no target has been announced
	QueueFull ledger.Reason = "busy"     // the queue is full
	TooLate   ledger.Reason = "hopeless" // the task is not expected to start before its deadline
	GaveUp    ledger.Reason = "gaveup"   // the caller gave up, or the deadline passed, while the task waited
	Bounced   ledger.Reason = "bounced"  // the task would wait longer than its home allowed
)

// UnlimitedWait is the maximum wait of a task that is never refused with Bounced.
const UnlimitedWait = time.Duration(math.MaxInt64)

const (
	maxQueuedPerSlot   = 8    // waiting tasks allowed for each slot
	meanWeight         = 0.1  // weight of the latest run time in the mean
	initialMeanSeconds = 0.05 // mean run time assumed before any task has ended
)

// Ticket is the place of one task in the queue. Wait for Ready to be closed, then
// call Refusal.
type Ticket struct {
	deadline time.Time
	ready    chan struct{}
	reason   ledger.Reason
	index    int // position in the heap, -1 once decided
}

// Ready returns a channel that is closed once the ticket has got a slot or is
// refused.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Refusal returns the reason why the task must not start, or the empty string if
// it holds a slot. It must be called only after Ready is closed.
func (t *Ticket) Refusal() ledger.Reason { return t.reason }

// Load is the load of a gate at a point in time.
type Load struct {
	Slots   int
	Running int
	Queued  int
	Mean    time.Duration // mean run time of a task, 0 if not known yet
	Leaving bool
}

// Queue assigns the slots of one target to tasks. The zero value has no slots and
// refuses all tasks with NoTarget. It is safe for concurrent use.
type Queue struct {
	mu          sync.Mutex
	slots       int
	running     int
	leaving     bool
	meanSeconds float64 // mean run time, 0 if not known yet
	waiting     ticketHeap
}

// Resize sets the number of slots. If n is 0, there is no target, and all waiting
// tasks are refused with NoTarget.
func (q *Queue) Resize(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = n
	if n == 0 {
		q.refuseWaiting(NoTarget)
	}
	q.grantSlots()
}

// SetLeaving sets whether the target or its node is leaving. While it is, waiting
// and new tasks are refused with Leaving; running tasks are not affected.
func (q *Queue) SetLeaving(leaving bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaving = leaving
	if leaving {
		q.refuseWaiting(Leaving)
	}
}

// Enqueue returns the ticket of a new task that must start by deadline. It refuses
// the task with Bounced if the expected wait is longer than maxWait.
func (q *Queue) Enqueue(deadline, now time.Time, maxWait time.Duration) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &Ticket{deadline: deadline, ready: make(chan struct{})}
	reason := q.refusalReason(deadline, now)
	if reason == "" && q.expectedWait() > maxWait {
		reason = Bounced
	}
	if reason != "" {
		t.decide(reason)
		return t
	}
	heap.Push(&q.waiting, t)
	q.grantSlots()
	return t
}

// Withdraw refuses a waiting ticket with GaveUp and removes it from the queue. It
// returns false if the ticket already has a slot or is refused. A slot that the
// ticket has must still be returned by Release.
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

// Release returns the slot of a task that ran for runTime. A runTime of 0 means
// that it is unknown and must not change the mean.
func (q *Queue) Release(runTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if runTime > 0 {
		q.updateMean(runTime.Seconds())
	}
	q.grantSlots()
}

// Load returns the current load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{
		Slots:   q.slots,
		Running: q.running,
		Queued:  len(q.waiting),
		Mean:    time.Duration(q.meanSeconds * float64(time.Second)),
		Leaving: q.leaving,
	}
}

// refusalReason returns why a new task can't be queued, or the empty string.
func (q *Queue) refusalReason(deadline, now time.Time) ledger.Reason {
	switch {
	case q.slots == 0:
		return NoTarget
	case q.leaving:
		return Leaving
	case len(q.waiting) >= q.slots*maxQueuedPerSlot:
		return QueueFull
	case now.Add(q.expectedWait()).After(deadline):
		return TooLate
	}
	return ""
}

// expectedWait returns the expected time until a slot is free for one more task.
func (q *Queue) expectedWait() time.Duration {
	ahead := q.running + len(q.waiting) - q.slots + 1
	if ahead <= 0 {
		return 0
	}
	meanSeconds := q.meanSeconds
	if meanSeconds == 0 {
		meanSeconds = initialMeanSeconds
	}
	return time.Duration(float64(ahead) * meanSeconds / float64(q.slots) * float64(time.Second))
}

// updateMean merges one run time into the moving average.
func (q *Queue) updateMean(seconds float64) {
	if q.meanSeconds == 0 {
		q.meanSeconds = seconds
		return
	}
	q.meanSeconds += meanWeight * (seconds - q.meanSeconds)
}

// grantSlots gives free slots to waiting tickets, earliest deadline first.
func (q *Queue) grantSlots() {
	for q.running < q.slots && len(q.waiting) > 0 {
		t, _ := heap.Pop(&q.waiting).(*Ticket)
		q.running++
		t.decide("")
	}
}

// refuseWaiting refuses all waiting tickets.
func (q *Queue) refuseWaiting(reason ledger.Reason) {
	for _, t := range q.waiting {
		t.decide(reason)
	}
	q.waiting = nil
}

// decide closes Ready. The ticket has a slot if reason is the empty string, and is
// refused otherwise.
func (t *Ticket) decide(reason ledger.Reason) {
	t.reason = reason
	t.index = -1
	close(t.ready)
}

// ticketHeap is a heap of waiting tickets with the earliest deadline at its root.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *ticketHeap) Push(x any) {
	t, _ := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *ticketHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return t
}
