package msgs

import "github.com/vmihailenco/msgpack/v5"

// Run asks a home to run a job, or to tell the outcome if it knows the key.
type Run struct {
	Key        string
	Entry      string
	Service    string
	Epoch      uint64 // of the sender's roster
	Deadline   int64  // cluster time, Unix ms
	TimeLeft   int64  // ms left before the deadline when the message was sent
	LookupOnly bool   // only look the key up; start nothing
	Tasks      [][]byte
}

// RunReply tells the outcome of a job, or why the home does not serve the key.
type RunReply struct {
	State       int
	Reason      string
	NotOwner    bool   // the home does not own the key's shard
	NotAccepted bool   // the home did not take the key and never runs this copy
	Epoch       uint64 // of the home's roster
	Answers     [][]byte
}

// Mode tells what a Start message asks for.
type Mode int

const (
	// Begin starts the task, unless it was seen before.
	Begin Mode = iota
	// Ask only tells the outcome; a task not seen before never starts.
	Query
	// Cancel is Ask, and takes the task out of the gate's queue.
	Cancel
)

// Start asks a gate to run one task, or for its outcome.
type Start struct {
	Mode            Mode
	Key             string
	Task            int
	GateIncarnation uint64 // incarnation of the gate that the message is meant for
	Deadline        int64  // cluster time, Unix ms
	TimeLeft        int64  // ms left before the deadline when the message was sent
	MaxWait         int64  // longest wait for a slot that the home accepts, ms; -1 means any
	Service         string
	Entry           string
	Body            []byte
}

// StartReply tells the outcome of a task and the gate's load.
type StartReply struct {
	State       int
	Reason      string
	Slots       int
	Running     int
	Queued      int
	MeanRunTime int64 // run time, microseconds
	Leaving     bool
	Answer      []byte
}

// EncodeMsgpack writes the message.
func (m *Run) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Key, m.Entry, m.Service, m.Epoch, m.Deadline, m.TimeLeft, m.LookupOnly, blobs(&m.Tasks))
}

// DecodeMsgpack reads the message.
func (m *Run) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Key, &m.Entry, &m.Service, &m.Epoch, &m.Deadline, &m.TimeLeft, &m.LookupOnly, blobs(&m.Tasks))
}

// EncodeMsgpack writes the message.
func (m *RunReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.State, m.Reason, m.NotOwner, m.NotAccepted, m.Epoch, blobs(&m.Answers))
}

// DecodeMsgpack reads the message.
func (m *RunReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.State, &m.Reason, &m.NotOwner, &m.NotAccepted, &m.Epoch, blobs(&m.Answers))
}

// EncodeMsgpack writes the message.
func (m *Start) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, int(m.Mode), m.Key, m.Task, m.GateIncarnation, m.Deadline, m.TimeLeft, m.MaxWait, m.Service, m.Entry, m.Body)
}

// DecodeMsgpack reads the message.
func (m *Start) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, (*int)(&m.Mode), &m.Key, &m.Task, &m.GateIncarnation, &m.Deadline, &m.TimeLeft, &m.MaxWait, &m.Service, &m.Entry, &m.Body)
}

// EncodeMsgpack writes the message.
func (m *StartReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.State, m.Reason, m.Slots, m.Running, m.Queued, m.MeanRunTime, m.Leaving, m.Answer)
}

// DecodeMsgpack reads the message.
func (m *StartReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.State, &m.Reason, &m.Slots, &m.Running, &m.Queued, &m.MeanRunTime, &m.Leaving, &m.Answer)
}
