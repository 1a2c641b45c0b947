package msgs

import "github.com/vmihailenco/msgpack/v5"

// Run is the argument of Home.Run. It asks a home to run a job, or to return the outcome
// if the home knows the key.
type Run struct {
	Key        string
	Entry      string   // name of the catalogue entry
	Service    string   // service of the catalogue entry
	Epoch      uint64   // epoch of the sender's roster
	Deadline   int64    // cluster time, Unix ms
	TimeLeft   int64    // ms left before the deadline when the message was sent
	LookupOnly bool     // return the outcome of a known key and start nothing
	Tasks      [][]byte // body of each task
}

// RunReply is the reply to Run: the outcome of a job, or why the home does not serve
// the key.
type RunReply struct {
	State       int      // a ledger.State
	Reason      string   // a ledger.Reason
	NotOwner    bool     // the home does not own the key's shard
	NotAccepted bool     // the home did not admit the key and never runs this copy of the job
	Epoch       uint64   // epoch of the home's roster
	Answers     [][]byte // answer to each task; empty unless the job was answered
}

// Mode is what a Start message asks for.
type Mode int

const (
	// Begin starts the task unless the gate has seen it before, and returns its outcome.
	Begin Mode = iota
	// Query only returns the outcome. A task not seen before never starts afterwards.
	Query
	// Cancel is like Query, and also removes the task from the gate's queue.
	Cancel
)

// Start is the argument of Gate.Start. It asks the gate of a node to run one task or to
// return its outcome.
type Start struct {
	Mode            Mode
	Key             string // key of the job
	Task            int    // index of the task in the job
	GateIncarnation uint64 // incarnation of the gate that the message is addressed to
	Deadline        int64  // cluster time, Unix ms
	TimeLeft        int64  // ms left before the deadline when the message was sent
	MaxWait         int64  // longest acceptable wait for a slot, ms; -1 means any
	Service         string // service of the catalogue entry
	Entry           string // name of the catalogue entry
	Body            []byte // input of the task
}

// StartReply is the reply to Start: the outcome of a task and the gate's load.
type StartReply struct {
	State       int    // a ledger.State
	Reason      string // a ledger.Reason
	Slots       int    // number of tasks that the target runs at a time
	Running     int    // number of tasks that run
	Queued      int    // number of tasks that wait for a slot
	MeanRunTime int64  // mean run time of a task, microseconds; 0 if not known yet
	Leaving     bool   // the target accepts no new tasks
	Answer      []byte // empty unless the task was answered
}

// EncodeMsgpack writes the message.
func (m *Run) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Key, m.Entry, m.Service, m.Epoch, m.Deadline, m.TimeLeft, m.LookupOnly, bytesCodec(&m.Tasks))
}

// DecodeMsgpack reads the message.
func (m *Run) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Key, &m.Entry, &m.Service, &m.Epoch, &m.Deadline, &m.TimeLeft, &m.LookupOnly,
		bytesCodec(&m.Tasks))
}

// EncodeMsgpack writes the message.
func (m *RunReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.State, m.Reason, m.NotOwner, m.NotAccepted, m.Epoch, bytesCodec(&m.Answers))
}

// DecodeMsgpack reads the message.
func (m *RunReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.State, &m.Reason, &m.NotOwner, &m.NotAccepted, &m.Epoch, bytesCodec(&m.Answers))
}

// EncodeMsgpack writes the message.
func (m *Start) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, int(m.Mode), m.Key, m.Task, m.GateIncarnation, m.Deadline, m.TimeLeft, m.MaxWait,
		m.Service, m.Entry, m.Body)
}

// DecodeMsgpack reads the message.
func (m *Start) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, (*int)(&m.Mode), &m.Key, &m.Task, &m.GateIncarnation, &m.Deadline, &m.TimeLeft,
		&m.MaxWait, &m.Service, &m.Entry, &m.Body)
}

// EncodeMsgpack writes the message.
func (m *StartReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.State, m.Reason, m.Slots, m.Running, m.Queued, m.MeanRunTime, m.Leaving, m.Answer)
}

// DecodeMsgpack reads the message.
func (m *StartReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.State, &m.Reason, &m.Slots, &m.Running, &m.Queued, &m.MeanRunTime, &m.Leaving, &m.Answer)
}
