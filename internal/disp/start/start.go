package start

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	// maxUnseen is the longest time between the last sign of a run and the crash of its target
	// for which the run counts as in progress at the crash. It is the longest time that a poll of
	// package gate takes: its pollWait and its pollTimeout.
	maxUnseen = 250 * time.Millisecond
	// unseenShare is the same as a share of the time that the run was expected to go on.
	unseenShare = 0.5
)

// Phase is how far a start has come.
type Phase int

// Phases of a start.
const (
	Queued   Phase = iota // the start has not been ordered
	Ordered               // it has been ordered, and the answer is awaited
	Doubtful              // it has no answer: the run may be there, come later, or never
	Known                 // the target knows a run of this number, which may be an earlier one of the task
	Running               // the target has answered the start, or has listed the run after a doubt
	Moved                 // the target has restarted under its ID, and may carry out the order again
	Detached              // the target's incarnation has ended, and the answer to the order is awaited
	Over                  // the task has a result
)

// String returns the name of the phase as it is written to logs.
func (p Phase) String() string {
	return [...]string{"queued", "ordered", "doubtful", "known", "running", "moved", "detached", "over"}[p]
}

// State is the state of one start. It is immutable: each move returns the state that follows. The
// zero value has not been ordered.
type State struct {
	phase      Phase
	orderedAt  boot.Time  // when the start was ordered under its present number; 0 if that was at an incarnation before
	begun      bool       // the target has answered the start, or listed the run, and so will list its end
	stopAt     boot.Time  // when it was decided to stop the run; 0 if it was not
	seenAt     boot.Time  // when a call was sent whose answer shows the run in progress; 0 if none was
	provenTo   boot.Time  // until when a run that was there at seenAt can hardly have ended; not after seenAt if it may
	crash      msgs.Crash // what the latest restart of the target under its ID has proved
	begunOnce  bool       // the run had begun before the target restarted under its ID
	excludedAt boot.Time  // from when the run can't start any more and, if it was in progress, is being stopped; 0 if it may
	byStop     bool       // excludedAt is the acknowledgement of a stop
}

// Phase returns the phase of s.
func (s State) Phase() Phase { return s.phase }

// InDoubt reports whether nothing shows if the run is at the target.
func (s State) InDoubt() bool { return s.phase == Doubtful || s.phase == Moved }

// InProgress reports whether the target is taken to have the run.
func (s State) InProgress() bool { return s.phase == Known || s.phase == Running }

// HasBegun reports whether the run was certainly in progress at some time, at this incarnation of
// the target or, under the same ID, at one before.
func (s State) HasBegun() bool { return s.begun || s.begunOnce }

// ListsEnd reports whether the target will list the end of the run.
func (s State) ListsEnd() bool { return s.begun }

// UnseenFor returns for how long, at now, the run has not been seen in progress; 0 if it never was.
func (s State) UnseenFor(now boot.Time) time.Duration {
	if s.seenAt == 0 {
		return 0
	}
	return now.Sub(s.seenAt)
}

// Stopping reports whether the run is to be stopped.
func (s State) Stopping() bool { return s.stopAt > 0 }

// ExcludedAt returns the time from which the run can't start any more, or 0 if it may.
func (s State) ExcludedAt() boot.Time { return s.excludedAt }

// Stopped reports whether the target has acknowledged a stop of the run.
func (s State) Stopped() bool { return s.byStop }

// Order returns s after the start has been ordered at the given time, at which no earlier run of the
// task was in progress.
func (s State) Order(at boot.Time) State {
	s.phase, s.orderedAt = Ordered, at
	return s
}

// Renumber returns s after the run has got another number at the given time, and its start is
// ordered again. What was known of the former number says nothing of the new one.
func (s State) Renumber(at boot.Time) State {
	return State{phase: Ordered, orderedAt: at, stopAt: s.stopAt, crash: s.crash, begunOnce: s.begunOnce}
}

// IsShownBy reports whether the answer to a poll that was sent at the given time shows the run if
// it lists its number. If the poll was sent before the order, that may be an earlier run of the
// task, unless this one has begun.
func (s State) IsShownBy(at boot.Time) bool { return s.begun || at > s.orderedAt }

// Doubt returns s after the order has remained without an answer. A run that has been listed meanwhile
// is not in doubt.
func (s State) Doubt() State {
	s.phase = Doubtful
	if s.begun {
		s.phase = Running
	}
	return s
}

// Know returns s after the target has answered that it knows a run of this number.
func (s State) Know() State {
	s.phase = Known
	return s
}

// Answer returns s after the order, which was sent at the given time, has been answered with
// success. The run was expected to go on for the remaining time then.
func (s State) Answer(at boot.Time, remaining time.Duration) State {
	s.phase = Running
	return s.seen(at, remaining)
}

// See returns s after the answer to a poll that was sent at the given time has shown the run. It
// was expected to go on for the remaining time then. An order that may still be answered stays so.
func (s State) See(at boot.Time, remaining time.Duration) State {
	if s.phase != Ordered && s.phase != Detached {
		s.phase = Running
	}
	return s.seen(at, remaining)
}

// seen returns s after a call that was sent at the given time has shown the run in progress.
func (s State) seen(at boot.Time, remaining time.Duration) State {
	s.begun = true
	if at >= s.seenAt {
		s.seenAt = at
		s.provenTo = at.Add(min(maxUnseen, time.Duration(unseenShare*float64(remaining))))
	}
	return s
}

// Stop returns s after it has been decided, at the given time, to stop the run.
func (s State) Stop(at boot.Time) State {
	s.stopAt = at
	return s
}

// Exclude returns s after it has become certain, at the given time, that the run does not start
// any more: because the target has acknowledged a stop, or because the deadline has passed.
func (s State) Exclude(at boot.Time, byStop bool) State {
	s.byStop = s.byStop || byStop
	if s.excludedAt == 0 {
		s.excludedAt = at
	}
	return s
}

// Move returns s after the target has restarted under its ID, which proves c about the task.
func (s State) Move(c msgs.Crash) State {
	return State{phase: Moved, stopAt: s.stopAt, crash: c, begunOnce: s.HasBegun()}
}

// Detach returns s after the target's incarnation has ended before it has answered the order.
func (s State) Detach() State {
	s.phase = Detached
	return s
}

// End returns s after the task has got a result.
func (s State) End() State {
	s.phase = Over
	return s
}

// Crash returns what it proves about the task if its run is lost with the target, which was known
// to be down at downAt; 0 means that it is only silent. The crash is proven if the run had begun
// and can hardly have ended, unread, before. One that was being stopped may have.
func (s State) Crash(downAt boot.Time) msgs.Crash {
	switch {
	case s.phase == Queued || s.phase == Over:
		return msgs.NoCrash
	case s.crash == msgs.CrashProven, s.begun && downAt > 0 && s.seenUntil(downAt) && !s.stoppingAt(downAt):
		return msgs.CrashProven
	}
	return msgs.CrashSuspected
}

// stoppingAt reports whether the run was to be stopped at a time.
func (s State) stoppingAt(t boot.Time) bool { return s.stopAt > 0 && s.stopAt <= t }

// seenUntil reports whether the run was last seen so shortly before a time that it can hardly have
// ended by then. What has been seen since shows that the target was not down at that time.
func (s State) seenUntil(t boot.Time) bool { return s.seenAt <= t && t <= s.provenTo }

// CrashIfExcluded returns what it proves about the task if its run is excluded and has not been
// listed since, and whether the run may have started at all.
func (s State) CrashIfExcluded() (c msgs.Crash, mayHaveStarted bool) {
	return s.crash, s.phase == Moved || s.InProgress()
}
