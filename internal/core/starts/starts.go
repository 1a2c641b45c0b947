package starts

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
)

// DefaultMaxRecords is the default for the largest number of tasks in a Table.
const DefaultMaxRecords = 200_000

// Reasons for a task without an answer.
const (
	Late     ledger.Reason = "late"     // the message arrived after the retention deadline of the task
	GateFull ledger.Reason = "gatefull" // the table of the gate has no capacity for another task
	Unseen   ledger.Reason = "unseen"   // the gate had not received the task when its result was requested, and never starts it
)

// ID identifies one task of a job: Key is the text of the job's key, Task the number
// of the task in the job.
type ID struct {
	Key  string
	Task int
}

// Result is the outcome of a task. Answer is set only if State is ledger.Answered.
type Result struct {
	State  ledger.State
	Reason ledger.Reason
	Answer []byte
}

// Record is the table's record of one task. Its result may be read once Done is
// closed.
type Record struct {
	retainUntil time.Time // retention deadline
	done        chan struct{}
	result      Result
}

// Done returns a channel that is closed when the result is set.
func (r *Record) Done() <-chan struct{} { return r.done }

// Result returns the result. It must be called only after Done is closed.
func (r *Record) Result() Result { return r.result }

// Table holds the tasks that one incarnation of a gate has received. The zero value
// is an empty table, ready for use. It is safe for concurrent use.
type Table struct {
	// MaxRecords is the largest number of tasks; 0 means DefaultMaxRecords.
	MaxRecords int

	mu      sync.Mutex
	records map[ID]*Record
}

// Begin records that the task was received, until the retention deadline retainUntil.
// It returns the record, and whether the caller must start the task and then call
// Finish or Refuse. If it is not to be started, the record is that of an earlier
// message, or one that says why the task is not run.
func (t *Table) Begin(id ID, retainUntil, now time.Time) (*Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec, ok := t.records[id]; ok {
		return rec, false
	}
	if !now.Before(retainUntil) {
		return finishedRecord(Result{State: ledger.NotRun, Reason: Late}), false
	}
	if len(t.records) >= t.capacity() {
		return finishedRecord(Result{State: ledger.NotRun, Reason: GateFull}), false
	}
	rec := &Record{retainUntil: retainUntil, done: make(chan struct{})}
	t.insert(id, rec)
	return rec, true
}

// Resolve returns the record of a task whose start is in doubt, because its message
// may or may not have arrived. A task not received before is marked as not run and
// never starts. Past the retention deadline retainUntil the result is Unknown with the
// reason Late, since the record may have been deleted. It is the same if the table is
// full.
func (t *Table) Resolve(id ID, retainUntil, now time.Time) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec, ok := t.records[id]; ok {
		return rec
	}
	if !now.Before(retainUntil) || len(t.records) >= t.capacity() {
		return finishedRecord(Result{State: ledger.Unknown, Reason: Late})
	}
	rec := finishedRecord(Result{State: ledger.NotRun, Reason: Unseen})
	rec.retainUntil = retainUntil
	t.insert(id, rec)
	return rec
}

// Finish sets the result of a record whose task the caller of Begin had to start.
func (t *Table) Finish(rec *Record, res Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec.result = res
	close(rec.done)
}

// Refuse sets the result of a record whose task the caller of Begin had to start but
// did not, to NotRun with the given reason. It deletes the record from the table, so
// that the home may send the task again.
func (t *Table) Refuse(id ID, rec *Record, reason ledger.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec.result = Result{State: ledger.NotRun, Reason: reason}
	close(rec.done)
	delete(t.records, id)
}

// Expire deletes the records with a result whose retention deadline is not after now,
// and returns their number.
func (t *Table) Expire(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for id, rec := range t.records {
		if rec.retainUntil.After(now) || !rec.finished() {
			continue
		}
		delete(t.records, id)
		count++
	}
	return count
}

// Len returns the number of tasks in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

func (t *Table) insert(id ID, rec *Record) {
	if t.records == nil {
		t.records = map[ID]*Record{}
	}
	t.records[id] = rec
}

// capacity returns the largest number of tasks.
func (t *Table) capacity() int {
	if t.MaxRecords > 0 {
		return t.MaxRecords
	}
	return DefaultMaxRecords
}

// finished reports whether the result is set.
func (r *Record) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// finishedRecord returns a new record, in no table, with the result res.
func finishedRecord(res Result) *Record {
	rec := &Record{done: make(chan struct{}), result: res}
	close(rec.done)
	return rec
}
