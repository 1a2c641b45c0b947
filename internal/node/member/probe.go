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

// probeLoop probes the successors of this node in the roster until ctx ends.
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
		if _, inRoster := r.Find(m.Ref()); !inRoster {
			continue
		}
		var wg sync.WaitGroup
		for _, node := range r.Successors(m.ID, health.ProbersPerNode) {
			wg.Go(func() { m.probe(ctx, r, node) })
		}
		wg.Wait()
	}
}

// probe sends a probe to node. It requests the removal of the node if its address
// refuses the connection, or if the node does not answer and the other probers
// confirm the suspicion.
func (m *Member) probe(ctx context.Context, r roster.Roster, node roster.Node) {
	reply, err := m.sendProbe(ctx, node, roster.Ref{})
	now := time.Now()
	switch {
	case err == nil && reply.Incarnation == node.Inc:
		m.detector.Answered(node.Ref, now)
		return
	case errors.Is(err, peer.ErrRefused):
		m.reportSuspect(ctx, node, "refused")
		return
	}
	if m.detector.Unanswered(node.Ref, now) && m.confirmSuspicion(ctx, r, node) {
		m.reportSuspect(ctx, node, "silent")
	}
}

// confirmSuspicion asks the other probers of the suspect whether they suspect it too.
// It returns true if one does or if there are no others.
func (m *Member) confirmSuspicion(ctx context.Context, r roster.Roster, suspect roster.Node) bool {
	others := 0
	for _, node := range r.Nodes() {
		if node.ID == m.ID || node.ID == suspect.ID || !isProber(r, node.ID, suspect.ID) {
			continue
		}
		others++
		reply, err := m.sendProbe(ctx, node, suspect.Ref)
		if err == nil && reply.Suspected {
			return true
		}
	}
	return others == 0
}

// isProber reports whether the node with the given id probes the node with the ID
// probed.
func isProber(r roster.Roster, id, probed string) bool {
	for _, p := range r.Successors(id, health.ProbersPerNode) {
		if p.ID == probed {
			return true
		}
	}
	return false
}

// sendProbe sends a probe to the node to, and asks it whether it suspects the node
// suspect. The zero Ref asks about no node.
func (m *Member) sendProbe(ctx context.Context, to roster.Node, suspect roster.Ref) (*msgs.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ref := m.Ref()
	args := &msgs.Probe{SenderID: ref.ID, SenderIncarnation: ref.Inc, SuspectID: suspect.ID, SuspectIncarnation: suspect.Inc}
	reply := &msgs.ProbeReply{}
	return reply, m.Pool.Call(ctx, to.Addr, "Member.Probe", args, reply)
}

// reportSuspect logs the suspicion and requests the removal of the node.
func (m *Member) reportSuspect(ctx context.Context, node roster.Node, reason string) {
	m.Stats.Count("suspected." + reason)
	m.Log.Event("suspect", "node", node.ID, "inc", node.Inc, "reason", reason)
	m.RequestChange(ctx, roster.Change{Kind: roster.Remove, Node: node})
}

// Probe is the net/rpc method by which a process asks for the present incarnation of
// this node, and whether this node suspects another one.
func (m *Member) Probe(args *msgs.Probe, reply *msgs.ProbeReply) error {
	reply.Incarnation = m.Ref().Inc
	if args.SuspectID != "" {
		reply.Suspected = m.detector.Suspects(roster.Ref{ID: args.SuspectID, Inc: args.SuspectIncarnation}, time.Now())
	}
	return nil
}
