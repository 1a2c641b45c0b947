package starts

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/ledger"
)

// DefaultMaxRecords is the number of tasks remembered at a time.
const DefaultMaxRecords = 200_000

// Reasons of the gate's ledger.
const (
	Late     ledger.Reason = "late"     // the task arrived after its time
	GateFull ledger.Reason = "gatefull" // the gate's ledger has no room
	Unseen   ledger.Reason = "unseen"   // the gate had not seen the task, and now never starts it
)

// ID names one task of one job.
type ID struct {
	Key  string
	Task int
}

// Result is what came of a task.
type Result struct {
	State  ledger.State
	Reason ledger.Reason
	Answer []byte
}

// Record is one task's entry. Its result may be read once Done is closed.
type Record struct {
	hold   time.Time
	done   chan struct{}
	result Result
}

// Done returns a channel that is closed when the result is settled.
func (r *Record) Done() <-chan struct{} { return r.done }

// Result returns the result. It must be called only after Done is closed.
func (r *Record) Result() Result { return r.result }

// Book is the ledger of one incarnation of a gate. The zero value is empty and
// ready for use. It is safe for concurrent use.
type Table struct {
	// MaxRecords bounds the tasks remembered; 0 means DefaultMaxRecords.
	MaxRecords int

	mu      sync.Mutex
	records map[ID]*Record
}

// Begin records the task as seen until hold. It returns the record and whether
// the caller is the one to start the task and to call Finish.
func (b *Table) Begin(id ID, hold, now time.Time) (*Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rec, ok := b.records[id]; ok {
		return rec, false
	}
	if !now.Before(hold) {
		return closed(Result{State: ledger.NotRun, Reason: Late}), false
	}
	if len(b.records) >= b.limit() {
		return closed(Result{State: ledger.NotRun, Reason: GateFull}), false
	}
	rec := &Record{hold: hold, done: make(chan struct{})}
	b.put(id, rec)
	return rec, true
}

// Outcome returns the record of a task that may have been sent. A task not
// seen before is marked as never to be started. Past hold the answer is
// unknown, since the record may have been forgotten.
func (b *Table) Resolve(id ID, hold, now time.Time) *Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rec, ok := b.records[id]; ok {
		return rec
	}
	if !now.Before(hold) || len(b.records) >= b.limit() {
		return closed(Result{State: ledger.Unknown, Reason: Late})
	}
	rec := closed(Result{State: ledger.NotRun, Reason: Unseen})
	rec.hold = hold
	b.put(id, rec)
	return rec
}

// Finish settles the result of a record that Begin gave out to be started.
func (b *Table) Finish(rec *Record, res Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec.result = res
	close(rec.done)
}

// Refuse settles a record that Begin gave out and that was not started, and
// forgets it, so that its home may ask for the start again.
func (b *Table) Refuse(id ID, rec *Record, reason ledger.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec.result = Result{State: ledger.NotRun, Reason: reason}
	close(rec.done)
	delete(b.records, id)
}

// Expire forgets the settled tasks whose time has passed and returns how many.
func (b *Table) Expire(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for id, rec := range b.records {
		if rec.hold.After(now) || !rec.settled() {
			continue
		}
		delete(b.records, id)
		count++
	}
	return count
}

// Len returns the number of tasks remembered.
func (b *Table) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.records)
}

func (b *Table) put(id ID, rec *Record) {
	if b.records == nil {
		b.records = map[ID]*Record{}
	}
	b.records[id] = rec
}

func (b *Table) limit() int {
	if b.MaxRecords > 0 {
		return b.MaxRecords
	}
	return DefaultMaxRecords
}

func (r *Record) settled() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func closed(res Result) *Record {
	rec := &Record{done: make(chan struct{}), result: res}
	close(rec.done)
	return rec
}
