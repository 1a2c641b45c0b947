package member

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
)

const leavePause = 50 * time.Millisecond

// Leave has the node's shards moved away and waits until they are handed over
// and idle reports that no work is left, or ctx ends. Then it has the node
// struck off the roster. It reports whether all that succeeded.
func (m *Member) Leave(ctx context.Context, idle func() bool) bool {
	m.mu.Lock()
	m.leaving = true
	listed := m.listed
	node := roster.Node{Ref: m.ref}
	m.mu.Unlock()
	if !listed {
		return waitIdle(ctx, idle)
	}
	if !m.until(ctx, roster.Change{Kind: roster.Leave, Node: node}, m.shardsMoved) || !waitIdle(ctx, idle) {
		return false
	}
	return m.until(ctx, roster.Change{Kind: roster.Remove, Node: node}, m.struck)
}

// until repeats a change until done reports its effect or ctx ends.
func (m *Member) until(ctx context.Context, c roster.Change, done func() bool) bool {
	for ctx.Err() == nil {
		changed := m.View.Changed()
		if done() {
			return true
		}
		m.RequestChange(ctx, c)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(joinPause):
		}
	}
	return done()
}

// shardsMoved tells whether the roster lists this node as leaving and gives it
// no shard, or has nobody to give its shards to.
func (m *Member) shardsMoved() bool {
	r := m.View.Roster()
	ref := m.Ref()
	node, listed := r.Find(ref)
	if listed && !node.Leaving {
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

func (m *Member) struck() bool {
	_, listed := m.View.Roster().Find(m.Ref())
	return !listed
}

func waitIdle(ctx context.Context, idle func() bool) bool {
	for !idle() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(leavePause):
		}
	}
	return true
}
