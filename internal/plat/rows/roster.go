package rows

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

const maxShards = 1 << 16

// ErrMalformed reports a row that can't be read.
var ErrMalformed = merry.Sentinel("malformed row")

// RosterName returns the name of a region's roster row.
func RosterName(region string) string { return "roster/" + region }

type rosterDoc struct {
	Epoch  uint64      `json:"epoch"`
	Nodes  []nodeDoc   `json:"nodes"`
	Refs   []refDoc    `json:"refs"`   // incarnations that shards name
	Shards [][3]uint64 `json:"shards"` // owner, moved, prev; 0 is nobody, i is Refs[i-1]
}

type refDoc struct {
	ID  string `json:"id"`
	Inc uint64 `json:"inc"`
}

type nodeDoc struct {
	ID      string `json:"id"`
	Inc     uint64 `json:"inc"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// PutRoster returns the row's value.
func EncodeRoster(r roster.Roster) ([]byte, error) {
	doc := rosterDoc{Epoch: r.Epoch(), Shards: make([][3]uint64, 0, len(r.Shards()))}
	for _, n := range r.Nodes() {
		doc.Nodes = append(doc.Nodes, nodeDoc{
			ID: n.ID, Inc: n.Inc, Addr: n.Addr, Domain: n.Domain,
			Service: n.Service, Slots: n.Slots, Leaving: n.Leaving,
		})
	}
	index := map[roster.Ref]uint64{}
	number := func(ref roster.Ref) uint64 {
		if ref == (roster.Ref{}) {
			return 0
		}
		if _, ok := index[ref]; !ok {
			doc.Refs = append(doc.Refs, refDoc{ID: ref.ID, Inc: ref.Inc})
			index[ref] = uint64(len(doc.Refs))
		}
		return index[ref]
	}
	for _, s := range r.Shards() {
		doc.Shards = append(doc.Shards, [3]uint64{number(s.Owner), s.MoveEpoch, number(s.PrevOwner)})
	}
	return json.Marshal(doc)
}

// GetRoster reads the row's value. It returns ErrMalformed for a row with
// unreadable, unnamed or repeated parts.
func DecodeRoster(value []byte) (roster.Roster, error) {
	var doc rosterDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return roster.Roster{}, merry.Append(ErrMalformed, err.Error())
	}
	if doc.Epoch == 0 || len(doc.Shards) == 0 || len(doc.Shards) > maxShards {
		return roster.Roster{}, merry.Append(ErrMalformed, "epoch or shards out of range")
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

func (doc rosterDoc) nodes() ([]roster.Node, error) {
	seen := map[string]bool{}
	var nodes []roster.Node
	for _, n := range doc.Nodes {
		if !jobkey.ValidName(n.ID) || n.Inc == 0 || seen[n.ID] || n.Slots < 0 {
			return nil, merry.Appendf(ErrMalformed, "node %q", n.ID)
		}
		seen[n.ID] = true
		nodes = append(nodes, roster.Node{
			Ref: roster.Ref{ID: n.ID, Inc: n.Inc}, Addr: n.Addr, Domain: n.Domain,
			Service: n.Service, Slots: n.Slots, Leaving: n.Leaving,
		})
	}
	return nodes, nil
}

func (doc rosterDoc) shards() ([]roster.Shard, error) {
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
			return nil, merry.Appendf(ErrMalformed, "shard %d", i)
		}
		shards = append(shards, roster.Shard{Owner: ref(s[0]), MoveEpoch: s[1], PrevOwner: ref(s[2])})
	}
	return shards, nil
}
