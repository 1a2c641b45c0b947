package rules

import (
	"context"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/targ"
)

// Hold renews the lease and is a long poll: it returns the listing once a run has ended
// that the gate has not seen, or after the wait given by the renewal.
func (t *target) Hold(ctx context.Context, l targ.Incarnation, r targ.Renewal) (targ.Listing, error) {
	return answerOf(ctx, func() (targ.Listing, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		call := t.callName("poll", "", 0)
		if err := t.receive(ctx, l, call, func() { _ = t.renew(r) }); err != nil {
			return targ.Listing{}, err
		}
		if !t.pause(execution, call) {
			return targ.Listing{}, targ.ErrUnanswered
		}
		if err := t.renew(r); err != nil {
			t.pause(transit, call)
			return targ.Listing{}, err
		}
		if !t.awaitEnd(ctx, r) {
			return targ.Listing{}, targ.ErrUnanswered
		}
		listing, ok := t.listing(call, r.Seen)
		if !ok {
			return targ.Listing{}, targ.ErrUnanswered
		}
		if t.faultMode.slowPolls && !t.outlast(t.behavior.delay(answering, call)) {
			return targ.Listing{}, targ.ErrUnanswered
		}
		t.pause(transit, call)
		return listing, nil
	})
}

// renew carries out what a poll orders. t.mu must be held.
func (t *target) renew(r targ.Renewal) error {
	if r.Fence < t.fence {
		return targ.ErrFenced
	}
	t.fence = r.Fence
	t.seen = max(t.seen, r.Seen)
	t.extendLease(r.Deadline)
	return nil
}

// awaitEnd waits until a run has ended that a poll has not seen, or for as long as the poll
// allows. It reports false if the poll gets no answer. t.mu must be held, and is released
// during the wait.
func (t *target) awaitEnd(ctx context.Context, r targ.Renewal) bool {
	timeUp := time.After(time.Duration(r.Wait) * time.Millisecond)
	incarnation := t.incarnation
	for {
		t.endDueRuns()
		if ctx.Err() != nil || t.down || !t.incarnation.Same(incarnation) {
			return false
		}
		if n := len(t.ended); r.Wait == 0 || n > 0 && t.ended[n-1].Seq > r.Seen {
			return true
		}
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-timeUp:
			r.Wait = 0
		case <-ctx.Done():
		}
		t.mu.Lock()
	}
}

// outlast waits for d. It reports false as soon as the target goes down or restarts. t.mu must be
// held, and is released during the wait.
func (t *target) outlast(d time.Duration) bool {
	timeUp := time.After(d)
	for incarnation := t.incarnation; !t.down && t.incarnation.Same(incarnation); {
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-timeUp:
			t.mu.Lock()
			return !t.down && t.incarnation.Same(incarnation)
		case <-changed:
		}
		t.mu.Lock()
	}
	return false
}

// listing returns runs in progress and the oldest ended runs with numbers above seen. The
// two lists are copied and the clock is read one after the other, in an order that is left
// open. It reports false if the target does not get to answer. t.mu must be held.
func (t *target) listing(call string, seen int64) (targ.Listing, bool) {
	l := targ.Listing{Born: t.incarnation.Born, Clock: t.clockMS()}
	first, second := t.listRunning, func(l *targ.Listing) { t.listEnded(l, seen) }
	if t.behavior.chooses(endsFirst, call) {
		first, second = second, first
	}
	first(&l)
	if !t.pause(copying, call) {
		return l, false
	}
	second(&l)
	if !t.pause(clockReading, call) {
		return l, false
	}
	if !t.behavior.chooses(clockFirst, call) {
		l.Clock = t.clockMS()
	}
	return l, true
}

// listRunning copies the runs in progress to a listing, but not all that are being stopped.
// t.mu must be held.
func (t *target) listRunning(l *targ.Listing) {
	for task, r := range t.runs {
		if r.hidden {
			continue
		}
		percent := 0
		if !t.faultMode.stallRuns {
			percent = 100 * int(time.Since(r.startedAt)) / max(1, int(r.endsAt.Sub(r.startedAt)))
		}
		l.Running = append(l.Running, targ.Running{Task: task, Run: r.number, Percent: percent})
	}
}

// listEnded copies the oldest ended runs with numbers above seen to a listing, which is partial
// if it is full, as the platform's client has it. t.mu must be held.
func (t *target) listEnded(l *targ.Listing, seen int64) {
	for _, e := range t.ended {
		if e.Seq > seen && len(l.Ended) < t.behavior.listedEnds() {
			l.Ended = append(l.Ended, e)
		}
	}
	l.Partial = len(l.Ended) == t.behavior.listedEnds()
}

// notifyChange wakes all that wait for a change of the runs. t.mu must be held.
func (t *target) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}
