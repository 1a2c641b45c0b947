package msgs

import "github.com/vmihailenco/msgpack/v5"

// Crash is what the loss of a run proves about a crash of its target under the task.
type Crash int

const (
	// NoCrash means that the run was not lost with its target.
	NoCrash Crash = iota
	// CrashSuspected means that the target went down, or is silent, with a start of the task
	// that may have been carried out, or with a run that may have ended before.
	CrashSuspected
	// CrashProven means that the target went down with the run in progress.
	CrashProven
)

// String returns the name of c as it is written to logs.
func (c Crash) String() string {
	switch c {
	case NoCrash:
		return "none"
	case CrashSuspected:
		return "suspected"
	case CrashProven:
		return "proven"
	}
	return "unknown"
}

// Loss is the loss of a run with its target. Entry, Incarnation and ID identify the order to run
// the task, which is lost once at most, whoever tells of it.
type Loss struct {
	Number      int64  // of the loss, from 1 in each incarnation of the gate; 0 if the gate has not told of it
	Task        string // name of the task
	Crash       Crash
	Entry       string // that has placed the task
	Incarnation uint64 // of the entry
	ID          uint64 // Task.ID
	LostFor     int64  // for how long the run had been lost when the gate told of it, ms
}

// lossesCodec returns a codec for a list of losses, each encoded as an array.
func lossesCodec(items *[]Loss) *sliceCodec[Loss] {
	return &sliceCodec[Loss]{
		items: items,
		encode: func(e *msgpack.Encoder, c Loss) error {
			return encodeArray(e, c.Number, c.Task, int(c.Crash), c.Entry, c.Incarnation, c.ID, c.LostFor)
		},
		decode: func(d *msgpack.Decoder) (c Loss, err error) {
			return c, decodeArray(d, &c.Number, &c.Task, (*int)(&c.Crash), &c.Entry, &c.Incarnation, &c.ID, &c.LostFor)
		},
	}
}
