package msgs

import (
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/catlg"
	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
	"github.com/vmihailenco/msgpack/v5"
)

// Watch is the argument of Entry.Watch, a long poll for a newer roster or catalogue than
// the sender has.
type Watch struct {
	Epoch            uint64 // epoch of the sender's roster
	CatalogueVersion uint64 // version of the sender's catalogue
	MaxWait          int64  // longest time until the reply, ms; 0 asks for an immediate one
}

// WatchReply is the reply to Watch. Roster is the zero value unless its epoch is newer
// than Watch.Epoch. Entries are those changed since Watch.CatalogueVersion.
type WatchReply struct {
	Time             int64  // cluster time, Unix ms
	RosterConfirmed  bool   // the platform's table recently confirmed that the roster is the newest
	Epoch            uint64 // epoch of the newest roster at the sender
	Roster           roster.Roster
	CatalogueVersion uint64 // version of the newest catalogue at the sender
	Entries          []catlg.Entry
}

// RosterChange is the argument of Entry.Change. It asks an entry to change the roster.
type RosterChange struct {
	Kind int // a roster.Kind
	Node roster.Node
}

// Probe is the argument of Member.Probe, a health check of a node. It may also ask
// whether the node suspects another one to have failed.
type Probe struct {
	SenderID           string
	SenderIncarnation  uint64
	SuspectID          string // node asked about; empty if none
	SuspectIncarnation uint64
}

// ProbeReply is the reply to Probe.
type ProbeReply struct {
	Incarnation uint64 // incarnation of the node that replies
	Suspected   bool   // the node that replies suspects the one asked about
}

// Take is the argument of Home.Take. It asks the previous owner of a shard to hand over
// the records of the shard.
type Take struct {
	Incarnation uint64 // incarnation of the previous owner
	Shard       int
	MoveEpoch   uint64 // epoch at which the sender received the shard
}

// TakeReply is the reply to Take. OK is false if the handover is refused.
// WrongIncarnation is true if the process is not the incarnation that was asked, so
// that the records of that one are lost.
type TakeReply struct {
	OK               bool
	WrongIncarnation bool
	Handover         ledger.Handover
}

// Settle is the argument of Home.Settle. It sends the outcome of a job that ended at a
// previous owner of its shard to the new one.
type Settle struct {
	Key         string
	RetainUntil int64  // retention deadline of the key, cluster time, Unix ms
	State       int    // a ledger.State
	Reason      string // a ledger.Reason
	Answers     [][]byte
}

// Empty is a message without fields.
type Empty struct{}

// Millis returns t as Unix time in ms, or 0 for the zero time, as messages carry it.
func Millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// Time is the inverse of Millis: it returns the zero time for 0.
func Time(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// EncodeMsgpack writes the message.
func (m *Watch) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Epoch, m.CatalogueVersion, m.MaxWait)
}

// DecodeMsgpack reads the message.
func (m *Watch) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Epoch, &m.CatalogueVersion, &m.MaxWait)
}

// EncodeMsgpack writes the message.
func (m *WatchReply) EncodeMsgpack(e *msgpack.Encoder) error {
	nodes := m.Roster.Nodes()
	shards := m.Roster.Shards()
	return encodeArray(e, m.Time, m.RosterConfirmed, m.Epoch, m.CatalogueVersion, entriesCodec(&m.Entries),
		m.Roster.Epoch(), nodesCodec(&nodes), shardsCodec(&shards))
}

// DecodeMsgpack reads the message.
func (m *WatchReply) DecodeMsgpack(d *msgpack.Decoder) error {
	var epoch uint64
	var nodes []roster.Node
	var shards []roster.Shard
	if err := decodeArray(d, &m.Time, &m.RosterConfirmed, &m.Epoch, &m.CatalogueVersion, entriesCodec(&m.Entries),
		&epoch, nodesCodec(&nodes), shardsCodec(&shards)); err != nil {
		return err
	}
	m.Roster = roster.FromParts(epoch, nodes, shards)
	return nil
}

// EncodeMsgpack writes the message.
func (m *RosterChange) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Kind, &nodeCodec{&m.Node})
}

// DecodeMsgpack reads the message.
func (m *RosterChange) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Kind, &nodeCodec{&m.Node})
}

// EncodeMsgpack writes the message.
func (m *Probe) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.SenderID, m.SenderIncarnation, m.SuspectID, m.SuspectIncarnation)
}

// DecodeMsgpack reads the message.
func (m *Probe) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.SenderID, &m.SenderIncarnation, &m.SuspectID, &m.SuspectIncarnation)
}

// EncodeMsgpack writes the message.
func (m *ProbeReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Incarnation, m.Suspected)
}

// DecodeMsgpack reads the message.
func (m *ProbeReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Incarnation, &m.Suspected)
}

// EncodeMsgpack writes the message.
func (m *Take) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Incarnation, m.Shard, m.MoveEpoch)
}

// DecodeMsgpack reads the message.
func (m *Take) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Incarnation, &m.Shard, &m.MoveEpoch)
}

// EncodeMsgpack writes the message.
func (m *TakeReply) EncodeMsgpack(e *msgpack.Encoder) error {
	h := &m.Handover
	return encodeArray(e, m.OK, m.WrongIncarnation, h.MinEpoch, Millis(h.PlainRefusedUntil),
		Millis(h.LowWatermark), itemsCodec(&h.Items))
}

// DecodeMsgpack reads the message.
func (m *TakeReply) DecodeMsgpack(d *msgpack.Decoder) error {
	h := &m.Handover
	var plainRefusedUntil, lowWatermark int64
	if err := decodeArray(d, &m.OK, &m.WrongIncarnation, &h.MinEpoch, &plainRefusedUntil, &lowWatermark,
		itemsCodec(&h.Items)); err != nil {
		return err
	}
	h.PlainRefusedUntil = Time(plainRefusedUntil)
	h.LowWatermark = Time(lowWatermark)
	return nil
}

// EncodeMsgpack writes the message.
func (m *Settle) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Key, m.RetainUntil, m.State, m.Reason, bytesCodec(&m.Answers))
}

// DecodeMsgpack reads the message.
func (m *Settle) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Key, &m.RetainUntil, &m.State, &m.Reason, bytesCodec(&m.Answers))
}

// EncodeMsgpack writes the message.
func (m *Empty) EncodeMsgpack(e *msgpack.Encoder) error { return encodeArray(e) }

// DecodeMsgpack reads the message.
func (m *Empty) DecodeMsgpack(d *msgpack.Decoder) error { return decodeArray(d) }

// nodeCodec writes and reads a node.
type nodeCodec struct{ node *roster.Node }

// EncodeMsgpack writes the node.
func (c *nodeCodec) EncodeMsgpack(e *msgpack.Encoder) error {
	n := c.node
	return encodeArray(e, n.ID, n.Inc, n.Addr, n.Domain, n.Service, n.Slots, n.Leaving)
}

// DecodeMsgpack reads the node.
func (c *nodeCodec) DecodeMsgpack(d *msgpack.Decoder) error {
	n := c.node
	return decodeArray(d, &n.ID, &n.Inc, &n.Addr, &n.Domain, &n.Service, &n.Slots, &n.Leaving)
}

// nodesCodec returns a codec for the nodes of a roster.
func nodesCodec(nodes *[]roster.Node) *sliceCodec[roster.Node] {
	return &sliceCodec[roster.Node]{
		items:  nodes,
		encode: func(e *msgpack.Encoder, n roster.Node) error { return (&nodeCodec{&n}).EncodeMsgpack(e) },
		decode: func(d *msgpack.Decoder) (roster.Node, error) {
			var n roster.Node
			err := (&nodeCodec{&n}).DecodeMsgpack(d)
			return n, err
		},
	}
}

// shardsCodec returns a codec for the shards of a roster, in order of their numbers.
func shardsCodec(shards *[]roster.Shard) *sliceCodec[roster.Shard] {
	return &sliceCodec[roster.Shard]{
		items: shards,
		encode: func(e *msgpack.Encoder, s roster.Shard) error {
			return encodeArray(e, s.Owner.ID, s.Owner.Inc, s.MoveEpoch, s.PrevOwner.ID, s.PrevOwner.Inc)
		},
		decode: func(d *msgpack.Decoder) (roster.Shard, error) {
			var s roster.Shard
			err := decodeArray(d, &s.Owner.ID, &s.Owner.Inc, &s.MoveEpoch, &s.PrevOwner.ID, &s.PrevOwner.Inc)
			return s, err
		},
	}
}

// entriesCodec returns a codec for entries of the catalogue.
func entriesCodec(entries *[]catlg.Entry) *sliceCodec[catlg.Entry] {
	return &sliceCodec[catlg.Entry]{items: entries, encode: encodeEntry, decode: decodeEntry}
}

func encodeEntry(e *msgpack.Encoder, c catlg.Entry) error {
	return encodeArray(e, c.Name, c.Owner, string(c.Class), c.Service, c.Version, c.Deleted,
		c.Limits.Tasks, c.Limits.Running, c.Limits.Rate, c.Limits.Timeout.Milliseconds())
}

func decodeEntry(d *msgpack.Decoder) (catlg.Entry, error) {
	var c catlg.Entry
	var class string
	var timeout int64
	err := decodeArray(d, &c.Name, &c.Owner, &class, &c.Service, &c.Version, &c.Deleted,
		&c.Limits.Tasks, &c.Limits.Running, &c.Limits.Rate, &timeout)
	c.Class = catlg.Class(class)
	c.Limits.Timeout = time.Duration(timeout) * time.Millisecond
	return c, err
}

// itemsCodec returns a codec for the records of a handover.
func itemsCodec(items *[]ledger.Item) *sliceCodec[ledger.Item] {
	return &sliceCodec[ledger.Item]{items: items, encode: encodeItem, decode: decodeItem}
}

func encodeItem(e *msgpack.Encoder, i ledger.Item) error {
	return encodeArray(e, i.Key.String(), Millis(i.RetainUntil), int(i.Outcome.State), string(i.Outcome.Reason),
		bytesCodec(&i.Outcome.Answers))
}

func decodeItem(d *msgpack.Decoder) (ledger.Item, error) {
	var i ledger.Item
	var key, reason string
	var retainUntil int64
	var state int
	if err := decodeArray(d, &key, &retainUntil, &state, &reason, bytesCodec(&i.Outcome.Answers)); err != nil {
		return i, err
	}
	parsed, err := jobkey.Parse(key)
	if err != nil {
		return i, err
	}
	i.Key = parsed
	i.RetainUntil = Time(retainUntil)
	i.Outcome.State = ledger.State(state)
	i.Outcome.Reason = ledger.Reason(reason)
	return i, nil
}
