package msgs

import "github.com/vmihailenco/msgpack/v5"

// Result is the way in which a gate's handling of a task ended.
type Result int

const (
	// Refused means that the task did not start at this gate and never will.
	Refused Result = iota
	// Done means that the target completed the task successfully.
	Done
	// Failed means that the target ran the task and it failed.
	Failed
	// Lost means that the task may have started, and no longer runs.
	Lost
	// Foreign means that the call was addressed to another incarnation of the gate.
	Foreign
)

// String returns the name of the result as it is written to logs.
func (r Result) String() string {
	return [...]string{"refused", "done", "failed", "lost", "stranger"}[r]
}

// Sender identifies the entry that makes a call and the incarnation of the gate that
// the call is addressed to.
type Sender struct {
	Entry           string // name of the entry
	Incarnation     uint64 // incarnation of the entry
	GateIncarnation uint64
	EchoedTimestamp int64 // newest Load.Timestamp that the entry has received, ns; renews its lease
}

// Task is the argument of Gate.Take. It asks a gate to run a task and to return its
// outcome. If the gate already knows the task, it only returns the outcome. Like Sync it
// renews the sender's lease, and so also stops the tasks that Cancel lists.
type Task struct {
	Sender
	ID              uint64 // unique in the incarnation of the sender
	Name            string
	Job             string // ID of the job, for logs
	Service         string
	Spec            string   // opaque description of the work, for the target
	CPU             int      // thousandths of a core
	Memory          int      // MB
	GPU             int      // devices
	ExpectedRunTime int64    // expected run time on a target of speed 1, ms
	MaxQueueTime    int64    // longest time in the gate's queue, ms
	StartWithin     int64    // time left until the latest desired start, ms; not positive once it has passed
	Failures        int      // number of times that the task has failed elsewhere
	IgnoreBreaker   bool     // start the task even if the target's circuit breaker is open, since too many are
	Cancel          []uint64 // IDs of tasks to stop before this one is admitted
	Order           Order    // newest order of the gate's failure domain that the sender knows; zero if none
	Kind            string   // kind of the task; see package interf. Empty for none
	WantKinds       bool     // the Loads of the next second shall have Kinds
	LeastRunTime    int64    // the caller's estimate of the run time on a target of speed 1 if the entry expects more, ms; otherwise 0
}

// TaskReply is the reply to Task.
type TaskReply struct {
	Result  Result
	Reason  string // why the task was refused or its run lost; otherwise empty
	RunTime int64  // run time by the target's clock, ms; 0 if unknown
	Load    Load
	Crash   Crash // what the loss of the run proves
	// RevokedFor is for how long the job of a task that was refused on arrival had been revoked, ms; 0
	// if that is not why.
	RevokedFor int64
}

// Sync is the argument of Gate.Sync. It renews the sender's lease on its tasks at a gate.
// The reply is the gate's Load.
type Sync struct {
	Sender
	Cancel    []uint64 // IDs of tasks to stop
	Order     Order    // as in Task
	WantKinds bool     // the Loads of the next second shall have Kinds
	// LossesSeen is the highest Loss.Number of the addressed incarnation that the sender knows.
	LossesSeen int64
}

// Load is the capacity and use of a gate's target.
type Load struct {
	Incarnation       uint64   // incarnation of the gate
	Timestamp         int64    // time at the gate when it measured the load, ns since its machine booted
	Service           string   // service of the target; empty without a target
	TargetIncarnation string   // ID of the target's incarnation
	Labels            []string // labels of the target
	CPU               int      // capacity, thousandths of a core
	Memory            int      // capacity, MB
	GPU               int      // capacity, devices
	UsedCPU           int      // thousandths of a core
	UsedMemory        int      // MB
	UsedGPU           int      // devices
	QueuedWork        int64    // work in the gate's queue, core-milliseconds on a target of speed 1
	Speed             float64  // run time on a target of speed 1 divided by the run time here
	BlockedReason     string   // why the gate starts no tasks, such as an open circuit breaker; empty if it does
	Leaving           bool     // the gate accepts no new tasks
	Domain            string   // failure domain of the target; empty if unknown
	ColdFor           int      // for how long the target is slow after its start, or after it was without work, ms; 0 if it is not

	Interference []Interference // pairs of kinds that slow each other down; usually empty
	Kinds        []KindRuns     // runs at the target by kind; empty unless there is interference
	LastLoss     int64          // number of the newest loss with the target; 0 if there is none of late
	Losses       []Loss         // recent losses with the target above Sync.LossesSeen; only in replies to Sync
}

// Interference means that tasks of one kind run longer beside tasks of another.
type Interference struct {
	Slowed   string // kind that runs longer
	By       string // kind that makes it run longer
	Factor   int    // by which it runs longer, percent
	Evidence int    // reciprocal of the variance of the logarithm of the factor
}

// KindRuns is the number of runs of a kind.
type KindRuns struct {
	Kind string
	Runs int
}

// Revoke is the argument of Gate.Revoke. It stops or refuses all tasks of the jobs that are not of
// this incarnation of the entry.
type Revoke struct {
	Sender          // EchoedTimestamp shows that the order is not old; it renews no lease
	Jobs   []string // IDs of the jobs
}

// RevokeReply is the reply to Revoke.
type RevokeReply struct {
	// Applied is false if the order may be old, or is for another incarnation of the gate. Then
	// the gate has done nothing, and the order is to be repeated with this Incarnation and
	// Timestamp.
	Applied     bool
	Incarnation uint64   // incarnation of the gate
	Timestamp   int64    // time at the gate, ns since its machine booted
	Running     []string // IDs of the jobs of which a task that was revoked may still run
}

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

// EncodeMsgpack writes the message, without LeastRunTime if that is 0. Its element 14 was a time
// since the boot of the sender's machine, which means nothing elsewhere; it is 0 now and is not read.
func (m *Task) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := []any{m.Entry, m.Incarnation, m.GateIncarnation, m.EchoedTimestamp, m.ID,
		m.Name, m.Job, m.Service, m.Spec, m.CPU, m.Memory, m.GPU,
		m.ExpectedRunTime, m.MaxQueueTime, int64(0), m.Failures, m.IgnoreBreaker, m.StartWithin, m.Cancel, &m.Order, m.Kind, m.WantKinds}
	if m.LeastRunTime != 0 {
		fields = append(fields, m.LeastRunTime)
	}
	return encodeArray(e, fields...)
}

// DecodeMsgpack reads the message. One without StartWithin, from an older process, is
// due when it arrives; one without Cancel stops no task, and one without Order or Kind has none.
func (m *Task) DecodeMsgpack(d *msgpack.Decoder) error {
	var unused int64
	return decodeArray(d, &m.Entry, &m.Incarnation, &m.GateIncarnation, &m.EchoedTimestamp, &m.ID,
		&m.Name, &m.Job, &m.Service, &m.Spec, &m.CPU, &m.Memory, &m.GPU,
		&m.ExpectedRunTime, &m.MaxQueueTime, &unused, &m.Failures, &m.IgnoreBreaker, &m.StartWithin, &m.Cancel, &m.Order, &m.Kind, &m.WantKinds, &m.LeastRunTime)
}

// EncodeMsgpack writes the message, without the fields after Load if there is no reason for them.
func (m *TaskReply) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := []any{int(m.Result), m.Reason, m.RunTime, &m.Load}
	if m.Crash != NoCrash || m.RevokedFor != 0 {
		fields = append(fields, int(m.Crash), m.RevokedFor)
	}
	return encodeArray(e, fields...)
}

// DecodeMsgpack reads the message. One from an older process has no Crash, so it proves none, and
// no RevokedFor.
func (m *TaskReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, (*int)(&m.Result), &m.Reason, &m.RunTime, &m.Load, (*int)(&m.Crash), &m.RevokedFor)
}

// EncodeMsgpack writes the message, without LossesSeen if that is 0.
func (m *Sync) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := []any{m.Entry, m.Incarnation, m.GateIncarnation, m.EchoedTimestamp, m.Cancel, &m.Order, m.WantKinds}
	if m.LossesSeen != 0 {
		fields = append(fields, m.LossesSeen)
	}
	return encodeArray(e, fields...)
}

// DecodeMsgpack reads the message. One from an older process has no WantKinds, or no LossesSeen.
func (m *Sync) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Entry, &m.Incarnation, &m.GateIncarnation, &m.EchoedTimestamp, &m.Cancel, &m.Order, &m.WantKinds, &m.LossesSeen)
}

// EncodeMsgpack writes the message, without LastLoss and Losses if there is no loss.
func (m *Load) EncodeMsgpack(e *msgpack.Encoder) error {
	fields := []any{m.Incarnation, m.Timestamp, m.Service, m.TargetIncarnation, m.Labels,
		m.CPU, m.Memory, m.GPU, m.UsedCPU, m.UsedMemory, m.UsedGPU,
		m.QueuedWork, m.Speed, m.BlockedReason, m.Leaving, m.Domain, m.ColdFor, interferenceCodec(&m.Interference), kindsCodec(&m.Kinds)}
	if m.LastLoss != 0 {
		fields = append(fields, m.LastLoss, lossesCodec(&m.Losses))
	}
	return encodeArray(e, fields...)
}

// DecodeMsgpack reads the message. One from an older process has no Interference and no
// Kinds, or no LastLoss and Losses.
func (m *Load) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Incarnation, &m.Timestamp, &m.Service, &m.TargetIncarnation, &m.Labels,
		&m.CPU, &m.Memory, &m.GPU, &m.UsedCPU, &m.UsedMemory, &m.UsedGPU,
		&m.QueuedWork, &m.Speed, &m.BlockedReason, &m.Leaving, &m.Domain, &m.ColdFor, interferenceCodec(&m.Interference), kindsCodec(&m.Kinds), &m.LastLoss, lossesCodec(&m.Losses))
}

// EncodeMsgpack writes the message.
func (m *Revoke) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Entry, m.Incarnation, m.GateIncarnation, m.EchoedTimestamp, m.Jobs)
}

// DecodeMsgpack reads the message.
func (m *Revoke) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Entry, &m.Incarnation, &m.GateIncarnation, &m.EchoedTimestamp, &m.Jobs)
}

// EncodeMsgpack writes the message.
func (m *RevokeReply) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeArray(e, m.Applied, m.Incarnation, m.Timestamp, m.Running)
}

// DecodeMsgpack reads the message.
func (m *RevokeReply) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeArray(d, &m.Applied, &m.Incarnation, &m.Timestamp, &m.Running)
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
