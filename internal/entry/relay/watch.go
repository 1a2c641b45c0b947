package relay

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
)

const (
	watchInterval = 100 * time.Millisecond
	quietTime     = 400 * time.Millisecond // without a reply to calls before a home is probed
	probeTimeout  = 300 * time.Millisecond
	probePause    = 500 * time.Millisecond // between two probes of a suspect
)

// watch keeps, for each home, whether it answers. The zero value suspects
// nobody. It is safe for concurrent use.
type watch struct {
	mu    sync.Mutex
	homes map[string]*homeState // by address
}

type homeState struct {
	calls   int       // in progress
	heard   time.Time // of the last reply, or of the first call since there was none to wait for
	suspect bool
	probed  time.Time
}

// calling notes a call to the home at addr.
func (w *watch) calling(addr string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.home(addr)
	if h.calls == 0 {
		h.heard = now
	}
	h.calls++
}

// called notes the end of a call, and whether it brought a reply.
func (w *watch) called(addr string, replied bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.home(addr)
	h.calls--
	if replied {
		h.heard = now
		h.suspect = false
	} else {
		h.suspect = true
	}
}

// suspected tells whether the home at addr is believed not to answer.
func (w *watch) suspected(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.homes[addr]
	return ok && h.suspect
}

// probed notes whether the home at addr answered a probe.
func (w *watch) probed(addr string, alive bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.home(addr)
	h.suspect = !alive
	if alive {
		h.heard = now
	}
}

// due returns the homes to probe now: suspects, and those that leave calls
// without a reply for long. It forgets homes that have neither.
func (w *watch) due(now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []string
	for addr, h := range w.homes {
		quiet := h.calls > 0 && now.Sub(h.heard) > quietTime
		switch {
		case (h.suspect || quiet) && now.Sub(h.probed) > probePause:
			h.probed = now
			due = append(due, addr)
		case h.calls == 0 && !h.suspect:
			delete(w.homes, addr)
		}
	}
	return due
}

func (w *watch) home(addr string) *homeState {
	h, ok := w.homes[addr]
	if !ok {
		if w.homes == nil {
			w.homes = map[string]*homeState{}
		}
		h = &homeState{}
		w.homes[addr] = h
	}
	return h
}

// Run probes homes that may be dead until ctx ends, so that no fresh key is
// drawn for them. It needs no change of the roster.
func (r *Relay) Run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, addr := range r.watch.due(now) {
				go r.probe(ctx, addr)
			}
		}
	}
}

func (r *Relay) probe(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := r.Pool.Call(ctx, addr, "Member.Probe", &msgs.Probe{}, &msgs.ProbeReply{})
	r.watch.probed(addr, err == nil, time.Now())
	if err != nil {
		r.Stats.Count("homes.suspected")
	}
}
