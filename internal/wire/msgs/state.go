package msgs

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
	"github.com/vmihailenco/msgpack/v5"
)

// Watch asks for what is newer than the sender has, and waits for it.
type Watch struct {
	Epoch            uint64
	CatalogueVersion uint64
	MaxWait          int64 // longest wait, ms; 0 answers at once
}

// News is the answer to Watch. The roster is there only if its epoch is newer.
// Entries are those changed since the version asked for.
type WatchReply struct {
	Time             int64 // cluster time, Unix ms
	RosterConfirmed  bool  // the platform's table confirmed the roster a moment ago
	Epoch            uint64
	Roster           roster.Roster
	CatalogueVersion uint64
	Entries          []catlg.Entry
}

// Member asks an entry to change the roster.
type RosterChange struct {
	Kind int
	Node roster.Node
}

// Probe asks a node whether it lives and what it thinks of another.
type Probe struct {
	SenderID           string
	SenderIncarnation  uint64
	SuspectID          string // ID of the suspect, or ""
	SuspectIncarnation uint64 // its incarnation
}

// ProbeReply answers Probe. Inc is the incarnation of the node that answers.
type ProbeReply struct {
	Incarnation uint64
	Suspected   bool
}

// Take asks a former owner to hand over a shard.
type Take struct {
	Incarnation uint64 // incarnation asked
	Shard       int
	MoveEpoch   uint64
}

// TakeReply carries the handover. OK is false if it is refused, and Gone is
// true if the incarnation asked is no more.
type TakeReply struct {
	OK               bool
	WrongIncarnation bool
	Handover         ledger.Handover
}

// Settle tells a new owner the outcome of a job that ended at a former one.
type Settle struct {
	Key         string
	RetainUntil int64
	State       int
	Reason      string
	Answers     [][]byte
}

// Empty is a message without content.
type Empty struct{}

// Millis returns t as it travels: Unix ms, or 0 for the zero time.
func Millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Time returns the time that Millis encoded.
func Time(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// EncodeMsgpack writes the message.
func (m *Watch) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Epoch, m.CatalogueVersion, m.MaxWait)
}

// DecodeMsgpack reads the message.
func (m *Watch) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Epoch, &m.CatalogueVersion, &m.MaxWait)
}

// EncodeMsgpack writes the message.
func (m *WatchReply) EncodeMsgpack(e *msgpack.Encoder) error {
	nodes := m.Roster.Nodes()
	shards := m.Roster.Shards()
	return pack(e, m.Time, m.RosterConfirmed, m.Epoch, m.CatalogueVersion, entryList(&m.Entries), m.Roster.Epoch(),
		nodeList(&nodes), shardList(&shards))
}

// DecodeMsgpack reads the message.
func (m *WatchReply) DecodeMsgpack(d *msgpack.Decoder) error {
	var epoch uint64
	var nodes []roster.Node
	var shards []roster.Shard
	if err := unpack(d, &m.Time, &m.RosterConfirmed, &m.Epoch, &m.CatalogueVersion, entryList(&m.Entries), &epoch,
		nodeList(&nodes), shardList(&shards)); err != nil {
		return err
	}
	m.Roster = roster.FromParts(epoch, nodes, shards)
	return nil
}

// EncodeMsgpack writes the message.
func (m *RosterChange) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Kind, &nodeCodec{&m.Node})
}

// DecodeMsgpack reads the message.
func (m *RosterChange) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Kind, &nodeCodec{&m.Node})
}

// EncodeMsgpack writes the message.
func (m *Probe) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.SenderID, m.SenderIncarnation, m.SuspectID, m.SuspectIncarnation)
}

// DecodeMsgpack reads the message.
func (m *Probe) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.SenderID, &m.SenderIncarnation, &m.SuspectID, &m.SuspectIncarnation)
}

// EncodeMsgpack writes the message.
func (m *ProbeReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Incarnation, m.Suspected)
}

// DecodeMsgpack reads the message.
func (m *ProbeReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Incarnation, &m.Suspected)
}

// EncodeMsgpack writes the message.
func (m *Take) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Incarnation, m.Shard, m.MoveEpoch)
}

// DecodeMsgpack reads the message.
func (m *Take) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Incarnation, &m.Shard, &m.MoveEpoch)
}

// EncodeMsgpack writes the message.
func (m *TakeReply) EncodeMsgpack(e *msgpack.Encoder) error {
	h := &m.Handover
	return pack(e, m.OK, m.WrongIncarnation, h.MinBirth, Millis(h.PlainRefusedUntil), Millis(h.LowWatermark), itemList(&h.Items))
}

// DecodeMsgpack reads the message.
func (m *TakeReply) DecodeMsgpack(d *msgpack.Decoder) error {
	h := &m.Handover
	var plain, floor int64
	if err := unpack(d, &m.OK, &m.WrongIncarnation, &h.MinBirth, &plain, &floor, itemList(&h.Items)); err != nil {
		return err
	}
	h.PlainRefusedUntil = Time(plain)
	h.LowWatermark = Time(floor)
	return nil
}

// EncodeMsgpack writes the message.
func (m *Settle) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Key, m.RetainUntil, m.State, m.Reason, blobs(&m.Answers))
}

// DecodeMsgpack reads the message.
func (m *Settle) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Key, &m.RetainUntil, &m.State, &m.Reason, blobs(&m.Answers))
}

// EncodeMsgpack writes the message.
func (m *Empty) EncodeMsgpack(e *msgpack.Encoder) error { return pack(e) }

// DecodeMsgpack reads the message.
func (m *Empty) DecodeMsgpack(d *msgpack.Decoder) error { return unpack(d) }

// nodeCodec maps a node.
type nodeCodec struct{ n *roster.Node }

// EncodeMsgpack writes the node.
func (c *nodeCodec) EncodeMsgpack(e *msgpack.Encoder) error {
	n := c.n
	return pack(e, n.ID, n.Inc, n.Addr, n.Domain, n.Service, n.Slots, n.Leaving)
}

// DecodeMsgpack reads the node.
func (c *nodeCodec) DecodeMsgpack(d *msgpack.Decoder) error {
	n := c.n
	return unpack(d, &n.ID, &n.Inc, &n.Addr, &n.Domain, &n.Service, &n.Slots, &n.Leaving)
}

func nodeList(nodes *[]roster.Node) *list[roster.Node] {
	return &list[roster.Node]{
		items: nodes,
		put:   func(e *msgpack.Encoder, n roster.Node) error { return (&nodeCodec{&n}).EncodeMsgpack(e) },
		get: func(d *msgpack.Decoder) (roster.Node, error) {
			var n roster.Node
			err := (&nodeCodec{&n}).DecodeMsgpack(d)
			return n, err
		},
	}
}

func shardList(shards *[]roster.Shard) *list[roster.Shard] {
	return &list[roster.Shard]{
		items: shards,
		put: func(e *msgpack.Encoder, s roster.Shard) error {
			return pack(e, s.Owner.ID, s.Owner.Inc, s.MoveEpoch, s.PrevOwner.ID, s.PrevOwner.Inc)
		},
		get: func(d *msgpack.Decoder) (roster.Shard, error) {
			var s roster.Shard
			err := unpack(d, &s.Owner.ID, &s.Owner.Inc, &s.MoveEpoch, &s.PrevOwner.ID, &s.PrevOwner.Inc)
			return s, err
		},
	}
}

func entryList(entries *[]catlg.Entry) *list[catlg.Entry] {
	return &list[catlg.Entry]{items: entries, put: putEntry, get: getEntry}
}

func putEntry(e *msgpack.Encoder, c catlg.Entry) error {
	return pack(e, c.Name, c.Owner, string(c.Class), c.Service, c.Version, c.Deleted,
		c.Limits.Tasks, c.Limits.Running, c.Limits.Rate, c.Limits.Timeout.Milliseconds())
}

func getEntry(d *msgpack.Decoder) (catlg.Entry, error) {
	var c catlg.Entry
	var class string
	var timeout int64
	err := unpack(d, &c.Name, &c.Owner, &class, &c.Service, &c.Version, &c.Deleted,
		&c.Limits.Tasks, &c.Limits.Running, &c.Limits.Rate, &timeout)
	c.Class = catlg.Class(class)
	c.Limits.Timeout = time.Duration(timeout) * time.Millisecond
	return c, err
}

func itemList(items *[]ledger.Item) *list[ledger.Item] {
	return &list[ledger.Item]{items: items, put: putItem, get: getItem}
}

func putItem(e *msgpack.Encoder, i ledger.Item) error {
	return pack(e, i.Key.String(), Millis(i.RetainUntil), int(i.Outcome.State), string(i.Outcome.Reason),
		blobs(&i.Outcome.Answers))
}

func getItem(d *msgpack.Decoder) (ledger.Item, error) {
	var i ledger.Item
	var key, reason string
	var hold int64
	var state int
	if err := unpack(d, &key, &hold, &state, &reason, blobs(&i.Outcome.Answers)); err != nil {
		return i, err
	}
	parsed, err := jobkey.Parse(key)
	if err != nil {
		return i, err
	}
	i.Key = parsed
	i.RetainUntil = Time(hold)
	i.Outcome.State = ledger.State(state)
	i.Outcome.Reason = ledger.Reason(reason)
	return i, nil
}
