package ledger

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Default values of the fields of Options.
const (
	DefaultRetention      = 10 * time.Second
	DefaultPlainRetention = 10 * time.Minute
	DefaultMaxTimeout     = 2 * time.Minute
	DefaultMaxRecords     = 100_000
	DefaultMaxBytes       = 8 << 20
)

// Options sets the limits of a Ledger. A field that is zero stands for its default.
type Options struct {
	Retention      time.Duration // how long a generated key is retained after its deadline
	PlainRetention time.Duration // how long a plain key is retained after its admission
	MaxTimeout     time.Duration // longest time from admission to the deadline of a generated key
	MaxRecords     int           // largest number of keys retained at a time
	MaxBytes       int           // largest total size of the answers retained at a time, in bytes
}

// OutcomeGrace returns how long after the deadline of a job its outcome may still
// be awaited. It is half of Retention, so that waiting ends well before the records of
// the job's tasks are deleted.
func (o Options) OutcomeGrace() time.Duration { return o.withDefaults().Retention / 2 }

func (o Options) withDefaults() Options {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.PlainRetention == 0 {
		o.PlainRetention = DefaultPlainRetention
	}
	if o.MaxTimeout == 0 {
		o.MaxTimeout = DefaultMaxTimeout
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	return o
}

// Record is the ledger's record of one key. Its outcome may be read once Done is
// closed.
type Record struct {
	Key         jobkey.Key
	RetainUntil time.Time // retention deadline: the ledger deletes the record at this time

	done    chan struct{}
	outcome Outcome
}

// Done returns a channel that is closed when the outcome is set.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome. It must be called only after Done is closed.
func (r *Record) Outcome() Outcome { return r.outcome }

// finished reports whether the outcome is set.
func (r *Record) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Ledger holds the records of one incarnation of a home. It must be made by New.
// It is safe for concurrent use.
type Ledger struct {
	opts Options
	self roster.Ref

	mu          sync.Mutex
	roster      roster.Roster // the newest one received; the zero value before the first
	confirmedAt time.Time     // when roster was last known to be the newest
	shards      []shard       // by shard number; empty before the first roster
	records     int           // number of records in all shards
	answerBytes int           // total size of the answers in all records
}

// New returns an empty ledger for the home with the incarnation self.
func New(self roster.Ref, opts Options) *Ledger {
	return &Ledger{opts: opts.withDefaults(), self: self}
}

// Decision is what a home must do with a key.
type Decision int

const (
	// Run means that the key is new: the caller must run the job and then call
	// Finish.
	Run Decision = iota
	// Join means that the key is known: the caller waits for its record.
	Join
	// AwaitHandover means that the previous owner has yet to hand over the shard:
	// the caller waits for that and calls Admit again.
	AwaitHandover
	// RefreshRoster means that the ledger's roster is older than the key: the
	// caller must get a newer one.
	RefreshRoster
	// Redirect means that another home owns the shard of the key.
	Redirect
	// Refuse means that the key can't be served, for the reason in the outcome.
	Refuse
)

// Admission is the result of Admit. Record is set if Decision is Run or Join,
// Outcome if it is Refuse. HandoverDone is set if it is AwaitHandover, and is
// closed when the handover has arrived or has been abandoned.
type Admission struct {
	Decision     Decision
	Record       *Record
	HandoverDone <-chan struct{}
	Outcome      Outcome
}

// Admit decides what to do with key k at time now, and records k as running if
// the decision is Run. While a key may still be submitted, at most one of all
// calls for it returns Run, counted over all homes together.
func (l *Ledger) Admit(k jobkey.Key, now time.Time) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.Epoch() > l.roster.Epoch() || len(l.shards) == 0 {
		return Admission{Decision: RefreshRoster}
	}
	s := &l.shards[k.Shard(len(l.shards))]
	if !s.owned {
		return Admission{Decision: Redirect}
	}
	if rec, ok := s.records[k.String()]; ok {
		return Admission{Decision: Join, Record: rec}
	}
	retainUntil := l.retainUntil(k, now)
	if !now.Before(retainUntil) || !s.lowWatermark.Before(retainUntil) {
		return refuse(Expired)
	}
	if s.handoverDone != nil && k.Epoch() < s.movedEpoch {
		return Admission{Decision: AwaitHandover, HandoverDone: s.handoverDone}
	}
	if reason := l.refusalReason(s, k, now); reason != "" {
		return refuse(reason)
	}
	if l.records >= l.opts.MaxRecords {
		return refuse(LedgerFull)
	}
	rec := &Record{Key: k, RetainUntil: retainUntil, done: make(chan struct{})}
	l.insert(s, rec)
	return Admission{Decision: Run, Record: rec}
}

// Lookup returns the record of k. It returns false if there is none or if the home
// does not own the shard of k. It changes nothing.
func (l *Ledger) Lookup(k jobkey.Key) (*Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shards) == 0 {
		return nil, false
	}
	s := &l.shards[k.Shard(len(l.shards))]
	rec, ok := s.records[k.String()]
	return rec, ok && s.owned
}

// refusalReason returns why k, which has no record, must be refused: it may have
// run at a home whose records are lost, its deadline is too far ahead, or it is
// plain and the roster is not confirmed recently enough. It returns the empty
// string if k may run.
func (l *Ledger) refusalReason(s *shard, k jobkey.Key, now time.Time) Reason {
	if !k.Plain() {
		if k.Epoch() < s.minEpoch {
			return OwnerLost
		}
		if k.Deadline().After(now.Add(l.opts.MaxTimeout)) {
			return DeadlineTooFar
		}
		return ""
	}
	if now.Before(s.plainRefusedUntil) {
		return OwnerLost
	}
	if now.Sub(l.confirmedAt) > l.opts.PlainRetention/2 {
		return RosterUnconfirmed
	}
	return ""
}

// retainUntil returns the retention deadline of key k when it is admitted at now.
func (l *Ledger) retainUntil(k jobkey.Key, now time.Time) time.Time {
	if k.Plain() {
		return now.Add(l.opts.PlainRetention)
	}
	return k.Deadline().Add(l.opts.Retention)
}

// Finish sets the outcome of a record that Admit returned with the decision Run.
// It reports whether the home still owns the shard of the key; if not, the caller
// must send the outcome to the new owner.
func (l *Ledger) Finish(rec *Record, o Outcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setOutcome(rec, o)
	return l.shards[rec.Key.Shard(len(l.shards))].owned
}

// RecordOutcome stores the outcome of a job that a previous owner of the shard ran to
// its end after the shard had moved. If k has no record yet, it adds one with the
// retention deadline retainUntil. It does nothing if the outcome is already set or if
// the home does not own the shard.
func (l *Ledger) RecordOutcome(k jobkey.Key, retainUntil time.Time, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shards) == 0 {
		return
	}
	s := &l.shards[k.Shard(len(l.shards))]
	if !s.owned {
		return
	}
	rec, ok := s.records[k.String()]
	if !ok {
		rec = &Record{Key: k, RetainUntil: retainUntil, done: make(chan struct{})}
		l.insert(s, rec)
	}
	l.setOutcome(rec, o)
}

// Expire deletes the records whose retention deadline is not after now, and returns
// their number.
func (l *Ledger) Expire(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for i := range l.shards {
		s := &l.shards[i]
		for text, rec := range s.records {
			if rec.RetainUntil.After(now) {
				continue
			}
			delete(s.records, text)
			l.records--
			if rec.finished() {
				l.answerBytes -= rec.outcome.Size()
			}
			count++
		}
	}
	return count
}

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records
}

func (l *Ledger) insert(s *shard, rec *Record) {
	if s.records == nil {
		s.records = map[string]*Record{}
	}
	s.records[rec.Key.String()] = rec
	l.records++
}

// setOutcome sets the outcome of rec to o, unless it is already set. If the answers
// of o would exceed MaxBytes, it stores the reason AnswerDropped instead.
func (l *Ledger) setOutcome(rec *Record, o Outcome) {
	if rec.finished() {
		return
	}
	if l.answerBytes+o.Size() > l.opts.MaxBytes {
		o = Outcome{State: Unknown, Reason: AnswerDropped}
	}
	l.answerBytes += o.Size()
	rec.outcome = o
	close(rec.done)
}

// refuse returns a refusal for the given reason. Its state is Unknown, since the key
// may have run earlier or at another home.
func refuse(reason Reason) Admission {
	return Admission{Decision: Refuse, Outcome: Outcome{State: Unknown, Reason: reason}}
}
