package giveup

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumlanding/gypsumlanding/internal/disp/boot"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/gate"
	"github.com/gypsumlanding/gypsumlanding/internal/disp/link"
)

// gatesCheckInterval is the longest time between two checks whether the gates of an entry are
// known. They are soon after this entry has started.
const gatesCheckInterval = 50 * time.Millisecond

// Proof is what shows that an entry has no task of a job that can still be running.
type Proof string

// Proofs, as written to logs and in the names of counters.
const (
	ByAnswer  Proof = "answer"  // the entry has answered that it has none
	ByListing Proof = "listing" // the entry, which is out of rotation, has listed its jobs
	ByGates   Proof = "gates"   // the gates have revoked the job
	ByTime    Proof = "time"    // its tasks have ended with its leases
)

// Names of counters. The name of a counter of proofs is ProvedPrefix followed by a Proof.
const (
	ProvedPrefix      = "givenup."
	RevocationCounter = "revocations.sent" // calls to gates that revoke jobs
	QuestionCounter   = "questions.sent"   // calls to entries that order them to give up jobs
)

// Counters returns the names of the counters.
func Counters() []string {
	return []string{
		ProvedPrefix + string(ByAnswer), ProvedPrefix + string(ByListing), ProvedPrefix + string(ByGates), ProvedPrefix + string(ByTime),
		RevocationCounter, QuestionCounter,
	}
}

// Order makes an entry give up jobs.
type Order struct {
	Jobs   []string
	Peek   []string // jobs that it shall not give up, but tell whether it has them
	Claims []string // jobs that this entry is about to start
}

// Reply is the answer of an entry that was asked to give up jobs.
type Reply struct {
	Has  []string // those of Order.Jobs that it has, or has tasks of
	Runs []string // the same of Order.Peek and Order.Claims
	// OrphansFor is how long tasks of its former incarnation may still run; 0 if none may.
	OrphansFor time.Duration
}

// Asker makes other entries give up jobs for one entry. Set the exported fields before use. It
// is safe for concurrent use.
type Asker struct {
	Entry       string // name of this entry
	Incarnation uint64 // of this entry
	// Started is when this entry was started; 0 means that it has no former incarnation.
	Started boot.Time
	// Ask gives an Order to the entry at addr. If fresh is set, it does so on a connection of
	// its own. The error is peer.ErrRefused if the entry refuses the connection.
	Ask func(ctx context.Context, addr string, o Order, fresh bool) (Reply, error)
	// Gates returns the addresses of the gates at which the entry at addr may have tasks. It
	// reports false if they are not known; nil means that they never are.
	Gates func(addr string) ([]string, bool)
	// CallGate calls a method of a gate.
	CallGate func(ctx context.Context, addr, method string, args, reply any) error
	// GateView returns what this entry's link to a gate shows; the zero View without a link.
	GateView func(addr string) link.View
	// Now returns the present time; nil means boot.Now.
	Now func() boot.Time
	// Event logs a change of state; nil discards it.
	Event func(event string, pairs ...any)
	// Trace logs a decision about a job; nil discards it.
	Trace func(event string, pairs ...any)
	// Count increments the named counter; nil discards it.
	Count func(name string)

	mu        sync.Mutex
	inquiries map[string]*inquiry  // by the address of the entry that is asked
	listings  map[string]listing   // by the address of the entry that has listed its jobs
	claims    map[string]claims    // by the address of the entry that has told of jobs
	holders   map[string]boot.Time // until when a listing of this entry counts, by the address of the entry that has it
	questions budget               // of calls to entries

	silences        map[string]*silence  // by the address of an entry that does not answer
	lastSilenceLogs map[string]boot.Time // when a line about an entry that fell silent was last logged
	batches         map[string]*batch    // revocations that are about to be sent, by the address of the gate
	revoking        int                  // calls to gates in progress
	revoked         *sync.Cond           // a call to a gate has ended; nil before the first one
	// lastBatches has when the latest call to a gate is or was made, by its address.
	lastBatches map[string]boot.Time
	// silentGates has what the calls to a gate have shown since it last answered, by its address.
	silentGates map[string]gateSilence
}

// GiveUp makes the entries at addrs give up a job. It returns when it is proved that none of
// them has a task of the job that can still be running, or when ctx ends.
func (a *Asker) GiveUp(ctx context.Context, addrs []string, job string) {
	a.giveUp(ctx, addrs, job, 0)
}

// GiveUpUnlessUnlisted is GiveUp for a job whose caller has waited for the resubmit delay if it had
// submitted the job before. The listing of an entry that is out of rotation is a proof then.
func (a *Asker) GiveUpUnlessUnlisted(ctx context.Context, addrs []string, job string) {
	var asked []string
	for _, addr := range addrs {
		if !a.isUnlisted(addr, job) {
			asked = append(asked, addr)
		}
	}
	a.giveUp(ctx, asked, job, len(addrs)-len(asked))
}

// gatesOf returns the gates at which the entry at addr may have tasks, and whether they are
// known.
func (a *Asker) gatesOf(addr string) ([]string, bool) {
	if a.Gates == nil {
		return nil, false
	}
	gates, ok := a.Gates(addr)
	return gates, ok && len(gates) > 0
}

// Orphans returns how long tasks of the former incarnation of a process may run at now that has
// been started at started, in the unit of msgs.LookupReply; 0 if none may. A start at 0 means
// that there is no former incarnation.
func Orphans(started, now boot.Time) int64 {
	if started == 0 {
		return 0
	}
	left := started.Add(gate.MaxOrphanTime).Sub(now)
	return max(0, (left + time.Millisecond - 1).Milliseconds())
}

func (a *Asker) event(event string, pairs ...any) {
	if a.Event != nil {
		a.Event(event, pairs...)
	}
}

func (a *Asker) count(name string) {
	if a.Count != nil {
		a.Count(name)
	}
}

func (a *Asker) now() boot.Time {
	if a.Now != nil {
		return a.Now()
	}
	return boot.Now()
}
