package health

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

const (
	// Probers is the number of nodes that probe each node.
	ProbersPerNode = 3
	// Interval is the time between two probes of a node.
	ProbeInterval = 500 * time.Millisecond
	// Patience is how long a silent node is believed alive.
	Patience = 1500 * time.Millisecond
)

// Watch keeps what one prober has seen. The zero value has seen nothing. It is
// safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	peers map[roster.Ref]time.Time // last answer
}

// Answered notes that ref answered a probe at now.
func (w *Detector) Answered(ref roster.Ref, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen()[ref] = now
}

// Silent notes that a probe of ref went unanswered at now. It reports whether
// ref has been silent for longer than Patience.
func (w *Detector) Unanswered(ref roster.Ref, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, ok := w.seen()[ref]
	if !ok {
		w.peers[ref] = now
		return false
	}
	return now.Sub(last) >= Patience
}

// Suspects tells whether ref has been silent for longer than Patience at now.
// A ref never probed is not suspected.
func (w *Detector) Suspects(ref roster.Ref, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	last, ok := w.peers[ref]
	return ok && now.Sub(last) >= Patience
}

// Keep forgets all peers but the given ones.
func (w *Detector) KeepOnly(peers []roster.Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := make(map[roster.Ref]time.Time, len(peers))
	for _, p := range peers {
		if last, ok := w.peers[p.Ref]; ok {
			kept[p.Ref] = last
		}
	}
	w.peers = kept
}

func (w *Detector) seen() map[roster.Ref]time.Time {
	if w.peers == nil {
		w.peers = map[roster.Ref]time.Time{}
	}
	return w.peers
}
