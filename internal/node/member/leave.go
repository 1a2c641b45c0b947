package member

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

const idleCheckInterval = 50 * time.Millisecond

// Leave has the node's shards moved away and waits until they are handed over
// and idle reports that no work is left, or ctx ends. Then it has the node
// struck off the roster. It reports whether all that succeeded.
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

// until repeats a change until done reports its effect or ctx ends.
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

// shardsMoved tells whether the roster lists this node as leaving and gives it
// no shard, or has nobody to give its shards to.
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

func (m *Member) removedFromRoster() bool {
	_, inRoster := m.View.Roster().Find(m.Ref())
	return !inRoster
}

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
