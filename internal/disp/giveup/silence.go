package giveup

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
)

// silence is what the calls to an entry have shown since it last answered or called.
type silence struct {
	since   boot.Time // when it first did not answer
	refused boot.Time // since when it refuses connections; 0 if it has not refused the last one
	last    boot.Time // when it last did not answer
}

// Record records the outcome of a call to the entry at addr: nil if it has answered.
func (a *Asker) Record(addr string, err error) {
	if err == nil {
		a.Heard(addr)
		return
	}
	if a.recordSilence(addr, isRefused(err)) {
		a.event("entry_silent", "peer", addr, "err", err)
	}
}

// recordSilence records a call without an answer, and whether the connection was refused. It
// reports whether the entry had answered the call before.
func (a *Asker) recordSilence(addr string, refused bool) (first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.silences[addr]
	first = s == nil
	if first {
		s = &silence{}
		if a.silences == nil {
			a.silences = map[string]*silence{}
		}
		a.silences[addr] = s
	}
	now := a.now()
	if first || now.Sub(s.last) > gate.MaxOrphanTime {
		s.since, s.refused = now, 0 // it may have lived in between
	}
	switch {
	case !refused:
		s.refused = 0 // it may have been started again
	case s.refused == 0:
		s.refused = now
	}
	s.last = now
	return first
}

// Heard records that the entry at addr has answered or called.
func (a *Asker) Heard(addr string) {
	if a.Forget(addr) {
		a.event("entry_answers", "peer", addr)
	}
}

// Forget deletes what is stored about the entry at addr. It reports whether it did not answer.
func (a *Asker) Forget(addr string) (silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	silent = a.silences[addr] != nil
	delete(a.silences, addr)
	return silent
}

// Silent reports whether the entry at addr has not answered the last call.
func (a *Asker) Silent(addr string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silences[addr] != nil
}

// SilentFor returns for how long the entry at addr has not answered; 0 if it has answered the
// last call.
func (a *Asker) SilentFor(addr string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.silences[addr]
	if s == nil {
		return 0
	}
	return a.now().Sub(s.since)
}

// unanswered reports whether the entry at addr has not answered the last call, and has not
// refused a connection either: it may live.
func (a *Asker) unanswered(addr string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.silences[addr]
	return s != nil && s.refused == 0
}

// refusedSince returns when the entry at addr first refused a connection, or the present time if
// it has been heard of since.
func (a *Asker) refusedSince(addr string) boot.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.silences[addr]; s != nil && s.refused != 0 {
		return s.refused
	}
	return a.now()
}

// untilEndedBySilence returns for how long the tasks of an entry do not yet count as ended because
// it has not answered for so long, though nothing proves that; it may have answered or called by
// then. An entry that is asked since begin gets the time to answer.
func (a *Asker) untilEndedBySilence(addr string, begin boot.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.silences[addr]
	if s == nil {
		return silentAnswerWait
	}
	ended := max(s.since, s.refused).Add(gate.MaxOrphanTime)
	return max(ended, begin.Add(silentAnswerWait)).Sub(a.now())
}
