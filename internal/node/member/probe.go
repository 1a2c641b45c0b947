package member

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/health"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/msgs"
	"github.com/gypsumlanding/gypsumlanding/internal/wire/peer"
)

const probeTimeout = 400 * time.Millisecond

// probeLoop probes the nodes that follow this one in the roster.
func (m *Member) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(health.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r := m.View.Roster()
		if _, listed := r.Find(m.Ref()); !listed {
			continue
		}
		var wg sync.WaitGroup
		for _, node := range r.Successors(m.ID, health.ProbersPerNode) {
			wg.Go(func() { m.probe(ctx, r, node) })
		}
		wg.Wait()
	}
}

// probe asks node whether it lives, and has it removed if it is dead.
func (m *Member) probe(ctx context.Context, r roster.Roster, node roster.Node) {
	reply, err := m.send(ctx, node, roster.Ref{})
	now := time.Now()
	switch {
	case err == nil && reply.Incarnation == node.Inc:
		m.watch.Answered(node.Ref, now)
		return
	case errors.Is(err, peer.ErrRefused):
		m.remove(ctx, node, "refused")
		return
	}
	if m.watch.Unanswered(node.Ref, now) && m.agreed(ctx, r, node) {
		m.remove(ctx, node, "silent")
	}
}

// agreed asks the other probers of the suspect whether they think so too.
func (m *Member) agreed(ctx context.Context, r roster.Roster, suspect roster.Node) bool {
	others := 0
	for _, node := range r.Nodes() {
		if node.ID == m.ID || node.ID == suspect.ID || !probes(r, node.ID, suspect.ID) {
			continue
		}
		others++
		reply, err := m.send(ctx, node, suspect.Ref)
		if err == nil && reply.Suspected {
			return true
		}
	}
	return others == 0
}

// probes tells whether the node at id probes the other.
func probes(r roster.Roster, id, other string) bool {
	for _, p := range r.Successors(id, health.ProbersPerNode) {
		if p.ID == other {
			return true
		}
	}
	return false
}

func (m *Member) send(ctx context.Context, to roster.Node, ask roster.Ref) (*msgs.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ref := m.Ref()
	args := &msgs.Probe{SenderID: ref.ID, SenderIncarnation: ref.Inc, SuspectID: ask.ID, SuspectIncarnation: ask.Inc}
	reply := &msgs.ProbeReply{}
	return reply, m.Pool.Call(ctx, to.Addr, "Member.Probe", args, reply)
}

func (m *Member) remove(ctx context.Context, node roster.Node, reason string) {
	m.Stats.Count("suspected." + reason)
	m.Log.Event("suspect", "node", node.ID, "inc", node.Inc, "reason", reason)
	m.RequestChange(ctx, roster.Change{Kind: roster.Remove, Node: node})
}

// Probe answers the probe of another node.
func (m *Member) Probe(args *msgs.Probe, reply *msgs.ProbeReply) error {
	reply.Incarnation = m.Ref().Inc
	if args.SuspectID != "" {
		reply.Suspected = m.watch.Suspects(roster.Ref{ID: args.SuspectID, Inc: args.SuspectIncarnation}, time.Now())
	}
	return nil
}
