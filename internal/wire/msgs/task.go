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
	Foreign
)

// String returns the result's name in logs.
func (r Result) String() string {
	return [...]string{"refused", "done", "failed", "lost", "stranger"}[r]
}

// Sender names the process that a call comes from and the life of the gate that
// it is meant for.
type Sender struct {
	Entry           string
	Incarnation     uint64 // of the sender's process
	GateIncarnation uint64
	EchoedTimestamp int64 // newest Load.Stamp that the sender has received; renews its lease
}

// Task asks a gate to run a task, or to go on waiting for it if the gate has it
// already.
type Task struct {
	Sender
	ID              uint64 // unique in the sender's life
	Name            string
	Job             string // ID of the job, for logs
	Service         string
	Spec            string
	CPU             int   // thousandths of a core
	Memory          int   // MB
	GPU             int   // devices
	ExpectedRunTime int64 // run time on a target of speed 1, ms
	MaxQueueTime    int64 // longest wait in the gate's queue, ms
	QueueRank       int64 // the gate's queue starts the lowest first, ms
	Failures        int   // how often the task has failed elsewhere
	IgnoreBreaker   bool  // to be taken though the target is set aside, since most are
}

// TaskReply tells how the task ended.
type TaskReply struct {
	Result  Result
	Reason  string
	RunTime int64 // ms at the target
	Load    Load
}

// Sync renews the sender's lease on its tasks at a gate.
type Sync struct {
	Sender
	Cancel []uint64 // IDs of tasks to stop
}

// Load tells what a gate's target has to give.
type Load struct {
	Incarnation       uint64 // of the gate's process
	Timestamp         int64  // reading of the gate's clock, ns
	Service           string // empty without a target
	TargetIncarnation string // ID of the target's life
	Labels            []string
	CPU               int // thousandths of a core, in all
	Memory            int // MB, in all
	GPU               int // devices, in all
	UsedCPU           int
	UsedMemory        int
	UsedGPU           int
	QueuedWork        int64 // core-milliseconds of work in the gate's queue
	Speed             float64
	BlockedReason     string // reason why the target is set aside; empty if it is not
	Leaving           bool
}

// Hello announces a gate to an entry.
type Hello struct {
	Addr string
}

// Gossip is what entries tell each other.
type Gossip struct {
	Entry         string // address of the sender
	Members       []string
	ConfigVersion int64 // of the sender's configuration
}

// GossipReply is the answer, with the configuration if it is newer.
type GossipReply struct {
	Members       []string // each "role address"
	ConfigVersion int64
	Config        []byte // empty if the asker's is as new
	PendingRoutes []string
	PendingCounts []int64
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
	return pack(e, m.Entry, m.Incarnation, m.GateIncarnation, m.EchoedTimestamp, m.ID, m.Name, m.Job, m.Service, m.Spec,
		m.CPU, m.Memory, m.GPU, m.ExpectedRunTime, m.MaxQueueTime, m.QueueRank, m.Failures, m.IgnoreBreaker)
}

// DecodeMsgpack reads the message.
func (m *Task) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Entry, &m.Incarnation, &m.GateIncarnation, &m.EchoedTimestamp, &m.ID, &m.Name, &m.Job, &m.Service, &m.Spec,
		&m.CPU, &m.Memory, &m.GPU, &m.ExpectedRunTime, &m.MaxQueueTime, &m.QueueRank, &m.Failures, &m.IgnoreBreaker)
}

// EncodeMsgpack writes the message.
func (m *TaskReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, int(m.Result), m.Reason, m.RunTime, &m.Load)
}

// DecodeMsgpack reads the message.
func (m *TaskReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, (*int)(&m.Result), &m.Reason, &m.RunTime, &m.Load)
}

// EncodeMsgpack writes the message.
func (m *Sync) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Entry, m.Incarnation, m.GateIncarnation, m.EchoedTimestamp, m.Cancel)
}

// DecodeMsgpack reads the message.
func (m *Sync) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Entry, &m.Incarnation, &m.GateIncarnation, &m.EchoedTimestamp, &m.Cancel)
}

// EncodeMsgpack writes the message.
func (m *Load) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Incarnation, m.Timestamp, m.Service, m.TargetIncarnation, m.Labels, m.CPU, m.Memory, m.GPU,
		m.UsedCPU, m.UsedMemory, m.UsedGPU, m.QueuedWork, m.Speed, m.BlockedReason, m.Leaving)
}

// DecodeMsgpack reads the message.
func (m *Load) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Incarnation, &m.Timestamp, &m.Service, &m.TargetIncarnation, &m.Labels, &m.CPU, &m.Memory, &m.GPU,
		&m.UsedCPU, &m.UsedMemory, &m.UsedGPU, &m.QueuedWork, &m.Speed, &m.BlockedReason, &m.Leaving)
}

// EncodeMsgpack writes the message.
func (m *Hello) EncodeMsgpack(e *msgpack.Encoder) error { return pack(e, m.Addr) }

// DecodeMsgpack reads the message.
func (m *Hello) DecodeMsgpack(d *msgpack.Decoder) error { return unpack(d, &m.Addr) }

// EncodeMsgpack writes the message.
func (m *Gossip) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Entry, m.Members, m.ConfigVersion)
}

// DecodeMsgpack reads the message.
func (m *Gossip) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Entry, &m.Members, &m.ConfigVersion)
}

// EncodeMsgpack writes the message.
func (m *GossipReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return pack(e, m.Members, m.ConfigVersion, m.Config, m.PendingRoutes, m.PendingCounts)
}

// DecodeMsgpack reads the message.
func (m *GossipReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return unpack(d, &m.Members, &m.ConfigVersion, &m.Config, &m.PendingRoutes, &m.PendingCounts)
}

// EncodeMsgpack writes the message.
func (m *Lookup) EncodeMsgpack(e *msgpack.Encoder) error { return pack(e, m.Job, m.Cancel) }

// DecodeMsgpack reads the message.
func (m *Lookup) DecodeMsgpack(d *msgpack.Decoder) error { return unpack(d, &m.Job, &m.Cancel) }

// EncodeMsgpack writes the message.
func (m *LookupReply) EncodeMsgpack(e *msgpack.Encoder) error { return pack(e, m.State) }

// DecodeMsgpack reads the message.
func (m *LookupReply) DecodeMsgpack(d *msgpack.Decoder) error { return unpack(d, &m.State) }
