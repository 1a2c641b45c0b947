package health

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

const (
	// ProbersPerNode is the number of nodes that probe each node.
	ProbersPerNode = 3
	// ProbeInterval is the time between two probes of a node by one prober.
	ProbeInterval = 500 * time.Millisecond
	// SuspectAfter is the time without an answer after which a node is suspected to
	// be dead.
	SuspectAfter = 1500 * time.Millisecond
)

// Detector records the answers that one prober has received. The zero value has
// recorded none. It is safe for concurrent use.
type Detector struct {
	mu    sync.Mutex
	peers map[roster.Ref]time.Time // last answer of each peer, or first probe if there was none
}

// Answered records that ref answered a probe at now.
func (d *Detector) Answered(ref roster.Ref, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerTimes()[ref] = now
}

// Unanswered records that a probe of ref went unanswered at now. It reports whether
// ref has been silent for at least SuspectAfter.
func (d *Detector) Unanswered(ref roster.Ref, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.peerTimes()[ref]
	if !ok {
		d.peers[ref] = now
		return false
	}
	return now.Sub(last) >= SuspectAfter
}

// Suspects reports whether ref has been silent for at least SuspectAfter at now. A
// ref that was never probed is not suspected.
func (d *Detector) Suspects(ref roster.Ref, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.peers[ref]
	return ok && now.Sub(last) >= SuspectAfter
}

// KeepOnly deletes the records of all nodes but the given ones.
func (d *Detector) KeepOnly(peers []roster.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[roster.Ref]time.Time, len(peers))
	for _, p := range peers {
		if last, ok := d.peers[p.Ref]; ok {
			kept[p.Ref] = last
		}
	}
	d.peers = kept
}

// peerTimes returns the map peers, and creates it if there is none yet.
func (d *Detector) peerTimes() map[roster.Ref]time.Time {
	if d.peers == nil {
		d.peers = map[roster.Ref]time.Time{}
	}
	return d.peers
}
