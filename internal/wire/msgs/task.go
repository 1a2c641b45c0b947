package msgs

import "github.com/vmihailenco/msgpack/v5"

// Result tells how a gate's handling of a task ended.
type Result int

const (
	// Refused means that the task did not start at this gate and never will.
	Refused Result = iota
	// Done means that the target ended the task with success.
	Done
	// Failed means that the target ended the task with a failure.
	Failed
	// Lost means that the task may have started, and runs no more.
	Lost
	// Stranger means that the call was meant for another life of the gate.
	Stranger
)

// String returns the result's name in logs.
func (r Result) String() string {
	return [...]string{"refused", "done", "failed", "lost", "stranger"}[r]
}

// Sender names the process that a call comes from and the life of the gate that
// it is meant for.
type Sender struct {
	Entry    string
	Life     uint64 // of the sender's process
	GateLife uint64
	Echo     int64 // newest Load.Stamp that the sender has received; renews its lease
}

// Task asks a gate to run a task, or to go on waiting for it if the gate has it
// already.
type Task struct {
	Sender
	ID       uint64 // unique in the sender's life
	Name     string
	Job      string // ID of the job, for logs
	Service  string
	Spec     string
	CPU      int   // thousandths of a core
	Memory   int   // MB
	GPU      int   // devices
	Expected int64 // run time on a target of speed 1, ms
	Patience int64 // longest wait in the gate's queue, ms
	Urgency  int64 // the gate's queue starts the lowest first, ms
	Failures int   // how often the task has failed elsewhere
	Insist   bool  // to be taken though the target is set aside, since most are
}

// TaskReply tells how the task ended.
type TaskReply struct {
	Result Result
	Reason string
	Ran    int64 // ms at the target
	Load   Load
}

// Sync renews the sender's lease on its tasks at a gate.
type Sync struct {
	Sender
	Cancel []uint64 // IDs of tasks to stop
}

// Load tells what a gate's target has to give.
type Load struct {
	Life    uint64 // of the gate's process
	Stamp   int64  // reading of the gate's clock, ns
	Service string // empty without a target
	Target  string // ID of the target's life
	Labels  []string
	CPU     int // thousandths of a core, in all
	Memory  int // MB, in all
	GPU     int // devices, in all
	UsedCPU int
	UsedMem int
	UsedGPU int
	Queued  int64 // core-milliseconds of work in the gate's queue
	Speed   float64
	Aside   string // reason why the target is set aside; empty if it is not
	Leaving bool
}

// Hello announces a gate to an entry.
type Hello struct {
	Addr string
}

// Gossip is what entries tell each other.
type Gossip struct {
	Entry   string // address of the sender
	Members []string
	Version int64 // of the sender's configuration
}

// GossipReply is the answer, with the configuration if it is newer.
type GossipReply struct {
	Members []string // each "role address"
	Version int64
	Config  []byte // empty if the asker's is as new
	Pending []string
	Counts  []int64
}

// Lookup asks an entry about a job that it may have.
type Lookup struct {
	Job    string
	Cancel bool
}

// LookupReply tells the job's state; empty if it is unknown.
type LookupReply struct {
	State string
}

// EncodeMsgpack writes the message.
func (m *Task) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Entry, m.Life, m.GateLife, m.Echo, m.ID, m.Name, m.Job, m.Service, m.Spec,
		m.CPU, m.Memory, m.GPU, m.Expected, m.Patience, m.Urgency, m.Failures, m.Insist)
}

// DecodeMsgpack reads the message.
func (m *Task) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Entry, &m.Life, &m.GateLife, &m.Echo, &m.ID, &m.Name, &m.Job, &m.Service, &m.Spec,
		&m.CPU, &m.Memory, &m.GPU, &m.Expected, &m.Patience, &m.Urgency, &m.Failures, &m.Insist)
}

// EncodeMsgpack writes the message.
func (m *TaskReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, int(m.Result), m.Reason, m.Ran, &m.Load)
}

// DecodeMsgpack reads the message.
func (m *TaskReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, (*int)(&m.Result), &m.Reason, &m.Ran, &m.Load)
}

// EncodeMsgpack writes the message.
func (m *Sync) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Entry, m.Life, m.GateLife, m.Echo, m.Cancel)
}

// DecodeMsgpack reads the message.
func (m *Sync) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Entry, &m.Life, &m.GateLife, &m.Echo, &m.Cancel)
}

// EncodeMsgpack writes the message.
func (m *Load) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Life, m.Stamp, m.Service, m.Target, m.Labels, m.CPU, m.Memory, m.GPU,
		m.UsedCPU, m.UsedMem, m.UsedGPU, m.Queued, m.Speed, m.Aside, m.Leaving)
}

// DecodeMsgpack reads the message.
func (m *Load) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Life, &m.Stamp, &m.Service, &m.Target, &m.Labels, &m.CPU, &m.Memory, &m.GPU,
		&m.UsedCPU, &m.UsedMem, &m.UsedGPU, &m.Queued, &m.Speed, &m.Aside, &m.Leaving)
}

// EncodeMsgpack writes the message.
func (m *Hello) EncodeMsgpack(e *msgpack.Encoder) error { return pack(e, m.Addr) }

// DecodeMsgpack reads the message.
func (m *Hello) DecodeMsgpack(d *msgpack.Decoder) error { return unpack(d, &m.Addr) }

// EncodeMsgpack writes the message.
func (m *Gossip) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Entry, m.Members, m.Version)
}

// DecodeMsgpack reads the message.
func (m *Gossip) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Entry, &m.Members, &m.Version)
}

// EncodeMsgpack writes the message.
func (m *GossipReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Members, m.Version, m.Config, m.Pending, m.Counts)
}

// DecodeMsgpack reads the message.
func (m *GossipReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Members, &m.Version, &m.Config, &m.Pending, &m.Counts)
}

// EncodeMsgpack writes the message.
func (m *Lookup) EncodeMsgpack(e *msgpack.Encoder) error { return pack(e, m.Job, m.Cancel) }

// DecodeMsgpack reads the message.
func (m *Lookup) DecodeMsgpack(d *msgpack.Decoder) error { return unpack(d, &m.Job, &m.Cancel) }

// EncodeMsgpack writes the message.
func (m *LookupReply) EncodeMsgpack(e *msgpack.Encoder) error { return pack(e, m.State) }

// DecodeMsgpack reads the message.
func (m *LookupReply) DecodeMsgpack(d *msgpack.Decoder) error { return unpack(d, &m.State) }
