package roster

import (
	"slices"
	"strings"
)

// Change is one wish to alter the membership.
type Change struct {
	Kind Kind
	Node Node
}

// Kind tells what a Change does.
type Kind int

const (
	// Join lists a node, or a new incarnation or new data of it.
	Join Kind = iota + 1
	// Leave moves a node's shards away and keeps it listed for handover.
	Leave
	// Remove strikes an incarnation off the list.
	Remove
)

// With returns the roster with the changes made, one epoch later, or r itself
// if they change nothing. A join of an incarnation already listed updates its
// data, and one that does not know its service yet keeps the one listed under
// its ID. A leave or removal of an incarnation not listed does nothing.
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
	next.restart()
	next.balance()
	return next
}

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

// restart hands the shards of a node's former incarnation to its present one.
func (r *Roster) restart() {
	for i, s := range r.shards {
		n, ok := r.FindByID(s.Owner.ID)
		if ok && n.Inc != s.Owner.Inc && !n.Leaving {
			r.move(i, n.Ref)
		}
	}
}

// balance gives every shard a listed owner that stays, and moves as few
// shards as it can so that owners differ by one shard at most.
func (r *Roster) balance() {
	counts := r.counts()
	if len(counts) == 0 {
		return
	}
	quotas := quotas(counts, len(r.shards))
	var free []int
	for i, s := range r.shards {
		held, stays := counts[s.Owner]
		if stays && held <= quotas[s.Owner] {
			continue
		}
		free = append(free, i)
		if stays {
			counts[s.Owner]--
		}
	}
	for _, i := range free {
		to := r.neediest(counts, quotas)
		counts[to]++
		r.move(i, to)
	}
}

// quotas returns the number of shards each owner is due: an equal part, and
// one more for those that hold most already while the division leaves a rest.
func quotas(counts map[Ref]int, shards int) map[Ref]int {
	refs := make([]Ref, 0, len(counts))
	for ref := range counts {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b Ref) int {
		if d := counts[b] - counts[a]; d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	due := make(map[Ref]int, len(refs))
	for i, ref := range refs {
		due[ref] = shards / len(refs)
		if i < shards%len(refs) {
			due[ref]++
		}
	}
	return due
}

// counts returns how many shards each node that stays owns.
func (r *Roster) counts() map[Ref]int {
	counts := map[Ref]int{}
	for _, n := range r.nodes {
		if !n.Leaving {
			counts[n.Ref] = 0
		}
	}
	for _, s := range r.shards {
		if _, ok := counts[s.Owner]; ok {
			counts[s.Owner]++
		}
	}
	return counts
}

// neediest returns the node furthest below its quota.
func (r *Roster) neediest(counts, quotas map[Ref]int) Ref {
	var best Ref
	for _, n := range r.nodes {
		held, ok := counts[n.Ref]
		if !ok {
			continue
		}
		if best.Inc == 0 || quotas[n.Ref]-held > quotas[best]-counts[best] {
			best = n.Ref
		}
	}
	return best
}

// move gives shard i to another owner. Prev stays the owner of the epoch before,
// also if the shard moves twice within one.
func (r *Roster) move(i int, to Ref) {
	s := r.shards[i]
	if s.Moved < r.epoch {
		s.PrevOwner = s.Owner
	}
	s.Owner = to
	s.Moved = r.epoch
	r.shards[i] = s
}
