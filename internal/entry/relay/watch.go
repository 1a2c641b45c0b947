package relay

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	checkInterval = 100 * time.Millisecond
	maxSilence    = 400 * time.Millisecond // without a reply to calls before a home is probed
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 500 * time.Millisecond // between two probes of a suspect
)

// watch keeps, for each home, whether it answers. The zero value suspects
// nobody. It is safe for concurrent use.
type healthTracker struct {
	mu    sync.Mutex
	homes map[string]*homeHealth // by address
}

type homeHealth struct {
	outstanding int       // in progress
	repliedAt   time.Time // of the last reply, or of the first call since there was none to wait for
	suspect     bool
	probedAt    time.Time
}

// calling notes a call to the home at addr.
func (t *healthTracker) callStarted(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.homeHealth(addr)
	if h.outstanding == 0 {
		h.repliedAt = now
	}
	h.outstanding++
}

// called notes the end of a call, and whether it brought a reply.
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

// suspected tells whether the home at addr is believed not to answer.
func (t *healthTracker) isSuspect(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.homes[addr]
	return ok && h.suspect
}

// probed notes whether the home at addr answered a probe.
func (t *healthTracker) probeEnded(addr string, alive bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.homeHealth(addr)
	h.suspect = !alive
	if alive {
		h.repliedAt = now
	}
}

// due returns the homes to probe now: suspects, and those that leave calls
// without a reply for long. It forgets homes that have neither.
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

// Run probes homes that may be dead until ctx ends, so that no fresh key is
// drawn for them. It needs no change of the roster.
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

func (r *Relay) probe(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := r.Pool.Call(ctx, addr, "Member.Probe", &msgs.Probe{}, &msgs.ProbeReply{})
	r.health.probeEnded(addr, err == nil, time.Now())
	if err != nil {
		r.Stats.Count("homes.suspected")
	}
}
