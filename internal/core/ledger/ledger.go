package ledger

import (
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/core/roster"
	"github.com/gypsumlanding/gypsumlanding/pkg/jobkey"
)

// Defaults of Options.
const (
	DefaultSlack      = 10 * time.Second
	DefaultHorizon    = 10 * time.Minute
	DefaultMaxTimeout = 2 * time.Minute
	DefaultMaxRecords = 100_000
	DefaultMaxBytes   = 8 << 20
)

// Options bound a Ledger. A zero field means its default.
type Options struct {
	Slack      time.Duration // how long after its deadline a generated key is still held
	Horizon    time.Duration // how long a plain key is held
	MaxTimeout time.Duration // how far ahead a deadline may lie
	MaxRecords int           // keys held at a time
	MaxBytes   int           // bytes of answers held at a time
}

// Linger returns how long past its deadline the outcome of a job may still be
// learned: well before the keys of its tasks are forgotten.
func (o Options) OutcomeGrace() time.Duration { return o.withDefaults().Slack / 2 }

func (o Options) withDefaults() Options {
	if o.Slack == 0 {
		o.Slack = DefaultSlack
	}
	if o.Horizon == 0 {
		o.Horizon = DefaultHorizon
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

// Record is one key's entry. Its outcome may be read once Done is closed.
type Record struct {
	Key  jobkey.Key
	Hold time.Time // the ledger forgets the key at this time

	done    chan struct{}
	outcome Outcome
}

// Done returns a channel that is closed when the outcome is settled.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome. It must be called only after Done is closed.
func (r *Record) Outcome() Outcome { return r.outcome }

func (r *Record) settled() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Ledger is the memory of one incarnation of a home. New makes one. It is safe
// for concurrent use.
type Ledger struct {
	opts Options
	self roster.Ref

	mu        sync.Mutex
	roster    roster.Roster
	confirmed time.Time
	shards    []shard
	records   int
	bytes     int
}

// New returns the empty ledger of the given incarnation.
func New(self roster.Ref, opts Options) *Ledger {
	return &Ledger{opts: opts.withDefaults(), self: self}
}

// Decision tells what a home does with a key.
type Decision int

const (
	// Run means that the key is new here: run the job, then call Finish.
	Run Decision = iota
	// Join means that the key is known: wait for the record.
	Join
	// Wait means that a handover is on its way: wait for it and ask again.
	AwaitHandover
	// Fetch means that the roster is older than the key: get a newer one.
	RefreshRoster
	// Redirect means that another home owns the key.
	Redirect
	// Refuse means that the key can't be served; see the outcome.
	Refuse
)

// Verdict is the answer of Admit. Record is set for Run and Join, Ready for
// Wait, Outcome for Refuse.
type Admission struct {
	Decision     Decision
	Record       *Record
	HandoverDone <-chan struct{}
	Outcome      Outcome
}

// Admit decides what to do with key k at time now, and records it as running
// if it is to be run. Of all calls for a key, at most one is told Run while
// the key may still be submitted, at all homes together.
func (l *Ledger) Admit(k jobkey.Key, now time.Time) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k.Birth() > l.roster.Epoch() || len(l.shards) == 0 {
		return Admission{Decision: RefreshRoster}
	}
	s := &l.shards[k.Shard(len(l.shards))]
	if !s.mine {
		return Admission{Decision: Redirect}
	}
	if rec, ok := s.records[k.String()]; ok {
		return Admission{Decision: Join, Record: rec}
	}
	hold := l.hold(k, now)
	if !now.Before(hold) || !s.floor.Before(hold) {
		return refuse(Expired)
	}
	if s.ready != nil && k.Birth() < s.moved {
		return Admission{Decision: AwaitHandover, HandoverDone: s.ready}
	}
	if reason := l.doubt(s, k, now); reason != "" {
		return refuse(reason)
	}
	if l.records >= l.opts.MaxRecords {
		return refuse(LedgerFull)
	}
	rec := &Record{Key: k, Hold: hold, done: make(chan struct{})}
	l.insert(s, rec)
	return Admission{Decision: Run, Record: rec}
}

// Look returns the record of k, if the home owns its shard and has one.
func (l *Ledger) Lookup(k jobkey.Key) (*Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shards) == 0 {
		return nil, false
	}
	s := &l.shards[k.Shard(len(l.shards))]
	rec, ok := s.records[k.String()]
	return rec, ok && s.mine
}

// doubt returns why k may have run at a home whose records are lost, or "".
func (l *Ledger) doubt(s *shard, k jobkey.Key, now time.Time) Reason {
	if !k.Plain() {
		if k.Birth() < s.minBirth {
			return OwnerLost
		}
		if k.Deadline().After(now.Add(l.opts.MaxTimeout)) {
			return DeadlineTooFar
		}
		return ""
	}
	if now.Before(s.plainFrom) {
		return OwnerLost
	}
	if now.Sub(l.confirmed) > l.opts.Horizon/2 {
		return RosterUnconfirmed
	}
	return ""
}

// hold returns the time until which k must be remembered when seen at now.
func (l *Ledger) hold(k jobkey.Key, now time.Time) time.Time {
	if k.Plain() {
		return now.Add(l.opts.Horizon)
	}
	return k.Deadline().Add(l.opts.Slack)
}

// Finish settles the outcome of a record that Admit said to run. It reports
// whether the home still owns the key; if not, the new owner has to be told.
func (l *Ledger) Finish(rec *Record, o Outcome) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(rec, o)
	return l.shards[rec.Key.Shard(len(l.shards))].mine
}

// Settle takes the outcome of a key whose job went on at a former owner. It
// does nothing if the outcome is settled already or the shard is not owned.
func (l *Ledger) Settle(k jobkey.Key, hold time.Time, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shards) == 0 {
		return
	}
	s := &l.shards[k.Shard(len(l.shards))]
	if !s.mine {
		return
	}
	rec, ok := s.records[k.String()]
	if !ok {
		rec = &Record{Key: k, Hold: hold, done: make(chan struct{})}
		l.insert(s, rec)
	}
	l.settle(rec, o)
}

// Expire forgets the keys whose time has passed and returns how many.
func (l *Ledger) Expire(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for i := range l.shards {
		s := &l.shards[i]
		for text, rec := range s.records {
			if rec.Hold.After(now) {
				continue
			}
			delete(s.records, text)
			l.records--
			if rec.settled() {
				l.bytes -= rec.outcome.Size()
			}
			count++
		}
	}
	return count
}

// Records returns the number of keys held.
func (l *Ledger) Records() int {
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

// settle stores o, or only that it was lost if there is no room for answers.
func (l *Ledger) settle(rec *Record, o Outcome) {
	if rec.settled() {
		return
	}
	if l.bytes+o.Size() > l.opts.MaxBytes {
		o = Outcome{State: Unknown, Reason: AnswerDropped}
	}
	l.bytes += o.Size()
	rec.outcome = o
	close(rec.done)
}

func refuse(reason Reason) Admission {
	return Admission{Decision: Refuse, Outcome: Outcome{State: Unknown, Reason: reason}}
}
