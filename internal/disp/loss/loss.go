// Package loss decides whether a task may be placed again after runs of it were lost with
// their targets.
//
// The load that it answers: tasks that crash whatever target starts them, beside others that are
// lost with them, and targets that go down before they answer. Without a bound such a task takes
// down one target after the other; with one that counts too much, a job is told that it has failed
// though nothing of it has. So losses that prove a crash are counted apart from those that only
// may have been one.
//
// The package reads no clock and does no I/O.
package loss

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	maxProven = 2 // targets that may provably crash under a task before its job fails
	maxLost   = 3 // losses of a task with its target, proven to be crashes or not, before its job is abandoned
	// RetryInterval is how long after its latest loss a task that has been lost too often is not
	// placed. If the caller still comes then, it is placed again, until it is lost once more.
	RetryInterval = time.Minute
	// Retention is how long gates and entries remember losses. It goes on when a submission ends for
	// them, or is let through. An entry may be started anew, or be the first to hear of the job since,
	// while the caller still comes.
	Retention     = 10 * time.Minute
	sweepInterval = time.Second // between two removals of what is not remembered any more
)

// Verdict is what may be done with a task.
type Verdict int

const (
	// Place means that the task may be placed.
	Place Verdict = iota
	// Fail means that targets have crashed under the task, and that its job has failed.
	Fail
	// Abandon means that the task has been lost too often with its target, which may have
	// crashed under it. Its job may have run.
	Abandon
)

// String returns the name of v as it is written to logs.
func (v Verdict) String() string { return [...]string{"place", "fail", "abandon"}[v] }

// id identifies a loss, of which more than one message may tell, by the order to run the task.
type id struct {
	entry       string
	incarnation uint64
	order       uint64
}

// record is what is known of the losses of a task.
type record struct {
	proofs map[id]msgs.Crash
	lostAt boot.Time // when the latest loss was
	usedAt boot.Time // the same, or when the latest submission ended for the losses, or was let through
	// allowed is how many losses do not keep the task from being placed. It rises to all of them when
	// the latest is RetryInterval old, so that one more does.
	allowed int
}

// Log is a log of losses, over all submissions of jobs. The zero value is empty. It is not safe
// for concurrent use.
type Log struct {
	tasks   map[string]record
	sweptAt boot.Time
}

// Add adds a loss at now, unless it proves nothing. One that has been added before counts by what
// proves more.
func (l *Log) Add(loss msgs.Loss, now boot.Time) {
	if loss.Crash == msgs.NoCrash {
		return
	}
	l.sweep(now)
	r := l.tasks[loss.Task]
	if r.expired(now) {
		r = record{}
	}
	key := id{loss.Entry, loss.Incarnation, loss.ID}
	if known, ok := r.proofs[key]; ok {
		r.proofs[key] = max(known, loss.Crash)
		return
	}
	if r.proofs == nil {
		r.proofs = map[id]msgs.Crash{}
	}
	lostAt := now.Add(-time.Duration(loss.LostFor) * time.Millisecond)
	r.proofs[key], r.lostAt, r.usedAt = loss.Crash, max(r.lostAt, lostAt), max(r.usedAt, lostAt)
	if l.tasks == nil {
		l.tasks = map[string]record{}
	}
	l.tasks[loss.Task] = r
}

// Empty reports whether no loss is remembered at now, or soon.
func (l *Log) Empty(now boot.Time) bool {
	l.sweep(now)
	return len(l.tasks) == 0
}

// Keep makes the losses of a task be remembered from now on, since a submission of its job has ended
// for losses.
func (l *Log) Keep(task string, now boot.Time) {
	if r, ok := l.tasks[task]; ok && !r.expired(now) {
		r.usedAt = now
		l.tasks[task] = r
	}
}

// Verdict returns what may be done with a task at now. If it may not be placed, its losses are
// remembered from then on.
func (l *Log) Verdict(task string, now boot.Time) Verdict {
	r, ok := l.tasks[task]
	if !ok || r.expired(now) {
		return Place
	}
	verdict := r.verdict()
	if verdict == Place {
		return Place
	}
	r.usedAt = now
	if now.Sub(r.lostAt) > RetryInterval {
		r.allowed, verdict = len(r.proofs), Place
	}
	l.tasks[task] = r
	return verdict
}

// verdict returns what may be done with the task of r.
func (r record) verdict() Verdict {
	switch {
	case len(r.proofs) <= r.allowed:
		return Place
	case r.proven() >= maxProven:
		return Fail
	case len(r.proofs) >= maxLost:
		return Abandon
	}
	return Place
}

// proven returns the number of losses that prove a crash.
func (r record) proven() int {
	n := 0
	for _, c := range r.proofs {
		if c == msgs.CrashProven {
			n++
		}
	}
	return n
}

// sweep removes what is not remembered any more, at most once in sweepInterval.
func (l *Log) sweep(now boot.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for task, r := range l.tasks {
		if r.expired(now) {
			delete(l.tasks, task)
		}
	}
}

// expired reports whether r is not remembered any more at now.
func (r record) expired(now boot.Time) bool { return now.Sub(r.usedAt) > Retention }
