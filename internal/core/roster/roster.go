package roster

import (
	"slices"
	"sort"
	"strings"
)

// Ref names one incarnation of a node. The zero Ref names nobody.
type Ref struct {
	ID  string
	Inc uint64
}

// Node is a node process as the roster lists it.
type Node struct {
	Ref
	Addr    string
	Domain  string
	Service string
	Slots   int
	Leaving bool
}

// Shard is the ownership of one part of the job-key space. Moved is the epoch
// at which Owner got it from Prev.
type Shard struct {
	Owner     Ref
	Moved     uint64
	PrevOwner Ref
}

// Roster is one epoch of a region's membership. The zero value has no shards.
type Roster struct {
	epoch  uint64
	nodes  []Node
	shards []Shard
}

// New returns the first roster of a region, at epoch 1 with n unowned shards.
func New(n int) Roster { return Roster{epoch: 1, shards: make([]Shard, n)} }

// Make returns the roster with the given parts, as read from a table or peer.
// It keeps neither slice.
func FromParts(epoch uint64, nodes []Node, shards []Shard) Roster {
	r := Roster{epoch: epoch, nodes: slices.Clone(nodes), shards: slices.Clone(shards)}
	sortNodes(r.nodes)
	return r
}

// Epoch returns the number of this state of the roster; it only rises.
func (r Roster) Epoch() uint64 { return r.epoch }

// Nodes returns the nodes in order of ID. The caller must not change them.
func (r Roster) Nodes() []Node { return r.nodes }

// Shards returns the shards in order. The caller must not change them.
func (r Roster) Shards() []Shard { return r.shards }

// Shard returns shard i. It panics if i is out of range.
func (r Roster) Shard(i int) Shard { return r.shards[i] }

// Find returns the node listed under ref, of just that incarnation.
func (r Roster) Find(ref Ref) (Node, bool) {
	n, ok := r.FindByID(ref.ID)
	return n, ok && n.Inc == ref.Inc && ref.Inc != 0
}

// Named returns the node listed under id, whatever its incarnation.
func (r Roster) FindByID(id string) (Node, bool) {
	i := sort.Search(len(r.nodes), func(i int) bool { return r.nodes[i].ID >= id })
	if i == len(r.nodes) || r.nodes[i].ID != id {
		return Node{}, false
	}
	return r.nodes[i], true
}

// Owner returns the listed node that owns shard i.
func (r Roster) Owner(i int) (Node, bool) { return r.Find(r.shards[i].Owner) }

// Peers returns up to n other nodes that follow id in the ring of IDs.
func (r Roster) Successors(id string, n int) []Node {
	var peers []Node
	start := sort.Search(len(r.nodes), func(i int) bool { return r.nodes[i].ID > id })
	for i := 0; i < len(r.nodes) && len(peers) < n; i++ {
		node := r.nodes[(start+i)%len(r.nodes)]
		if node.ID != id {
			peers = append(peers, node)
		}
	}
	return peers
}

func sortNodes(nodes []Node) {
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
}
