package rules

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/rsrc"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

const (
	targetRoom = 1000 // thousandths of a core
	mostLease  = time.Second
	stopTime   = 30 * time.Millisecond // from an order to stop a run to its end
	lookEvery  = time.Millisecond
)

// behaviour is how a target treats what it is told.
type behaviour struct {
	mute    bool          // nothing is answered
	lose    int           // each so-many-th order is not answered, by turns done and not done
	late    time.Duration // orders that are lost and not done are carried out so much later
	fail    bool          // runs end failed
	stuck   bool          // runs make no progress
	refuses bool          // starts are refused as unhealthy
}

// target is a stand-in that carries out orders by the platform's rules, on a
// clock of its own rate, and tells the judge what must not be.
type target struct {
	name  string
	rate  float64 // of its clock
	judge *judge

	mu      sync.Mutex
	how     behaviour
	life    targ.Incarnation
	born    time.Time
	gone    bool
	leaving time.Time // since when it has been known to leave
	fence   int64
	until   int64
	runs    map[string]*targetRun
	highest map[string]int
	ended   []targ.Ended
	orders  int
}

type targetRun struct {
	number  int
	work    work
	ends    time.Time
	from    time.Time
	stopped bool
}

// work is what a task asks of a target.
type work struct {
	CPU  int
	MS   int
	Fail bool // by its own fault
}

func newTarget(name string, rate float64, j *judge) *target {
	t := &target{name: name, rate: rate, judge: j}
	t.reborn()
	return t
}

// reborn starts a new life, which knows nothing of the one before.
func (t *target) reborn() targ.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task := range t.runs {
		t.judge.over(task, t.name, targ.EndedOther)
	}
	t.born = time.Now()
	t.life = targ.Incarnation{
		ID: fmt.Sprintf("%s-%d", t.name, t.born.UnixMilli()), Born: t.born.UnixMilli(), Addr: t.name, Service: "s",
		Capacity: rsrc.Vector{CPU: targetRoom, Memory: targetRoom},
	}
	t.leaving, t.fence, t.until, t.orders = time.Time{}, 0, 0, 0
	t.runs, t.highest, t.ended = map[string]*targetRun{}, map[string]int{}, nil
	return t.life
}

func (t *target) clock() int64 {
	return int64(t.rate*float64(time.Since(t.born).Milliseconds())) + 1
}

func (t *target) behave(how behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.how = how
}

// leave has the target say that it leaves.
func (t *target) leave() targ.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = time.Now()
	t.life.Leaving = true
	return t.life
}

// reach tells whether an order to a life gets through. The lock is held.
func (t *target) reach(ctx context.Context, l targ.Incarnation, order func()) error {
	if t.how.mute {
		return t.hang(ctx)
	}
	if l.ID != t.life.ID {
		return targ.ErrRestarted
	}
	t.orders++
	if t.how.lose == 0 || t.orders%t.how.lose != 0 {
		return nil
	}
	if t.orders/t.how.lose%2 == 0 {
		order()
		return t.hang(ctx)
	}
	if t.how.late > 0 {
		life := t.life.ID
		time.AfterFunc(t.how.late, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.life.ID == life {
				order()
			}
		})
	}
	return t.hang(ctx)
}

// hang leaves a call without an answer.
func (t *target) hang(ctx context.Context) error {
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	return targ.ErrUnanswered
}

// Start carries out an order to start a run.
func (t *target) Start(ctx context.Context, l targ.Incarnation, o targ.Order) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.how.refuses {
		return 0, targ.ErrUnhealthy
	}
	if err := t.reach(ctx, l, func() { _ = t.begin(o) }); err != nil {
		return 0, err
	}
	err := t.begin(o)
	return t.clock(), err
}

func (t *target) begin(o targ.Order) error {
	t.tidy()
	switch {
	case o.Fence < t.fence:
		return targ.ErrFenced
	case t.runs[o.Task] != nil && t.runs[o.Task].number == o.Run:
		return nil
	}
	t.fence = o.Fence
	t.extend(o.Deadline)
	switch {
	case o.Run <= t.highest[o.Task]:
		return targ.ErrStaleRun
	case o.Deadline <= t.clock():
		return targ.ErrDeadlinePassed
	}
	var w work
	if err := json.Unmarshal([]byte(o.Spec), &w); err != nil {
		t.judge.fault("UNASKED: %s with the spec %q", o.Task, o.Spec)
	}
	used := w.CPU
	for _, r := range t.runs {
		used += r.work.CPU
	}
	if used > targetRoom {
		t.judge.fault("LIMIT: %d used at %s with %s", used, t.name, o.Task)
	}
	if !t.leaving.IsZero() && time.Since(t.leaving) > drainTime {
		t.judge.fault("DRAIN: %s starts %v after %s said that it leaves", o.Task, time.Since(t.leaving), t.name)
	}
	t.judge.start(o.Task, t.name)
	now := time.Now()
	t.runs[o.Task] = &targetRun{number: o.Run, work: w, from: now, ends: now.Add(time.Duration(w.MS) * time.Millisecond)}
	return nil
}

// Stop ends or bars a run.
func (t *target) Stop(ctx context.Context, l targ.Incarnation, o targ.Order) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stop := func() {
		if o.Fence < t.fence {
			return
		}
		t.fence = o.Fence
		if r := t.runs[o.Task]; r != nil && r.number == o.Run && !r.stopped {
			r.stopped, r.ends = true, time.Now().Add(stopTime)
		}
		t.highest[o.Task] = max(t.highest[o.Task], o.Run)
	}
	if err := t.reach(ctx, l, stop); err != nil {
		return 0, err
	}
	if o.Fence < t.fence {
		return t.clock(), targ.ErrFenced
	}
	stop()
	return t.clock(), nil
}

// Hold renews the lease and lists once there is an end, or the wait is over.
func (t *target) Hold(ctx context.Context, l targ.Incarnation, r targ.Renewal) (targ.Listing, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	renew := func() {
		if r.Fence >= t.fence {
			t.fence = r.Fence
			t.extend(r.Deadline)
		}
	}
	if err := t.reach(ctx, l, renew); err != nil {
		return targ.Listing{}, err
	}
	if r.Fence < t.fence {
		return targ.Listing{}, targ.ErrFenced
	}
	renew()
	limit := time.Now().Add(time.Duration(r.Wait) * time.Millisecond)
	for life := t.life.ID; ; {
		t.tidy()
		if ctx.Err() != nil {
			return targ.Listing{}, targ.ErrUnanswered
		}
		if t.life.ID != life {
			return targ.Listing{}, targ.ErrRestarted
		}
		if list := t.list(r.Seen); len(list.Ended) > 0 || !time.Now().Before(limit) {
			return list, nil
		}
		t.mu.Unlock()
		time.Sleep(lookEvery)
		t.mu.Lock()
	}
}

func (t *target) list(seen int64) targ.Listing {
	l := targ.Listing{Clock: t.clock()}
	for task, r := range t.runs {
		percent := 0
		if !t.how.stuck {
			percent = 100 * int(time.Since(r.from)) / max(1, int(r.ends.Sub(r.from)))
		}
		l.Running = append(l.Running, targ.Running{Task: task, Run: r.number, Percent: percent})
	}
	for _, e := range t.ended {
		if e.Seq > seen {
			l.Ended = append(l.Ended, e)
		}
	}
	return l
}

func (t *target) extend(deadline int64) {
	if deadline > 0 {
		t.until = max(t.until, min(deadline, t.clock()+mostLease.Milliseconds()))
	}
}

// tidy ends what is due.
func (t *target) tidy() {
	for task, r := range t.runs {
		switch {
		case t.clock() > t.until, r.stopped && !time.Now().Before(r.ends):
			t.end(task, r, targ.EndedOther)
		case r.stopped:
		case t.how.stuck || time.Now().Before(r.ends):
		case t.how.fail || r.work.Fail:
			t.end(task, r, targ.EndedFailed)
		default:
			t.end(task, r, targ.EndedDone)
		}
	}
}

func (t *target) end(task string, r *targetRun, how targ.Outcome) {
	delete(t.runs, task)
	t.highest[task] = max(t.highest[task], r.number)
	t.ended = append(t.ended, targ.Ended{Seq: int64(len(t.ended) + 1), Task: task, Run: r.number, Outcome: how})
	t.judge.over(task, t.name, how)
}

// live ends what is due, whether the target is called or not, until done.
func (t *target) live(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(lookEvery):
		}
		t.mu.Lock()
		t.tidy()
		t.mu.Unlock()
	}
}
