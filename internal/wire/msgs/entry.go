package msgs

import "github.com/vmihailenco/msgpack/v5"

// Hello is the argument of Entry.Hello. It announces a gate to an entry.
type Hello struct {
	Addr string // internal address of the gate
}

// Gossip is the argument of Entry.Gossip, the periodic message between entries about
// members and configuration.
type Gossip struct {
	Entry         string   // internal address of the sender
	Members       []string // each in the form "role address"
	ConfigVersion int64    // version of the sender's configuration
	OutOfRotation bool     // callers of the sender may submit its jobs to others; see rotate.Monitor
	Orders        []Order  // that the sender knows
}

// GossipReply is the reply to Gossip. It contains the configuration only if that is
// newer than Gossip.ConfigVersion.
type GossipReply struct {
	Members       []string // each in the form "role address"
	ConfigVersion int64    // version of the configuration at the replying entry
	Config        []byte   // configuration as read from its source; empty if not newer
	PendingRoutes []string // names of the routes that have pending jobs
	PendingCounts []int64  // number of pending jobs for each of PendingRoutes
	OutOfRotation bool     // callers of the replying entry may submit its jobs to others
	Orders        []Order  // that the replying entry knows
}

// Lookup is the argument of Entry.Lookup. It asks an entry for the state of a job, and
// may cancel the job.
type Lookup struct {
	Job    string // ID of the job
	Cancel bool
	// Drain, with Cancel, means to reply once no task of the job can be running any more, or
	// soon to be asked again. Without, a job whose tasks can still be running counts as working.
	Drain bool
	// EchoedTimestamp is the Timestamp of the reply that asked for this repetition; 0 if
	// none did.
	EchoedTimestamp int64
}

// LookupReply is the reply to Lookup.
type LookupReply struct {
	State string // empty if the entry does not know the job
	// Timestamp, unless 0, means that the entry can't tell whether the order is old, and has
	// done nothing: it is to be repeated with this EchoedTimestamp.
	Timestamp int64
	// OrphansFor, unless 0, means that the entry has been started so recently that tasks of its
	// former incarnation may run for this long, ms.
	OrphansFor int64
}

// Rotation is the argument and the reply of Entry.Warn, by which entries tell each other whether
// they are out of rotation. The argument may have a listing of the sender's jobs.
type Rotation struct {
	Entry       string // internal address of the entry
	Incarnation uint64 // of the entry
	Out         bool   // as OutOfRotation in Gossip
	Timestamp   int64  // time at the entry, ns since its machine booted
	// EchoedIncarnation and EchoedTimestamp are those of the receiver's last reply, so that it can
	// date the listing; 0 without one.
	EchoedIncarnation uint64
	EchoedTimestamp   int64
	Listed            []string // IDs of all jobs that the sender has, or has tasks of
}

// GiveUp is the argument of Entry.GiveUp. It orders an entry to give up jobs, and asks or tells it
// about others.
type GiveUp struct {
	Entry  string   // internal address of the sender
	Jobs   []string // IDs of the jobs to give up
	Peek   []string // IDs of jobs of which the reply shall tell whether the receiver has them
	Claims []string // IDs of jobs that the sender is about to start
	// EchoedTimestamp is the Timestamp of the reply that asked for this repetition; 0 if
	// none did.
	EchoedTimestamp int64
}

// GiveUpReply is the reply to GiveUp. Its Timestamp and OrphansFor are as in LookupReply.
type GiveUpReply struct {
	Has        []string // those of Jobs that the entry has, or has tasks of
	Runs       []string // the same of Peek and Claims
	Timestamp  int64
	OrphansFor int64
}

// EncodeMsgpack writes the message.
func (m *Hello) EncodeMsgpack(e *msgpack.Encoder) error { return encodeArray(e, m.Addr) }

// DecodeMsgpack reads the message.
func (m *Hello) DecodeMsgpack(d *msgpack.Decoder) error { return decodeArray(d, &m.Addr) }

// EncodeMsgpack writes the message.
func (m *Gossip) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Entry, m.Members, m.ConfigVersion, m.OutOfRotation, ordersCodec(&m.Orders))
}

// DecodeMsgpack reads the message. One from an older process has no OutOfRotation, or no
// Orders.
func (m *Gossip) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Entry, &m.Members, &m.ConfigVersion, &m.OutOfRotation, ordersCodec(&m.Orders))
}

// EncodeMsgpack writes the message.
func (m *GossipReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Members, m.ConfigVersion, m.Config, m.PendingRoutes, m.PendingCounts, m.OutOfRotation, ordersCodec(&m.Orders))
}

// DecodeMsgpack reads the message. One from an older process has no OutOfRotation, or no
// Orders.
func (m *GossipReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Members, &m.ConfigVersion, &m.Config, &m.PendingRoutes, &m.PendingCounts, &m.OutOfRotation, ordersCodec(&m.Orders))
}

// EncodeMsgpack writes the message.
func (m *Rotation) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Entry, m.Incarnation, m.Out, m.Timestamp, m.EchoedIncarnation, m.EchoedTimestamp, m.Listed)
}

// DecodeMsgpack reads the message.
func (m *Rotation) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Entry, &m.Incarnation, &m.Out, &m.Timestamp, &m.EchoedIncarnation, &m.EchoedTimestamp, &m.Listed)
}

// EncodeMsgpack writes the message.
func (m *GiveUp) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Entry, m.Jobs, m.Peek, m.Claims, m.EchoedTimestamp)
}

// DecodeMsgpack reads the message.
func (m *GiveUp) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Entry, &m.Jobs, &m.Peek, &m.Claims, &m.EchoedTimestamp)
}

// EncodeMsgpack writes the message.
func (m *GiveUpReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Has, m.Runs, m.Timestamp, m.OrphansFor)
}

// DecodeMsgpack reads the message.
func (m *GiveUpReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Has, &m.Runs, &m.Timestamp, &m.OrphansFor)
}

// EncodeMsgpack writes the message.
func (m *Lookup) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Job, m.Cancel, m.Drain, m.EchoedTimestamp)
}

// DecodeMsgpack reads the message. One from an older process has no Drain, or no
// EchoedTimestamp.
func (m *Lookup) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Job, &m.Cancel, &m.Drain, &m.EchoedTimestamp)
}

// EncodeMsgpack writes the message.
func (m *LookupReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.State, m.Timestamp, m.OrphansFor)
}

// DecodeMsgpack reads the message. One from an older process has no Timestamp, or no
// OrphansFor.
func (m *LookupReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.State, &m.Timestamp, &m.OrphansFor)
}
