package giveup

import (
	"context"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
)

// gateRetryTime is the time between two calls to a gate that has been silent for so long that
// no job waits for it.
const gateRetryTime = 500 * time.Millisecond

// gateSilence is what the calls to a gate have shown since it last answered.
type gateSilence struct {
	since boot.Time // when it first did not answer
	last  boot.Time // when it last did not answer
	tried boot.Time // when it was last called to see whether it answers again
}

// recordGate records the outcome of a call to the gate at addr: nil if it has answered.
func (a *Asker) recordGate(addr string, err error) {
	since := a.silentSince(addr)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		delete(a.silentGates, addr)
		return
	}
	s, silent := a.silentGates[addr]
	if !silent {
		s.since = since
	}
	s.last = a.now()
	if a.silentGates == nil {
		a.silentGates = map[string]gateSilence{}
	}
	a.silentGates[addr] = s
}

// hasEnded reports whether the gate at addr has been silent for so long that the tasks there
// have ended by the leases. It calls such a gate now and then without waiting for the answer.
// One that has not been called for that long may have answered in between.
func (a *Asker) hasEnded(addr string) bool {
	lastAnswer := a.gateView(addr).LastAnswer
	a.mu.Lock()
	defer a.mu.Unlock()
	s, silent := a.silentGates[addr]
	now := a.now()
	if lastAnswer > s.since || now.Sub(s.last) > gate.MaxOrphanTime {
		delete(a.silentGates, addr)
		return false
	}
	if !silent || now < s.since.Add(gate.MaxOrphanTime) {
		return false
	}
	if now.Sub(s.tried) >= gateRetryTime {
		s.tried = now
		a.silentGates[addr] = s
		go a.tryGate(addr)
	}
	return true
}

// tryGate calls a gate to see whether it answers.
func (a *Asker) tryGate(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	_, err := a.callGate(ctx, addr, nil)
	a.recordGate(addr, err)
}

// silentSince returns since when a gate that has just not answered has been silent, at the
// latest. One whose link has not had an answer for link.MaxLoadAge fell silent before that time
// was over.
func (a *Asker) silentSince(addr string) boot.Time {
	since := a.now()
	if last := a.gateView(addr).LastAnswer; last != 0 {
		since = min(since, last.Add(link.MaxLoadAge))
	}
	return since
}
