package rules

import (
	"context"
	"iter"
	"time"
)

// resetTime is how long the load balancer waits for an answer of an entry that it can't
// reach until it resets the connection of the caller.
const resetTime = 600 * time.Millisecond

// probeInterval is the time between the keep-alive probes of an entry on the connection of a
// caller.
const probeInterval = time.Second

// path is what connects an entry with others.
type path int

const (
	callersPath path = iota // to the load balancer, and so to the callers
	peersPath               // to the other entries
	gatesPath               // to all gates
	storePath               // to the platform's store
)

// cut cuts a path of entry i and returns the function that restores it. A path that is cut
// twice is there again when both cuts have ended.
func (c *cluster) cut(p path, i int) (heal func()) {
	add := func(n int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cuts[p][i] += n
	}
	add(1)
	return func() { add(-1) }
}

// isCut reports whether a path of entry i is cut.
func (c *cluster) isCut(p path, i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[p][i] > 0
}

// apart reports whether two entries can't reach each other.
func (c *cluster) apart(i, j int) bool { return c.isCut(peersPath, i) || c.isCut(peersPath, j) }

// cutCallersPath cuts entry i off from the load balancer. Its callers' connections go silent
// for the entry until it probes them after the cut; what arrives after resetTime at the callers
// is a reset.
func (c *cluster) cutCallersPath(i int) (heal func()) {
	heal = c.cut(callersPath, i)
	c.silenceCallers(i)
	return heal
}

// awaitReset lets a caller wait until the load balancer resets its connection to entry i,
// if the balancer can't reach the entry, and reports whether that is so.
func (c *cluster) awaitReset(callerCtx context.Context, i int) bool {
	if !c.isCut(callersPath, i) {
		return false
	}
	select {
	case <-callerCtx.Done():
	case <-time.After(resetTime):
	}
	return true
}

// probeConnection ends the connection of a caller that has been reset, as soon as entry i
// learns of it: it probes the connection while the path is not cut. What has gone silent
// without a cut stays so.
func (c *cluster) probeConnection(i int, wasCut bool, disconnect func()) {
	for {
		select {
		case <-c.done:
			disconnect()
			return
		case <-time.After(probeInterval):
		}
		if wasCut && !c.isCut(callersPath, i) {
			disconnect()
			return
		}
	}
}

// others yields the indices of the entries but i.
func (c *cluster) others(i int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for j := range c.entries {
			if j != i && !yield(j) {
				return
			}
		}
	}
}
