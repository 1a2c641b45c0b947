package roster

import (
	"slices"
	"sort"
	"strings"
)

// Ref identifies one incarnation of a node: ID is the name of the node, Inc the number
// of the incarnation, which is never 0. The zero Ref identifies no node.
type Ref struct {
	ID  string
	Inc uint64
}

// Node is a node process in the roster.
type Node struct {
	Ref
	Addr    string // network address
	Domain  string // failure domain
	Service string // service of the target at the node; empty if not known
	Slots   int    // number of tasks that the target runs at a time
	Leaving bool   // the node gets no shards and stays only to hand its own over
}

// Shard is the ownership of one part of the job-key space. MoveEpoch is the epoch at
// which Owner received the shard from PrevOwner. A zero Ref means that there is no
// owner, or that there was none before.
type Shard struct {
	Owner     Ref
	MoveEpoch uint64
	PrevOwner Ref
}

// Roster is the membership of a region in one epoch. The zero value has epoch 0, no
// nodes and no shards.
type Roster struct {
	epoch  uint64
	nodes  []Node
	shards []Shard
}

// New returns the first roster of a region, with epoch 1, no nodes and n shards without
// an owner.
func New(n int) Roster { return Roster{epoch: 1, shards: make([]Shard, n)} }

// FromParts returns the roster with the given parts, as read from the platform's table
// or received from another process. It copies both slices.
func FromParts(epoch uint64, nodes []Node, shards []Shard) Roster {
	r := Roster{epoch: epoch, nodes: slices.Clone(nodes), shards: slices.Clone(shards)}
	sortNodes(r.nodes)
	return r
}

// Epoch returns the epoch of the roster. Newer rosters of a region have higher epochs.
func (r Roster) Epoch() uint64 { return r.epoch }

// Nodes returns the nodes in order of ID. The caller must not modify the slice.
func (r Roster) Nodes() []Node { return r.nodes }

// Shards returns the shards by number. The caller must not modify the slice.
func (r Roster) Shards() []Shard { return r.shards }

// Shard returns shard i. It panics if i is out of range.
func (r Roster) Shard(i int) Shard { return r.shards[i] }

// Find returns the node with the ID and incarnation of ref. It returns false if the
// roster has no such node.
func (r Roster) Find(ref Ref) (Node, bool) {
	n, ok := r.FindByID(ref.ID)
	return n, ok && n.Inc == ref.Inc && ref.Inc != 0
}

// FindByID returns the node with the given ID, in any incarnation. It returns false if
// the roster has no such node.
func (r Roster) FindByID(id string) (Node, bool) {
	i := sort.Search(len(r.nodes), func(i int) bool { return r.nodes[i].ID >= id })
	if i == len(r.nodes) || r.nodes[i].ID != id {
		return Node{}, false
	}
	return r.nodes[i], true
}

// Owner returns the node that owns shard i. It returns false if the shard has no owner
// or its owner is no longer in the roster. It panics if i is out of range.
func (r Roster) Owner(i int) (Node, bool) { return r.Find(r.shards[i].Owner) }

// Successors returns up to n nodes, other than the one with the given ID, that follow
// this ID in the ring of all IDs.
func (r Roster) Successors(id string, n int) []Node {
	var successors []Node
	start := sort.Search(len(r.nodes), func(i int) bool { return r.nodes[i].ID > id })
	for i := 0; i < len(r.nodes) && len(successors) < n; i++ {
		node := r.nodes[(start+i)%len(r.nodes)]
		if node.ID != id {
			successors = append(successors, node)
		}
	}
	return successors
}

func sortNodes(nodes []Node) {
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
}
