package rows

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// maxShards is the largest number of shards accepted in a row.
const maxShards = 1 << 16

// ErrMalformed means that the value of a row is not valid.
var ErrMalformed = merry.Sentinel("malformed row")

// RosterName returns the name of the row with the roster of a region.
func RosterName(region string) string { return "roster/" + region }

// rosterDoc is the JSON form of a roster.
type rosterDoc struct {
	Epoch  uint64      `json:"epoch"`
	Nodes  []nodeDoc   `json:"nodes"`
	Refs   []refDoc    `json:"refs"`   // incarnations of nodes that Shards refer to
	Shards [][3]uint64 `json:"shards"` // owner, move epoch, previous owner; owner i is Refs[i-1], owner 0 is none
}

// refDoc is the JSON form of a roster.Ref.
type refDoc struct {
	ID  string `json:"id"`
	Inc uint64 `json:"inc"`
}

// nodeDoc is the JSON form of a node.
type nodeDoc struct {
	ID      string `json:"id"`
	Inc     uint64 `json:"inc"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// EncodeRoster returns the value of the row of a roster.
func EncodeRoster(r roster.Roster) ([]byte, error) {
	doc := rosterDoc{Epoch: r.Epoch(), Shards: make([][3]uint64, 0, len(r.Shards()))}
	for _, n := range r.Nodes() {
		doc.Nodes = append(doc.Nodes, nodeDoc{
			ID: n.ID, Inc: n.Inc, Addr: n.Addr, Domain: n.Domain,
			Service: n.Service, Slots: n.Slots, Leaving: n.Leaving,
		})
	}
	// refNumber returns the number of ref in the row, and adds ref to doc.Refs if it is new.
	refNumbers := map[roster.Ref]uint64{}
	refNumber := func(ref roster.Ref) uint64 {
		if ref == (roster.Ref{}) {
			return 0
		}
		if _, ok := refNumbers[ref]; !ok {
			doc.Refs = append(doc.Refs, refDoc{ID: ref.ID, Inc: ref.Inc})
			refNumbers[ref] = uint64(len(doc.Refs))
		}
		return refNumbers[ref]
	}
	for _, s := range r.Shards() {
		doc.Shards = append(doc.Shards, [3]uint64{refNumber(s.Owner), s.MoveEpoch, refNumber(s.PrevOwner)})
	}
	return json.Marshal(doc)
}

// DecodeRoster returns the roster in the value of a row. It returns ErrMalformed if the
// value can't be parsed, if the epoch or the number of shards is out of range, if a node
// is invalid or occurs twice, or if a shard has an unknown owner or an epoch after that
// of the roster.
func DecodeRoster(value []byte) (roster.Roster, error) {
	var doc rosterDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return roster.Roster{}, merry.Append(ErrMalformed, err.Error())
	}
	if doc.Epoch == 0 || len(doc.Shards) == 0 || len(doc.Shards) > maxShards {
		return roster.Roster{}, merry.Append(ErrMalformed, "epoch or number of shards is out of range")
	}
	nodes, err := doc.nodes()
	if err != nil {
		return roster.Roster{}, err
	}
	shards, err := doc.shards()
	if err != nil {
		return roster.Roster{}, err
	}
	return roster.FromParts(doc.Epoch, nodes, shards), nil
}

// nodes returns the nodes, or ErrMalformed if one of them is invalid or repeated.
func (doc rosterDoc) nodes() ([]roster.Node, error) {
	seen := map[string]bool{}
	var nodes []roster.Node
	for _, n := range doc.Nodes {
		if !jobkey.ValidName(n.ID) || n.Inc == 0 || seen[n.ID] || n.Slots < 0 {
			return nil, merry.Appendf(ErrMalformed, "node %q is invalid or repeated", n.ID)
		}
		seen[n.ID] = true
		nodes = append(nodes, roster.Node{
			Ref: roster.Ref{ID: n.ID, Inc: n.Inc}, Addr: n.Addr, Domain: n.Domain,
			Service: n.Service, Slots: n.Slots, Leaving: n.Leaving,
		})
	}
	return nodes, nil
}

// shards returns the shards, or ErrMalformed if one of them is invalid.
func (doc rosterDoc) shards() ([]roster.Shard, error) {
	// ref returns the incarnation with number i in the row.
	ref := func(i uint64) roster.Ref {
		if i == 0 {
			return roster.Ref{}
		}
		return roster.Ref(doc.Refs[i-1])
	}
	shards := make([]roster.Shard, 0, len(doc.Shards))
	for i, s := range doc.Shards {
		last := uint64(len(doc.Refs))
		if s[0] > last || s[2] > last || s[1] > doc.Epoch {
			return nil, merry.Appendf(ErrMalformed, "shard %d has an unknown owner or a future epoch", i)
		}
		shards = append(shards, roster.Shard{Owner: ref(s[0]), MoveEpoch: s[1], PrevOwner: ref(s[2])})
	}
	return shards, nil
}
