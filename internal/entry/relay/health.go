package relay

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	checkInterval = 100 * time.Millisecond // between two checks for homes to probe
	maxSilence    = 400 * time.Millisecond // time without a reply to outstanding calls before a home is probed
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 500 * time.Millisecond // least time between two probes of a home
)

// healthTracker tracks which homes answer calls and probes. The zero value suspects
// no home. It is safe for concurrent use.
type healthTracker struct {
	mu    sync.Mutex
	homes map[string]*homeHealth // by address
}

// homeHealth is the health of one home.
type homeHealth struct {
	outstanding int       // number of calls without a reply so far
	repliedAt   time.Time // when the last reply arrived, or when the first of the outstanding calls was sent if that is later
	suspect     bool
	probedAt    time.Time // when the last probe was due
}

// callStarted records a call to the home at addr.
func (t *healthTracker) callStarted(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.homeHealth(addr)
	if h.outstanding == 0 {
		h.repliedAt = now
	}
	h.outstanding++
}

// callEnded records the end of a call, and whether the home replied.
func (t *healthTracker) callEnded(addr string, replied bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.homeHealth(addr)
	h.outstanding--
	if replied {
		h.repliedAt = now
		h.suspect = false
	} else {
		h.suspect = true
	}
}

// isSuspect reports whether the home at addr is suspected not to answer.
func (t *healthTracker) isSuspect(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.homes[addr]
	return ok && h.suspect
}

// probeEnded records whether the home at addr answered a probe.
func (t *healthTracker) probeEnded(addr string, alive bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.homeHealth(addr)
	h.suspect = !alive
	if alive {
		h.repliedAt = now
	}
}

// dueProbes returns the addresses of the homes to probe now: suspects, and those that
// have not replied to outstanding calls for longer than maxSilence. It deletes the
// homes that are not suspected and have no outstanding calls.
func (t *healthTracker) dueProbes(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for addr, h := range t.homes {
		silent := h.outstanding > 0 && now.Sub(h.repliedAt) > maxSilence
		switch {
		case (h.suspect || silent) && now.Sub(h.probedAt) > probeInterval:
			h.probedAt = now
			due = append(due, addr)
		case h.outstanding == 0 && !h.suspect:
			delete(t.homes, addr)
		}
	}
	return due
}

// homeHealth returns the health of the home at addr, and creates it if needed. The
// caller holds mu.
func (t *healthTracker) homeHealth(addr string) *homeHealth {
	h, ok := t.homes[addr]
	if !ok {
		if t.homes == nil {
			t.homes = map[string]*homeHealth{}
		}
		h = &homeHealth{}
		t.homes[addr] = h
	}
	return h
}

// Run probes homes that may have failed until ctx ends, so that no new key is
// generated for them. This takes effect before the roster changes.
func (r *Relay) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, addr := range r.health.dueProbes(now) {
				go r.probe(ctx, addr)
			}
		}
	}
}

// probe sends a probe to the node at addr and records whether it answers.
func (r *Relay) probe(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := r.Pool.Call(ctx, addr, "Member.Probe", &msgs.Probe{}, &msgs.ProbeReply{})
	r.health.probeEnded(addr, err == nil, time.Now())
	if err != nil {
		r.Stats.Count("homes.suspected")
	}
}
