package roster

import (
	"slices"
	"strings"
)

// Change is a requested change of the membership.
type Change struct {
	Kind ChangeKind
	Node Node
}

// ChangeKind is the kind of a Change. Its values are sent between processes.
type ChangeKind int

const (
	// Join adds a node, or replaces it by a new incarnation or by new data.
	Join ChangeKind = iota + 1
	// Leave moves the shards of a node to other nodes, and keeps the node in the
	// roster so that it can hand them over.
	Leave
	// Remove deletes an incarnation of a node from the roster.
	Remove
)

// With returns the roster after the given changes, one epoch later, or r itself if
// they have no effect. A join of an incarnation that is already in the roster updates
// its data. A join without a service keeps the service that the roster has for the
// ID. A leave or removal of an incarnation that is not in the roster has no effect.
func (r Roster) With(changes ...Change) Roster {
	next := FromParts(r.epoch+1, r.nodes, r.shards)
	changed := false
	for _, c := range changes {
		if next.apply(c) {
			changed = true
		}
	}
	if !changed {
		return r
	}
	next.reassignRestarted()
	next.rebalance()
	return next
}

// apply makes one change to the nodes, and reports whether it had an effect.
func (r *Roster) apply(c Change) bool {
	i := slices.IndexFunc(r.nodes, func(n Node) bool { return n.ID == c.Node.ID })
	switch c.Kind {
	case Join:
		return r.join(i, c.Node)
	case Leave:
		if i < 0 || r.nodes[i].Inc != c.Node.Inc || r.nodes[i].Leaving {
			return false
		}
		r.nodes[i].Leaving = true
		return true
	case Remove:
		if i < 0 || r.nodes[i].Inc != c.Node.Inc {
			return false
		}
		r.nodes = slices.Delete(r.nodes, i, i+1)
		return true
	}
	return false
}

// join adds node n, or replaces the node at index i if i is not negative. It reports
// whether that had an effect.
func (r *Roster) join(i int, n Node) bool {
	if i < 0 {
		r.nodes = append(r.nodes, n)
		sortNodes(r.nodes)
		return true
	}
	old := r.nodes[i]
	if old.Inc == n.Inc {
		n.Leaving = n.Leaving || old.Leaving
	}
	if n.Service == "" {
		n.Service = old.Service
	}
	if old == n {
		return false
	}
	r.nodes[i] = n
	return true
}

// reassignRestarted moves the shards of previous incarnations of nodes to the present
// ones, except to nodes that are leaving.
func (r *Roster) reassignRestarted() {
	for i, s := range r.shards {
		n, ok := r.FindByID(s.Owner.ID)
		if ok && n.Inc != s.Owner.Inc && !n.Leaving {
			r.moveShard(i, n.Ref)
		}
	}
}

// rebalance gives every shard an owner that is in the roster and not leaving. It moves
// the fewest shards for which the numbers of shards of the owners differ by at most
// one. Without such owners it does nothing.
func (r *Roster) rebalance() {
	shardCounts := r.shardCounts()
	if len(shardCounts) == 0 {
		return
	}
	shardQuotas := shardQuotas(shardCounts, len(r.shards))
	var unassigned []int
	for i, s := range r.shards {
		owned, stays := shardCounts[s.Owner]
		if stays && owned <= shardQuotas[s.Owner] {
			continue
		}
		unassigned = append(unassigned, i)
		if stays {
			shardCounts[s.Owner]--
		}
	}
	for _, i := range unassigned {
		to := r.furthestBelowQuota(shardCounts, shardQuotas)
		shardCounts[to]++
		r.moveShard(i, to)
	}
}

// shardQuotas returns the number of shards that each owner is to have: an equal part,
// and one more for as many owners as the remainder of the division. These are the
// owners that have the most shards now, and of equal ones those with the lowest IDs.
func shardQuotas(shardCounts map[Ref]int, shards int) map[Ref]int {
	refs := make([]Ref, 0, len(shardCounts))
	for ref := range shardCounts {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b Ref) int {
		if d := shardCounts[b] - shardCounts[a]; d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	quota := make(map[Ref]int, len(refs))
	for i, ref := range refs {
		quota[ref] = shards / len(refs)
		if i < shards%len(refs) {
			quota[ref]++
		}
	}
	return quota
}

// shardCounts returns the number of shards of each node that is not leaving.
func (r *Roster) shardCounts() map[Ref]int {
	shardCounts := map[Ref]int{}
	for _, n := range r.nodes {
		if !n.Leaving {
			shardCounts[n.Ref] = 0
		}
	}
	for _, s := range r.shards {
		if _, ok := shardCounts[s.Owner]; ok {
			shardCounts[s.Owner]++
		}
	}
	return shardCounts
}

// furthestBelowQuota returns the node that is furthest below its quota, and of equal
// ones that with the lowest ID.
func (r *Roster) furthestBelowQuota(shardCounts, shardQuotas map[Ref]int) Ref {
	var best Ref
	for _, n := range r.nodes {
		owned, ok := shardCounts[n.Ref]
		if !ok {
			continue
		}
		if best.Inc == 0 || shardQuotas[n.Ref]-owned > shardQuotas[best]-shardCounts[best] {
			best = n.Ref
		}
	}
	return best
}

// moveShard gives shard i to another owner. PrevOwner is the owner in the preceding
// epoch, even if the shard moves twice within this epoch.
func (r *Roster) moveShard(i int, to Ref) {
	s := r.shards[i]
	if s.MoveEpoch < r.epoch {
		s.PrevOwner = s.Owner
	}
	s.Owner = to
	s.MoveEpoch = r.epoch
	r.shards[i] = s
}
