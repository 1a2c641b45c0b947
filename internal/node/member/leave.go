package member

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

const idleCheckInterval = 50 * time.Millisecond // between two calls of idle

// Leave requests that the node's shards move to other nodes, and waits until the
// roster shows this and idle reports that no work is left. Then it requests the
// removal of the node from the roster and waits for it. If the node is not in the
// roster, Leave only waits for idle. It returns false if ctx ends first.
func (m *Member) Leave(ctx context.Context, idle func() bool) bool {
	m.mu.Lock()
	m.leaving = true
	inRoster := m.inRoster
	node := roster.Node{Ref: m.ref}
	m.mu.Unlock()
	if !inRoster {
		return waitIdle(ctx, idle)
	}
	if !m.requestUntil(ctx, roster.Change{Kind: roster.Leave, Node: node}, m.shardsMoved) || !waitIdle(ctx, idle) {
		return false
	}
	return m.requestUntil(ctx, roster.Change{Kind: roster.Remove, Node: node}, m.removedFromRoster)
}

// requestUntil repeats the request for a change until done reports that it has taken
// effect, or ctx ends. It returns the last result of done.
func (m *Member) requestUntil(ctx context.Context, c roster.Change, done func() bool) bool {
	for ctx.Err() == nil {
		changed := m.View.Changed()
		if done() {
			return true
		}
		m.RequestChange(ctx, c)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(changeInterval):
		}
	}
	return done()
}

// shardsMoved reports whether this node is leaving or no longer in the roster, and
// owns no shard. It also returns true if all other nodes are leaving too, so that the
// shards can't move.
func (m *Member) shardsMoved() bool {
	r := m.View.Roster()
	ref := m.Ref()
	node, inRoster := r.Find(ref)
	if inRoster && !node.Leaving {
		return false
	}
	if !slices.ContainsFunc(r.Nodes(), func(n roster.Node) bool { return !n.Leaving }) {
		return true
	}
	for _, s := range r.Shards() {
		if s.Owner == ref {
			return false
		}
	}
	return true
}

// removedFromRoster reports whether the roster no longer has this incarnation.
func (m *Member) removedFromRoster() bool {
	_, inRoster := m.View.Roster().Find(m.Ref())
	return !inRoster
}

// waitIdle waits until idle returns true. It returns false if ctx ends first.
func waitIdle(ctx context.Context, idle func() bool) bool {
	for !idle() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(idleCheckInterval):
		}
	}
	return true
}
